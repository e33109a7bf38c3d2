package proxy

import (
	"fmt"
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestReadCommandIsServedBeforeClose guards against requests that are lost as their connection is closed between
// commands: the command has been read, and waits in the event queue while the event loop takes the connection for idle.
func TestReadCommandIsServedBeforeClose(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"shutdown": func(h *harness) { h.proxy.drain.stopAccepting() },
		"idle":     (*harness).expireIdleClients,
		"evicted":  (*harness).evictIdleClient,
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
			c := h.client()
			c.mustPing()
			h.whileLoopBlocked(func() { c.send(lookCommand("a")...) }, h.queued(1), func() { end(h) })
			c.wantLines("-BUSY 500")
			if name == "shutdown" {
				c.wantLines("")
				return
			}
			if c.send("PING"); c.readLine() != "+PONG" {
				t.Error("the connection is unusable afterwards")
			}
		})
	}
	t.Run("behind a reply in a graceful shutdown", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), nil)
		c := h.client()
		h.openRequest(c, "a")
		h.onLoop(h.proxy.drain.stopAccepting)
		rejectEachRequest(h)
		h.whileLoopBlocked(func() { c.send(lookCommand("b")...) }, h.queued(1), func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
		c.wantLines("-ERR failed", "-BUSY 500", "")
	})
	t.Run("at the end of a graceful shutdown", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), nil)
		c := h.client()
		h.openRequest(c, "a")
		h.whileLoopBlocked(func() { c.send(lookCommand("b")...) }, h.queued(1), func() {
			h.proxy.drain.stopAccepting()
			h.proxy.drain.expire()
		})
		c.wantLines("-ERR failed", "-BUSY 1000", "")
		receive(t, h.ended)
	})
}

// TestPartialCommandIsServedBeforeClose guards against a connection that is closed under half a command: it was read,
// and the rest may come.
func TestPartialCommandIsServedBeforeClose(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAgent), func(h *harness) {
		rejectEachRequest(h)
		h.proxy.clients.commandTimeout = time.Hour
	})
	c := h.client()
	c.mustPing()
	all := encodeCommand(lookCommand("a")...)
	c.write(all[:20])
	h.eventually("half of it is read", func() bool { return netcalls.NoDataPending(h.onlyClient().rawConn) })
	h.onLoop(h.proxy.drain.stopAccepting)
	h.eventually("the reader goes on", func() bool { return h.onlyClient() == nil || !h.onlyClient().closeRequested })
	c.write(all[20:])
	c.wantLines("-BUSY 500", "")
}

// TestPendingConnectionsAreAcceptedAtShutdown guards against connections that are lost as the listener closes: those
// that were accepted while the event loop was busy, and those that nobody has accepted yet.
func TestPendingConnectionsAreAcceptedAtShutdown(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
		var c *testConn
		h.whileLoopBlocked(func() { c = h.client(); c.send(lookCommand("a")...) }, h.queued(2), h.proxy.drain.stopAccepting)
		c.wantLines("-BUSY 500", "")
	})
	t.Run("in the backlog", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), func(h *harness) {
			rejectEachRequest(h)
			h.proxy.clients.connSlots = make(chan struct{}, 1) // as if all descriptors were taken
		})
		first := h.client()
		first.mustPing()
		second := h.client()
		second.send(lookCommand("a")...)
		h.onLoop(h.proxy.drain.stopAccepting)
		if first.readLine() != "" {
			t.Error("the idle connection is open")
		}
		second.wantLines("-BUSY 500", "")
		receive(t, h.ended)
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
		h := startProxy(t, cfg, nil)
		h.onLoop(func() {
			if d := h.proxy.drain.timeout; d >= kill || d < kill-200*time.Millisecond || d <= h.proxy.drain.acceptGrace {
				t.Errorf("deadline of %g s: all ends after %v, SIGKILL comes after %v", deadlineS, d, kill)
			}
		})
	}
}

// TestCloseLosesNoReplyInFlight guards against replies that are lost with the reset of a connection, as a command comes
// at the moment at which it is closed between commands: the sending side alone ends, until the client has closed too.
func TestCloseLosesNoReplyInFlight(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"shutdown": func(h *harness) { h.proxy.drain.stopAccepting() },
		"evicted":  (*harness).evictIdleClient,
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAgent), rejectEachRequest)
			c := h.client()
			for i := range 3 {
				c.send(lookCommand(fmt.Sprint("a", i))...)
				receive(t, h.decider.requests)
			}
			h.eventually("all have their replies", func() bool { return h.onlyClient() != nil && h.onlyClient().idle() })
			h.onLoop(func() { end(h) })
			h.eventually("its end has come", func() bool { return h.proxy.clients.open() == 0 || h.onlyClient().sendingShutDown })
			h.onLoop(func() {
				if h.proxy.clients.open() != 1 {
					t.Error("the connection is closed under replies that are on their way")
				}
			})
			c.send(lookCommand("b")...) // crosses the end
			for i := range 3 {
				if got := c.readLine(); got != "-BUSY 500" {
					t.Errorf("reply %d is %q", i, got)
				}
			}
			if got := c.readLine(); got != "" || len(h.decider.requests) != 0 {
				t.Errorf("behind them came %q, and %d requests were read", got, len(h.decider.requests))
			}
			c.mustClose()
			h.eventually("the connection is closed", func() bool { return h.proxy.clients.open() == 0 })
		})
	}
}

// TestGracefulShutdown guards against requests lost at a planned restart: connections that still come are accepted, and
// the requests that were accepted have their replies before the process ends.
func TestGracefulShutdown(t *testing.T) {
	t.Run("with a request in flight", func(t *testing.T) {
		addr, conns := listenEndpoint(t)
		h := startProxy(t, testConfig(addr), func(h *harness) {
			sendEachRequest(0)(h)
			h.proxy.drain.acceptGrace, h.proxy.drain.timeout = time.Hour, time.Hour // until the test says so
		})
		idle, busy := h.client(), h.client()
		idle.mustPing()
		busy.send(lookCommand("a")...)
		b := receive(t, conns)
		b.readCommand()
		h.terminate()
		late := h.client() // the listener is open for longer than connections come
		if late.send("PING"); late.readLine() != "+PONG" {
			t.Fatal("a connection after the signal was not served")
		}
		h.onLoop(h.proxy.drain.stopAccepting)
		if idle.readLine() != "" || late.readLine() != "" {
			t.Error("connections between requests were not closed")
		}
		b.write(valueReply)
		busy.wantValue("the request in flight")
		busy.wantLines("")
		receive(t, h.ended)
	})
	t.Run("with nothing open", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), func(h *harness) {
			h.proxy.drain.acceptGrace, h.proxy.drain.timeout = time.Millisecond, time.Hour
		})
		h.terminate()
		receive(t, h.ended) // by itself, once the time for late connections is over
	})
	t.Run("that takes too long", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAgent), nil)
		c := h.client()
		h.openRequest(c, "mute")
		h.onLoop(func() { h.proxy.drain.stopAccepting(); h.proxy.drain.expire() })
		c.wantLines("-ERR failed", "")
		receive(t, h.ended)
	})
}
