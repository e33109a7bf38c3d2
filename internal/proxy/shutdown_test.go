package proxy

import (
	"fmt"
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestReadCommandIsServedBeforeClose checks that a request gets a reply if its command is still in the event queue when
// the close of its connection is requested.
func TestReadCommandIsServedBeforeClose(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"shutdown": func(h *harness) { h.proxy.drain.stopAccepting() },
		"idle":     (*harness).expireIdleClients,
		"evicted":  (*harness).evictIdleClient,
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAddress), rejectEachRequest)
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
		h := startProxy(t, testConfig(unreachableAddress), nil)
		c := h.client()
		h.openRequest(c, "a")
		h.onLoop(h.proxy.drain.stopAccepting)
		rejectEachRequest(h)
		h.whileLoopBlocked(func() { c.send(lookCommand("b")...) }, h.queued(1), func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
		c.wantLines("-ERR failed", "-BUSY 500", "")
	})
	t.Run("at the end of a graceful shutdown", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), nil)
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

// TestPartialCommandIsServedBeforeClose checks that a drain does not close a connection on which a part of a command
// was read, and that the command is served when its rest arrives.
func TestPartialCommandIsServedBeforeClose(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		rejectEachRequest(h)
		h.proxy.clients.commandTimeout = time.Hour
	})
	c := h.client()
	c.mustPing()
	all := encodeCommand(lookCommand("a")...)
	c.write(all[:20])
	h.eventually("the first part is read", func() bool { return netcalls.NoDataPending(h.onlyClient().rawConn) })
	h.onLoop(h.proxy.drain.stopAccepting)
	h.eventually("the reader continues", func() bool { return h.onlyClient() == nil || !h.onlyClient().closeRequested })
	c.write(all[20:])
	c.wantLines("-BUSY 500", "")
}

// TestPendingConnectionsAreAcceptedAtShutdown checks that closing the listener loses no connections, neither those that
// were accepted while the event loop was busy nor those that are still in the backlog.
func TestPendingConnectionsAreAcceptedAtShutdown(t *testing.T) {
	t.Run("accepted", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), rejectEachRequest)
		var c *testConn
		h.whileLoopBlocked(func() { c = h.client(); c.send(lookCommand("a")...) }, h.queued(2), h.proxy.drain.stopAccepting)
		c.wantLines("-BUSY 500", "")
	})
	t.Run("in the backlog", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
			rejectEachRequest(h)
			h.proxy.clients.connSlots = make(chan struct{}, 1) // one connection takes the only slot
		})
		first := h.client()
		first.mustPing()
		second := h.client()
		second.send(lookCommand("a")...)
		h.onLoop(h.proxy.drain.stopAccepting)
		if first.readLine() != "" {
			t.Error("the idle connection is still open")
		}
		second.wantLines("-BUSY 500", "")
		receive(t, h.ended)
	})
}

// TestShutdownEndsBeforeSIGKILL checks that the drain times out after the accept grace and at most 200 ms before
// SIGKILL arrives. The time of SIGKILL depends on the longest request timeout.
func TestShutdownEndsBeforeSIGKILL(t *testing.T) {
	for _, longestTimeout := range []float64{0.35, 2, 6} {
		cfg := testConfig(unreachableAddress)
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].Timeout = longestTimeout / float64(i+1)
		}
		sigkillAfter := time.Duration(min(longestTimeout, 3)*float64(time.Second)) + 700*time.Millisecond
		h := startProxy(t, cfg, nil)
		h.onLoop(func() {
			if d := h.proxy.drain.timeout; d >= sigkillAfter || d < sigkillAfter-200*time.Millisecond || d <= h.proxy.drain.acceptGrace {
				t.Errorf("longest request timeout %g s: the drain times out after %v, SIGKILL arrives after %v, want a timeout after the accept grace and at most 200 ms before SIGKILL", longestTimeout, d, sigkillAfter)
			}
		})
	}
}

// TestCloseLosesNoReplyInFlight checks that closing a connection does not destroy replies that are still in flight. A
// command that arrives after the socket is closed would cause a reset, so at first only the sending side is shut down.
func TestCloseLosesNoReplyInFlight(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"shutdown": func(h *harness) { h.proxy.drain.stopAccepting() },
		"evicted":  (*harness).evictIdleClient,
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAddress), rejectEachRequest)
			c := h.client()
			for i := range 3 {
				c.send(lookCommand(fmt.Sprint("a", i))...)
				receive(t, h.decider.requests)
			}
			h.eventually("all replies are written", func() bool { return h.onlyClient() != nil && h.onlyClient().idle() })
			h.onLoop(func() { end(h) })
			h.eventually("the sending side is shut down", func() bool { return h.proxy.clients.open() == 0 || h.onlyClient().sendingShutDown })
			h.onLoop(func() {
				if h.proxy.clients.open() != 1 {
					t.Error("the connection was closed while replies were in flight")
				}
			})
			c.send(lookCommand("b")...) // sent while the gateway is closing the connection
			for i := range 3 {
				if got := c.readLine(); got != "-BUSY 500" {
					t.Errorf("reply %d is %q, want -BUSY 500", i, got)
				}
			}
			if got := c.readLine(); got != "" || len(h.decider.requests) != 0 {
				t.Errorf("got %q behind the replies, and the decision module got %d more requests, want the end of the connection and no request", got, len(h.decider.requests))
			}
			c.mustClose()
			h.eventually("the connection is closed", func() bool { return h.proxy.clients.open() == 0 })
		})
	}
}

// TestGracefulShutdown checks that a connection made during the accept grace is served, and that each open request gets
// its reply before the drain is complete.
func TestGracefulShutdown(t *testing.T) {
	t.Run("with a request in flight", func(t *testing.T) {
		addr, conns := listenEndpoint(t)
		h := startProxy(t, testConfig(addr), func(h *harness) {
			sendEachRequest(0)(h)
			h.proxy.drain.acceptGrace, h.proxy.drain.timeout = time.Hour, time.Hour // the test calls stopAccepting itself
		})
		idle, busy := h.client(), h.client()
		idle.mustPing()
		busy.send(lookCommand("a")...)
		b := receive(t, conns)
		b.readCommand()
		h.terminate()
		late := h.client() // the listener stays open during the accept grace
		if late.send("PING"); late.readLine() != "+PONG" {
			t.Fatal("a connection made during the accept grace was not served")
		}
		h.onLoop(h.proxy.drain.stopAccepting)
		if idle.readLine() != "" || late.readLine() != "" {
			t.Error("idle connections were not closed after the accept grace")
		}
		b.write(valueReply)
		busy.wantValue("the request in flight")
		busy.wantLines("")
		receive(t, h.ended)
	})
	t.Run("with nothing open", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
			h.proxy.drain.acceptGrace, h.proxy.drain.timeout = time.Millisecond, time.Hour
		})
		h.terminate()
		receive(t, h.ended) // once the accept grace is over
	})
	t.Run("that takes too long", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), nil)
		c := h.client()
		h.openRequest(c, "mute")
		h.onLoop(func() { h.proxy.drain.stopAccepting(); h.proxy.drain.expire() })
		c.wantLines("-ERR failed", "")
		receive(t, h.ended)
	})
}
