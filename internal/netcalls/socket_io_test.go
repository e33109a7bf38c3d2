package netcalls

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 20 * time.Second

// connectedPair returns both ends of a loopback connection, and the raw connection of the local end.
func connectedPair(t *testing.T) (local *net.TCPConn, raw syscall.RawConn, remote net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if remote, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close() // fails if the test has closed it
		_ = remote.Close()
	})
	if err := remote.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	local = conn.(*net.TCPConn)
	if raw, err = local.SyscallConn(); err != nil {
		t.Fatal(err)
	}
	return local, raw, remote
}

// TestWriteAllLeavesNoDeadline checks that WriteAll leaves no deadline on the connection. Later writes must succeed, even
// after the time of the deadline that WriteAll sets for itself.
func TestWriteAllLeavesNoDeadline(t *testing.T) {
	calls := System()
	local, raw, remote := connectedPair(t)
	const stall = 20 * time.Millisecond
	go func() { _, _ = io.Copy(io.Discard, remote) }() // ends with the connection
	if err := calls.WriteAll(local, raw, make([]byte, 1<<20), testTimeout, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := calls.WriteAll(local, raw, []byte("short"), stall, func() {}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stall) // until after the deadline that the second WriteAll set
	if n, err := calls.TryWrite(raw, []byte("x")); n != 1 || err != nil {
		t.Errorf("TryWrite after WriteAll: got %d, %v, want 1 byte written", n, err)
	}
	if _, err := local.Write([]byte("x")); err != nil {
		t.Errorf("Write after WriteAll: %v", err)
	}
}

// TestWriteAllTimesOutOnlyWithoutProgress checks that WriteAll continues while the peer reads slowly, and times out
// after the peer has stopped reading.
func TestWriteAllTimesOutOnlyWithoutProgress(t *testing.T) {
	const stall = 300 * time.Millisecond
	calls := System()
	local, raw, remote := connectedPair(t)
	done, progressed := make(chan error, 1), make(chan struct{}, 1<<10)
	go func() {
		done <- calls.WriteAll(local, raw, make([]byte, 64<<20), stall, func() {
			select {
			case progressed <- struct{}{}:
			default:
			}
		})
	}()
	for from := time.Now(); time.Since(from) < 3*stall; { // the peer reads slowly, for longer than the timeout
		if _, err := io.CopyN(io.Discard, remote, 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stall / 10)
		select {
		case err := <-done:
			t.Fatalf("WriteAll ended while the peer was reading: %v", err)
		default:
		}
	}
	select {
	case err := <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) { // the peer has stopped reading
			t.Errorf("WriteAll without progress: got the error %v, want os.ErrDeadlineExceeded", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("WriteAll without progress does not end")
	}
	select {
	case <-progressed:
	default:
		t.Error("onProgress was never called")
	}
}
