package proxy

import (
	"fmt"
	"io"
	"testing"
	"time"

	"reedlead/policy"
)

// busy has the module refuse each request, so that the answer tells that it was asked.
func busy(r *rig) {
	r.mod.onRequest = func(q policy.Request) { r.in.Reject(q.ID, 0.5, policy.QuotaExceeded) }
}

// one is the connection of the only client.
func (r *rig) one() (c *client) {
	for c = range r.in.clients.all {
	}
	return c
}

// Guards against requests that are lost as their connection is closed between requests: the command has
// been read, and waits in the queue while the loop takes the connection for idle.
func TestACommandThatWasReadOutlastsTheClose(t *testing.T) {
	for name, end := range map[string]func(r *rig){
		"drain": func(r *rig) { r.in.leave() },
		"idle":  func(r *rig) { r.in.now += clientIdleTimeoutS + 1; r.in.clients.sweep(r.in) },
		"evicted": func(r *rig) {
			r.in.clients.limit = 1
			r.in.clients.full(r.in, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, testConfig(noDiscovery), busy)
			c := r.client()
			if c.send("PING"); c.line() != "+PONG" {
				t.Fatal("not served")
			}
			r.still(func() { c.send(look("a")...) }, r.queued(1), func() { end(r) })
			if got := c.line(); got != "-BUSY 500" {
				t.Errorf("got %q", got)
			}
			if name == "drain" {
				if got := c.line(); got != "" {
					t.Errorf("behind it came %q", got)
				}
				return
			}
			if c.send("PING"); c.line() != "+PONG" {
				t.Error("the connection is of no use afterwards")
			}
		})
	}
	t.Run("behind an answer in a drain", func(t *testing.T) {
		r := start(t, testConfig(noDiscovery), nil)
		c := r.client()
		c.send(look("a")...)
		get(t, r.mod.requests)
		r.do(r.in.leave)
		busy(r)
		r.still(func() { c.send(look("b")...) }, r.queued(1), func() { r.in.Fail("a", policy.DeadlineTooClose) })
		if a, b := c.line(), c.line(); a != "-ERR failed" || b != "-BUSY 500" {
			t.Errorf("got %q and %q", a, b)
		}
		if got := c.line(); got != "" {
			t.Errorf("behind it came %q", got)
		}
	})
	t.Run("at the end of a drain", func(t *testing.T) {
		r := start(t, testConfig(noDiscovery), nil)
		c := r.client()
		c.send(look("a")...)
		get(t, r.mod.requests)
		r.still(func() { c.send(look("b")...) }, r.queued(1), func() {
			r.in.leave()
			r.in.stop()
		})
		if a, b := c.line(), c.line(); a != "-ERR failed" || b != "-BUSY 1000" {
			t.Errorf("got %q and %q", a, b)
		}
		if got := c.line(); got != "" {
			t.Errorf("behind it came %q", got)
		}
		get(t, r.end)
	})
}

// Guards against a connection that is closed under half a command: it was read, and the rest may come.
func TestHalfACommandOutlastsTheClose(t *testing.T) {
	r := start(t, testConfig(noDiscovery), func(r *rig) {
		busy(r)
		r.in.clients.commandTimeout = time.Hour
	})
	c := r.client()
	if c.send("PING"); c.line() != "+PONG" {
		t.Fatal("not served")
	}
	all := command(look("a")...)
	io.WriteString(c, all[:20])
	r.until("half of it is read", func() bool { return silent(r.one().raw) })
	r.do(r.in.leave)
	r.until("the reader goes on", func() bool { return r.one() == nil || !r.one().asked })
	io.WriteString(c, all[20:])
	if got := c.line(); got != "-BUSY 500" || c.line() != "" {
		t.Errorf("got %q", got)
	}
}

// Guards against connections that are lost as the listener closes: those that were accepted while the loop
// was busy, and those that nobody has accepted yet.
func TestConnectionsThatCameBeforeTheListenerClosed(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		r := start(t, testConfig(noDiscovery), busy)
		c := (*wire)(nil)
		r.still(func() { c = r.client(); c.send(look("a")...) }, r.queued(2), r.in.leave)
		if got := c.line(); got != "-BUSY 500" || c.line() != "" {
			t.Errorf("got %q", got)
		}
	})
	t.Run("in the backlog", func(t *testing.T) {
		r := start(t, testConfig(noDiscovery), func(r *rig) {
			busy(r)
			r.in.clients.room = make(chan struct{}, 1) // as if all descriptors were taken
		})
		first := r.client()
		if first.send("PING"); first.line() != "+PONG" {
			t.Fatal("not served")
		}
		second := r.client()
		second.send(look("a")...)
		r.do(r.in.leave)
		if first.line() != "" {
			t.Error("the idle connection is open")
		}
		if got := second.line(); got != "-BUSY 500" || second.line() != "" {
			t.Errorf("got %q", got)
		}
		get(t, r.end)
	})
}

