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

// testTimeout is how long a test waits for what must come. It decides nothing but when to give up.
const testTimeout = 20 * time.Second

// connectedPair is both ends of a connection over loopback, the local one with its raw connection.
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
		_ = conn.Close() // the test may have closed it
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

// TestWriteAllLeavesNoDeadline guards against a deadline that outlives its write: each later write would fail.
func TestWriteAllLeavesNoDeadline(t *testing.T) {
	calls := System()
	local, raw, remote := connectedPair(t)
	const stall = 20 * time.Millisecond
	go func() { _, _ = io.Copy(io.Discard, remote) }() // it ends with the connection
	if err := calls.WriteAll(local, raw, make([]byte, 1<<20), testTimeout, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := calls.WriteAll(local, raw, []byte("short"), stall, func() {}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stall) // the deadline of that write has passed by now
	if n, err := calls.TryWrite(raw, []byte("x")); n != 1 || err != nil {
		t.Errorf("a write that does not wait: %d, %v", n, err)
	}
	if _, err := local.Write([]byte("x")); err != nil {
		t.Errorf("another write: %v", err)
	}
}

// TestWriteAllTimesOutOnlyWithoutProgress guards against a write that is given up while the other end takes some of it,
// and against one that never ends.
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
	for from := time.Now(); time.Since(from) < 3*stall; { // a slow reader, for longer than the timeout
		if _, err := io.CopyN(io.Discard, remote, 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stall / 10)
		select {
		case err := <-done:
			t.Fatalf("given up while it went on: %v", err)
		default:
		}
	}
	select {
	case err := <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) { // nothing is read any more
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Fatal("a write that makes no progress never ends")
	}
	select {
	case <-progressed:
	default:
		t.Error("no progress was reported")
	}
}
