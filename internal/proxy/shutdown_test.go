package proxy

import (
	"fmt"
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestACommandThatWasReadOutlastsTheClose guards against requests that are lost as their connection is closed between
// commands: the command has been read, and waits in the event queue while the event loop takes the connection for idle.
func TestACommandThatWasReadOutlastsTheClose(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"shutdown": func(r *harness) { r.proxy.stopAccepting() },
		"idle": func(r *harness) {
			r.proxy.loop.AdvanceTo(r.proxy.loop.Now() + clientIdleTimeout + 1)
			r.proxy.clients.sweep()
		},
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
			c.wantLines("-BUSY 500")
			if name == "shutdown" {
				c.wantLines("")
				return
			}
			if c.send("PING"); c.readLine() != "+PONG" {
				t.Error("the connection is of no use afterwards")
			}
		})
	}
	t.Run("behind a reply in a graceful shutdown", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), nil)
		c := r.client()
		c.send(lookCommand("a")...)
		receive(t, r.decider.requests)
		r.onLoop(r.proxy.stopAccepting)
		rejectEachRequest(r)
		r.whileLoopWaits(func() { c.send(lookCommand("b")...) }, r.queued(1), func() { r.proxy.Fail("a", policy.DeadlineTooClose) })
		c.wantLines("-ERR failed", "-BUSY 500", "")
	})
	t.Run("at the end of a graceful shutdown", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), nil)
		c := r.client()
		c.send(lookCommand("a")...)
		receive(t, r.decider.requests)
		r.whileLoopWaits(func() { c.send(lookCommand("b")...) }, r.queued(1), func() {
			r.proxy.stopAccepting()
			r.proxy.endDrain()
		})
		c.wantLines("-ERR failed", "-BUSY 1000", "")
		receive(t, r.ended)
	})
}

// TestHalfACommandOutlastsTheClose guards against a connection that is closed under half a command: it was read, and
// the rest may come.
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
	c.write(all[:20])
	r.eventually("half of it is read", func() bool { return netcalls.NoDataPending(r.onlyClient().rawConn) })
	r.onLoop(r.proxy.stopAccepting)
	r.eventually("the reader goes on", func() bool { return r.onlyClient() == nil || !r.onlyClient().closeRequested })
	c.write(all[20:])
	c.wantLines("-BUSY 500", "")
}

// TestConnectionsThatCameBeforeTheListenerClosed guards against connections that are lost as the listener closes: those
// that were accepted while the event loop was busy, and those that nobody has accepted yet.
func TestConnectionsThatCameBeforeTheListenerClosed(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
		var c *testConn
		r.whileLoopWaits(func() { c = r.client(); c.send(lookCommand("a")...) }, r.queued(2), r.proxy.stopAccepting)
		c.wantLines("-BUSY 500", "")
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
		r.onLoop(r.proxy.stopAccepting)
		if first.readLine() != "" {
			t.Error("the idle connection is open")
		}
		second.wantLines("-BUSY 500", "")
		receive(t, r.ended)
	})
}

// TestShutdownEndsBeforeSIGKILL guards against a graceful shutdown that outlasts the time until SIGKILL, which short
// deadlines bring forward.
func TestShutdownEndsBeforeSIGKILL(t *testing.T) {
	for _, deadlineS := range []float64{0.35, 2, 6} {
		cfg := testConfig(unreachableAgent)
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Timeout = deadlineS / float64(i+1)
		}
		kill := time.Duration(min(deadlineS, 3)*float64(time.Second)) + 700*time.Millisecond
		r := startProxy(t, cfg, nil)
		r.onLoop(func() {
			if d := r.proxy.drain.timeout; d >= kill || d < kill-200*time.Millisecond || d <= r.proxy.drain.acceptGrace {
				t.Errorf("deadline of %g s: all ends after %v, SIGKILL comes after %v", deadlineS, d, kill)
			}
		})
	}
}

// TestACloseDestroysNoReply guards against replies that are lost with the reset of a connection, as a command comes at
// the moment at which it is closed between commands: the sending side alone ends, until the client has closed too.
func TestACloseDestroysNoReply(t *testing.T) {
	for name, end := range map[string]func(r *harness){
		"shutdown": func(r *harness) { r.proxy.stopAccepting() },
		"evicted":  func(r *harness) { r.proxy.clients.limit = 1; r.proxy.clients.makeRoom(nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
			c := r.client()
			for i := range 3 {
				c.send(lookCommand(fmt.Sprint("a", i))...)
				receive(t, r.decider.requests)
			}
			r.eventually("all have their replies", func() bool { return r.onlyClient() != nil && r.onlyClient().idle() })
			r.onLoop(func() { end(r) })
			r.eventually("its end has come", func() bool { return r.proxy.clients.open() == 0 || r.onlyClient().sendingShutDown })
			r.onLoop(func() {
				if r.proxy.clients.open() != 1 {
					t.Error("the connection is closed under replies that are on their way")
				}
			})
			c.send(lookCommand("b")...) // crosses the end
			for i := range 3 {
				if got := c.readLine(); got != "-BUSY 500" {
					t.Errorf("reply %d is %q", i, got)
				}
			}
			if got := c.readLine(); got != "" || len(r.decider.requests) != 0 {
				t.Errorf("behind them came %q, and %d requests were read", got, len(r.decider.requests))
			}
			c.hangUp()
			r.eventually("the connection is closed", func() bool { return r.proxy.clients.open() == 0 })
		})
	}
}

// TestGracefulShutdown guards against requests lost at a planned restart: connections that still come are accepted, and
// the requests that were accepted have their replies before the process ends.
func TestGracefulShutdown(t *testing.T) {
	t.Run("with a request in flight", func(t *testing.T) {
		addr, conns := listenBackend(t)
		r := startProxy(t, testConfig(addr), func(r *harness) {
			sendEachRequest(0)(r)
			r.proxy.drain.acceptGrace, r.proxy.drain.timeout = time.Hour, time.Hour // until the test says so
		})
		idle, busy := r.client(), r.client()
		idle.send("PING")
		idle.readLine()
		busy.send(lookCommand("a")...)
		b := receive(t, conns)
		b.readCommand()
		r.terminate()
		late := r.client() // the listener is open for longer than connections come
		if late.send("PING"); late.readLine() != "+PONG" {
			t.Fatal("a connection after the signal was not served")
		}
		r.onLoop(r.proxy.stopAccepting)
		if idle.readLine() != "" || late.readLine() != "" {
			t.Error("connections between requests were not closed")
		}
		b.write(valueReply)
		busy.wantValue("the request in flight")
		busy.wantLines("")
		receive(t, r.ended)
	})
	t.Run("with nothing open", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), func(r *harness) {
			r.proxy.drain.acceptGrace, r.proxy.drain.timeout = time.Millisecond, time.Hour
		})
		r.terminate()
		receive(t, r.ended) // by itself, once the time for late connections is over
	})
	t.Run("that takes too long", func(t *testing.T) {
		r := startProxy(t, testConfig(unreachableAgent), nil)
		c := r.client()
		c.send(lookCommand("mute")...)
		receive(t, r.decider.requests)
		r.onLoop(func() { r.proxy.stopAccepting(); r.proxy.endDrain() })
		c.wantLines("-ERR failed", "")
		receive(t, r.ended)
	})
}
