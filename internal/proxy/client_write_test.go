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
func connected(t *testing.T) (near *net.TCPConn, far *wire) {
	t.Helper()
	addr, conns := listen(t)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	far = get(t, conns)
	return conn.(*net.TCPConn), far
}

// TestWriteAllLeavesNoDeadline guards against a deadline that outlives its write: each later write would fail.
func TestWriteAllLeavesNoDeadline(t *testing.T) {
	p := &Proxy{calls: netcalls.System()}
	near, far := connected(t)
	raw, err := near.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const stall = 20 * time.Millisecond
	go io.Copy(io.Discard, far)
	if err := p.writeAll(near, raw, make([]byte, 1<<20), patience, func() {}); err != nil {
		t.Fatal(err)
	}
	if err := p.writeAll(near, raw, []byte("short"), stall, func() {}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * stall) // the deadline of that write has passed by now
	if n, err := p.tryWrite(raw, []byte("x")); n != 1 || err != nil {
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
	p := &Proxy{calls: netcalls.System()}
	near, far := connected(t)
	raw, err := near.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	done, progressed := make(chan error, 1), make(chan struct{}, 1<<10)
	go func() {
		done <- p.writeAll(near, raw, make([]byte, 64<<20), stall, func() {
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
	if err := get(t, done); !errors.Is(err, os.ErrDeadlineExceeded) { // nothing is read any more
		t.Errorf("ended with %v", err)
	}
	get(t, progressed)
}

// TestStalledClientMakesRoom guards against clients that hold their places for good with answers that they do not
// read, and against one that is closed in place of an idle one.
func TestStalledClientMakesRoom(t *testing.T) {
	r := start(t, testConfig(noDiscovery), func(r *rig) {
		r.in.clients.limit = 2
		r.mod.onRequest = func(q policy.Request) {
			req := r.in.requests[q.ID]
			r.in.answer(req, []byte(strings.Repeat("x", 60_000)), served)
		}
	})
	stuck := r.client()
	for i := 0; ; i++ {
		writing := false
		if r.do(func() { writing = r.one().writing }); writing {
			break
		}
		stuck.send(look(fmt.Sprint("a", i))...)
		get(t, r.mod.requests)
	}
	idle := r.client()
	if idle.send("PING"); idle.line() != "+PONG" {
		t.Fatal("not served")
	}
	third := r.client()
	if third.send("PING"); third.line() != "+PONG" || idle.line() != "" {
		t.Error("the idle client made no room")
	}
	r.do(func() { // the third one waits for an answer, the stuck one has taken nothing for long
		r.writing().progressAt.set(0)
		for c := range r.in.clients.all {
			if !c.writing {
				c.slots = append(c.slots, &slot{})
			}
		}
		if r.in.clients.full(r.in, nil) {
			t.Error("the stalled client made no room")
		}
	})
}

// writing is the client whose socket is full; on the loop.
func (r *rig) writing() *client {
	for c := range r.in.clients.all {
		if c.writing {
			return c
		}
	}
	return nil
}