// Guards against a drain that outlasts the time until SIGKILL, which short deadlines bring forward.
func TestDrainEndsBeforeSIGKILL(t *testing.T) {
	for _, deadlineS := range []float64{0.35, 2, 6} {
		cfg := testConfig(noDiscovery)
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Timeout = deadlineS / float64(i+1)
		}
		kill := time.Duration(min(deadlineS, 3)*float64(time.Second)) + 700*time.Millisecond
		r := start(t, cfg, nil)
		r.do(func() {
			if d := r.in.drainFor; d >= kill || d < kill-200*time.Millisecond || d <= r.in.acceptFor {
				t.Errorf("deadline of %g s: all ends after %v, SIGKILL comes after %v", deadlineS, d, kill)
			}
		})
	}
}

// TestACloseDestroysNoAnswer guards against answers that are lost with the reset of a connection, as a command comes
// in the moment in which it is closed between requests: the sending side alone ends, until the client has closed too.
func TestACloseDestroysNoAnswer(t *testing.T) {
	for name, end := range map[string]func(r *rig){
		"drain":   func(r *rig) { r.in.leave() },
		"evicted": func(r *rig) { r.in.clients.limit = 1; r.in.clients.full(r.in, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, testConfig(noDiscovery), busy)
			c := r.client()
			for i := range 3 {
				c.send(look(fmt.Sprint("a", i))...)
				get(t, r.mod.requests)
			}
			r.until("all is answered", func() bool { return r.one() != nil && r.one().idle() })
			r.do(func() { end(r) })
			r.until("its end has come", func() bool { return r.in.clients.open() == 0 || r.one().shut })
			r.do(func() {
				if r.in.clients.open() != 1 {
					t.Error("the connection is closed under answers that are on their way")
				}
			})
			c.send(look("b")...) // crosses the end
			for i := range 3 {
				if got := c.line(); got != "-BUSY 500" {
					t.Errorf("answer %d is %q", i, got)
				}
			}
			if got := c.line(); got != "" || len(r.mod.requests) != 0 {
				t.Errorf("behind them came %q, and %d requests were read", got, len(r.mod.requests))
			}
			c.Close()
			r.until("the connection is closed", func() bool { return r.in.clients.open() == 0 })
		})
	}
}

// Guards against requests lost at a planned restart: connections that still come are taken, and what
// was taken is answered before the process ends.
func TestTermDrains(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), func(r *rig) {
		sendTo(0)(r)
		r.in.acceptFor, r.in.drainFor = time.Hour, time.Hour // until the test says so
	})
	idle, old := r.client(), r.client()
	idle.send("PING")
	idle.line()
	old.send(look("a")...)
	b := get(t, conns)
	b.command()
	r.term()
	late := r.client() // the listener is open for longer than connections come
	if late.send("PING"); late.line() != "+PONG" {
		t.Fatal("a connection after the signal was not served")
	}
	r.do(r.in.leave)
	if idle.line() != "" || late.line() != "" {
		t.Error("connections between requests were not closed")
	}
	io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
	if old.line() != "$1" || old.line() != "v" || old.line() != "" {
		t.Error("what was taken was not answered, or the connection stayed open")
	}
	get(t, r.end)

	r = start(t, testConfig(addr), func(r *rig) { r.in.acceptFor, r.in.drainFor = time.Millisecond, time.Hour })
	r.term()
	get(t, r.end) // by itself, once the time for late connections is over

	r = start(t, testConfig(addr), nil)
	c := r.client()
	c.send(look("mute")...)
	get(t, r.mod.requests)
	r.do(func() { r.in.leave(); r.in.stop() })
	if got := c.line(); got != "-ERR failed" || c.line() != "" {
		t.Errorf("at the end of a drain that took too long: %q", got)
	}
	get(t, r.end)
}
