package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/policy"
)

// connected is both ends of a connection over loopback.
func connectedPair(t *testing.T) (near *net.TCPConn, far *testConn) {
	t.Helper()
	addr, conns := listenBackend(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	far = receive(t, conns)
	return conn.(*net.TCPConn), far
}

// TestWriteAllLeavesNoDeadline guards against a deadline that outlives its write: each later write would fail.
func TestWriteAllLeavesNoDeadline(t *testing.T) {
	calls := netcalls.System()
	near, far := connectedPair(t)
	raw, err := near.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const stall = 20 * time.Millisecond
	go io.Copy(io.Discard, far)
	if err := calls.WriteAll(near, raw, make([]byte, 1<<20), patience, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := calls.WriteAll(near, raw, []byte("short"), stall, func() {}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stall) // the deadline of that write has passed by now
	if n, err := calls.WriteNow(raw, []byte("x")); n != 1 || err != nil {
		t.Errorf("the loop's write: %d, %v", n, err)
	}
	if _, err := near.Write([]byte("x")); err != nil {
		t.Errorf("another write: %v", err)
	}
}

// TestWriteAllGoesByProgress guards against a write that is given up while the other end takes some of it, and
// against one that never ends.
func TestWriteAllGoesByProgress(t *testing.T) {
	const stall = 300 * time.Millisecond
	calls := netcalls.System()
	near, far := connectedPair(t)
	raw, err := near.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	done, progressed := make(chan error, 1), make(chan struct{}, 1<<10)
	go func() {
		done <- calls.WriteAll(near, raw, make([]byte, 64<<20), stall, func() {
			select {
			case progressed <- struct{}{}:
			default:
			}
		})
	}()
	for from := time.Now(); time.Since(from) < 3*stall; { // a slow reader, for longer than the timeout
		if _, err := io.CopyN(io.Discard, far, 1<<20); err != nil {
			t.Fatal(err)
		}
		time.Sleep(stall / 10)
		select {
		case err := <-done:
			t.Fatalf("given up while it went on: %v", err)
		default:
		}
	}
	if err := receive(t, done); !errors.Is(err, os.ErrDeadlineExceeded) { // nothing is read any more
		t.Errorf("ended with %v", err)
	}
	receive(t, progressed)
}

// TestStalledClientMakesRoom guards against clients that hold their places for good with answers that they do not
// read, and against one that is closed in place of an idle one.
func TestStalledClientMakesRoom(t *testing.T) {
	r := startProxy(t, testConfig(unreachableAgent), func(r *harness) {
		r.proxy.clients.limit = 2
		r.decider.onRequest = func(q policy.Request) {
			req := r.proxy.requests[q.ID]
			r.proxy.answer(req, []byte(strings.Repeat("x", 60_000)), served)
		}
	})
	stuck := r.client()
	for i := 0; ; i++ {
		writing := false
		if r.onLoop(func() { writing = r.onlyClient().writing }); writing {
			break
		}
		stuck.send(lookCommand(fmt.Sprint("a", i))...)
		receive(t, r.decider.requests)
	}
	idle := r.client()
	if idle.send("PING"); idle.readLine() != "+PONG" {
		t.Fatal("not served")
	}
	third := r.client()
	if third.send("PING"); third.readLine() != "+PONG" || idle.readLine() != "" {
		t.Error("the idle client made no room")
	}
	r.onLoop(func() { // the third one waits for an answer, the stuck one has taken nothing for long
		r.writingClient().writeProgressAt.store(0)
		for c := range r.proxy.clients.conns {
			if !c.writing {
				c.pipeline.add(&pipelineSlot{})
			}
		}
		if r.proxy.clients.makeRoom(nil) {
			t.Error("the stalled client made no room")
		}
	})
}

// writing is the client whose socket is full; on the loop.
func (r *harness) writingClient() *clientConn {
	for c := range r.proxy.clients.conns {
		if c.writing {
			return c
		}
	}
	return nil
}
