package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/policy"
)

// busy has the module refuse each request, so that the answer tells that it was asked.
func rejectEachRequest(r *harness) {
	r.decider.onRequest = func(q policy.Request) { r.proxy.Reject(q.ID, 0.5, policy.QuotaExceeded) }
}

// one is the connection of the only client.
func (r *harness) onlyClient() (c *clientConn) {
	for c = range r.proxy.clients.conns {
	}
	return c
}

// Guards against requests that are lost as their connection is closed between requests: the command has
// been read, and waits in the queue while the loop takes the connection for idle.
func TestACommandThatWasReadOutlastsTheClose(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"drain": func(r *harness) { r.proxy.leave() },
		"idle":  func(r *harness) { r.proxy.now += clientIdleTimeout + 1; r.proxy.clients.sweep() },
		"evicted": func(r *harness) {
			r.proxy.clients.limit = 1
			r.proxy.clients.makeRoom(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
			c := r.client()
			if c.send("PING"); c.readLine() != "+PONG" {
				t.Fatal("not served")
			}
			r.whileLoopWaits(func() { c.send(lookCommand("a")...) }, r.queued(1), func() { end(r) })
			if got := c.readLine(); got != "-BUSY 500" {
				t.Errorf("got %q", got)
			}
			if name == "drain" {
				if got := c.readLine(); got != "" {
					t.Errorf("behind it came %q", got)
				}
				return
			}
			if c.send("PING"); c.readLine() != "+PONG" {
				t.Error("the connection is of no use afterwards")
			}
		})
	}
	t.Run("behind an answer in a drain", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), nil)
		c := r.client()
		c.send(lookCommand("a")...)
		receive(t, r.decider.requests)
		r.onLoop(r.proxy.leave)
		rejectEachRequest(r)
		r.whileLoopWaits(func() { c.send(lookCommand("b")...) }, r.queued(1), func() { r.proxy.Fail("a", policy.DeadlineTooClose) })
		if a, b := c.readLine(), c.readLine(); a != "-ERR failed" || b != "-BUSY 500" {
			t.Errorf("got %q and %q", a, b)
		}
		if got := c.readLine(); got != "" {
			t.Errorf("behind it came %q", got)
		}
	})
	t.Run("at the end of a drain", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), nil)
		c := r.client()
		c.send(lookCommand("a")...)
		receive(t, r.decider.requests)
		r.whileLoopWaits(func() { c.send(lookCommand("b")...) }, r.queued(1), func() {
			r.proxy.leave()
			r.proxy.stop()
		})
		if a, b := c.readLine(), c.readLine(); a != "-ERR failed" || b != "-BUSY 1000" {
			t.Errorf("got %q and %q", a, b)
		}
		if got := c.readLine(); got != "" {
			t.Errorf("behind it came %q", got)
		}
		receive(t, r.ended)
	})
}

// Guards against a connection that is closed under half a command: it was read, and the rest may come.
func TestHalfACommandOutlastsTheClose(t *testing.T) {
	r := startProxy(t, testConfig(unreachableAgent), func(r *harness) {
		rejectEachRequest(r)
		r.proxy.clients.commandTimeout = time.Hour
	})
	c := r.client()
	if c.send("PING"); c.readLine() != "+PONG" {
		t.Fatal("not served")
	}
	all := encodeCommand(lookCommand("a")...)
	io.WriteString(c, all[:20])
	r.eventually("half of it is read", func() bool { return netcalls.NoDataPending(r.onlyClient().rawConn) })
	r.onLoop(r.proxy.leave)
	r.eventually("the reader goes on", func() bool { return r.onlyClient() == nil || !r.onlyClient().closeRequested })
	io.WriteString(c, all[20:])
	if got := c.readLine(); got != "-BUSY 500" || c.readLine() != "" {
		t.Errorf("got %q", got)
	}
}

// Guards against connections that are lost as the listener closes: those that were accepted while the loop
// was busy, and those that nobody has accepted yet.
func TestConnectionsThatCameBeforeTheListenerClosed(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
		c := (*testConn)(nil)
		r.whileLoopWaits(func() { c = r.client(); c.send(lookCommand("a")...) }, r.queued(2), r.proxy.leave)
		if got := c.readLine(); got != "-BUSY 500" || c.readLine() != "" {
			t.Errorf("got %q", got)
		}
	})
	t.Run("in the backlog", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), func(r *harness) {
			rejectEachRequest(r)
			r.proxy.clients.places = make(chan struct{}, 1) // as if all descriptors were taken
		})
		first := r.client()
		if first.send("PING"); first.readLine() != "+PONG" {
			t.Fatal("not served")
		}
		second := r.client()
		second.send(lookCommand("a")...)
		r.onLoop(r.proxy.leave)
		if first.readLine() != "" {
			t.Error("the idle connection is open")
		}
		if got := second.readLine(); got != "-BUSY 500" || second.readLine() != "" {
			t.Errorf("got %q", got)
		}
		receive(t, r.ended)
	})
}

// Guards against a drain that outlasts the time until SIGKILL, which short deadlines bring forward.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	for _, deadlineS := range []float64{0.35, 2, 6} {
		cfg := testConfig(unreachableAgent)
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Timeout = deadlineS / float64(i+1)
		}
		kill := time.Duration(min(deadlineS, 3)*float64(time.Second)) + 700*time.Millisecond
		r := startProxy(t, cfg, nil)
		r.onLoop(func() {
			if d := r.proxy.drainFor; d >= kill || d < kill-200*time.Millisecond || d <= r.proxy.acceptFor {
				t.Errorf("deadline of %g s: all ends after %v, SIGKILL comes after %v", deadlineS, d, kill)
			}
		})
	}
}

// TestACloseDestroysNoAnswer guards against answers that are lost with the reset of a connection, as a command comes
// in the moment in which it is closed between requests: the sending side alone ends, until the client has closed too.
func TestACloseDestroysNoAnswer(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"drain":   func(r *harness) { r.proxy.leave() },
		"evicted": func(r *harness) { r.proxy.clients.limit = 1; r.proxy.clients.makeRoom(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
			c := r.client()
			for i := range 3 {
				c.send(lookCommand(fmt.Sprint("a", i))...)
				receive(t, r.decider.requests)
			}
			r.eventually("all is answered", func() bool { return r.onlyClient() != nil && r.onlyClient().idle() })
			r.onLoop(func() { end(r) })
			r.eventually("its end has come", func() bool { return r.proxy.clients.open() == 0 || r.onlyClient().sendingShutDown })
			r.onLoop(func() {
				if r.proxy.clients.open() != 1 {
					t.Error("the connection is closed under answers that are on their way")
				}
			})
			c.send(lookCommand("b")...) // crosses the end
			for i := range 3 {
				if got := c.readLine(); got != "-BUSY 500" {
					t.Errorf("answer %d is %q", i, got)
				}
			}
			if got := c.readLine(); got != "" || len(r.decider.requests) != 0 {
				t.Errorf("behind them came %q, and %d requests were read", got, len(r.decider.requests))
			}
			c.Close()
			r.eventually("the connection is closed", func() bool { return r.proxy.clients.open() == 0 })
		})
	}
}

// Guards against requests lost at a planned restart: connections that still come are taken, and what
// was taken is answered before the process ends.
func TestTermDrains(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		r.proxy.acceptFor, r.proxy.drainFor = time.Hour, time.Hour // until the test says so
	})
	idle, old := r.client(), r.client()
	idle.send("PING")
	idle.readLine()
	old.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	r.terminate()
	late := r.client() // the listener is open for longer than connections come
	if late.send("PING"); late.readLine() != "+PONG" {
		t.Fatal("a connection after the signal was not served")
	}
	r.onLoop(r.proxy.leave)
	if idle.readLine() != "" || late.readLine() != "" {
		t.Error("connections between requests were not closed")
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	if old.readLine() != "$1" || old.readLine() != "v" || old.readLine() != "" {
		t.Error("what was taken was not answered, or the connection stayed open")
	}
	receive(t, r.ended)

	r = startProxy(t, testConfig(addr), func(r *harness) { r.proxy.acceptFor, r.proxy.drainFor = time.Millisecond, time.Hour })
	r.terminate()
	receive(t, r.ended) // by itself, once the time for late connections is over

	r = startProxy(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("mute")...)
	receive(t, r.decider.requests)
	r.onLoop(func() { r.proxy.leave(); r.proxy.stop() })
	if got := c.readLine(); got != "-ERR failed" || c.readLine() != "" {
		t.Errorf("at the end of a drain that took too long: %q", got)
	}
	receive(t, r.ended)
}
