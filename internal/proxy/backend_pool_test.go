package proxy

import (
	"io"
	"strings"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestPooledConnections guards against a request written to a connection that its endpoint has closed while it was
// idle, which would end as a reset that may have executed it.
func TestPooledConnections(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := h.client()
	serve := func(id string, b *testConn) {
		t.Helper()
		b.readCommand()
		b.write(valueReply)
		c.wantValue(id)
		receive(t, h.decider.outcomes)
	}
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	serve("a", b)
	c.send(lookCommand("b")...)
	serve("b", b) // the same connection
	b.mustClose()
	h.eventually("the pool notices the close", func() bool { return h.proxy.endpoints.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	h.onLoop(func() {
		h.proxy.loop.AdvanceTo(h.proxy.loop.Now() + h.proxy.endpoints.idleTimeout + 1)
		h.proxy.endpoints.sweep()
	})
	if b.readCommand() != nil {
		t.Error("a connection that was idle for long was used")
	}
}

// TestConnectionWithUnsolicitedBytesIsNotReused guards against a duplicate of a reply that is taken for the reply to
// the next command: a connection on which bytes wait, or that has ended, gets none, also before its reader has noticed.
func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	for name, unsolicited := range map[string]string{"a duplicate": valueReply, "garbage": "x", "the end": ""} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			h := startProxy(t, testConfig(addr), sendEachRequest(0))
			conn := mustDial(t, addr)
			old := receive(t, conns)
			if old.write(unsolicited); unsolicited == "" {
				old.mustClose()
			}
			var c *backendConn
			h.onLoop(func() { // a pooled connection whose reader has not run yet
				c = h.addIdleConn("s0", conn)
			})
			h.eventually("it has come", func() bool { return !netcalls.NoDataPending(c.rawConn) })
			client := h.client()
			client.send(lookCommand("a")...)
			b := receive(t, conns)
			if got := b.readCommand(); len(got) != 4 {
				t.Fatalf("the new connection got %q", got)
			}
			b.write(valueReply)
			client.wantValue("on a new connection")
			if unsolicited != "" && old.readCommand() != nil {
				t.Error("a command was written behind the unsolicited bytes")
			}
		})
	}
}

// TestDuplicateReplyAfterNextCommand guards against the same where the duplicate comes once the next command is
// written: no client must be served with it, and no request that may be executing be sent again for it, as it would be
// after the duplicate of a rejection. The request of the next command has failed, as its own reply can not be
// distinguished from the duplicate any more.
func TestDuplicateReplyAfterNextCommand(t *testing.T) {
	other := strings.Replace(valueReply, "v", "w", 1)
	for name, tc := range map[string]struct{ first, between, duplicate string }{
		"a value":                  {valueReply, "", valueReply},
		"a value of two before":    {valueReply, other, valueReply},
		"rejected":                 {"-BUSY\r\n", "", "-BUSY\r\n"},
		"rejected with a report":   {"-BUSY cpu_share=0.5\r\n", "", "-BUSY cpu_share=0.5\r\n"},
		"rejected, another report": {"-BUSY cpu_share=0.5\r\n", "", "-BUSY cpu_share=0.6\r\n"},
		"an error":                 {"-ERR failed\r\n", "", "-ERR failed\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			h := startProxy(t, testConfig(addr), func(h *harness) {
				sendEachRequest(0)(h)
				h.proxy.endpoints.duplicateWindow = 3600
			})
			c := h.client()
			send := func(id string) { c.send(postCommand(id, "body")...) }
			send("a")
			b := receive(t, conns)
			b.readCommand()
			b.write(tc.first)
			receive(t, h.decider.outcomes)
			if tc.between != "" {
				send("between")
				b.readCommand()
				b.write(tc.between)
				receive(t, h.decider.outcomes)
			}
			send("b")
			if got := b.readCommand(); len(got) != 5 || got[2] != "b" {
				t.Fatalf("the connection got %q", got)
			}
			b.write(tc.duplicate)
			if o := receive(t, h.decider.outcomes); o.RequestID != "b" || o.Status != policy.Error || o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if b.readCommand() != nil {
				t.Error("the connection is used again")
			}
		})
	}
}

// TestEqualReplyAfterDuplicateWindowIsAccepted guards against a reply that is rejected for an equal one that came long
// before: its connection had been idle for long enough, so that a duplicate would have been noticed.
func TestEqualReplyAfterDuplicateWindowIsAccepted(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		h.proxy.endpoints.duplicateWindow = 0.001
	})
	c := h.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	b.write(valueReply)
	c.wantValue("the first")
	receive(t, h.decider.outcomes)
	waitForClock(h.proxy, h.proxy.clock.Now()+0.002)
	c.send(lookCommand("b")...)
	b.readCommand()
	b.write(valueReply)
	c.wantValue("the second")
}

// TestConnectionsOfMovedEndpointAreNotPooled guards against a reply from what stands now where an endpoint has been: a
// connection that was in use while its endpoint moved, or restarted, is not pooled.
func TestConnectionsOfMovedEndpointAreNotPooled(t *testing.T) {
	from, old := listenEndpoint(t)
	to, moved := listenEndpoint(t)
	for name, change := range map[string]func(*discovery.Endpoint){
		"moved":     func(e *discovery.Endpoint) { e.Addr = to },
		"restarted": func(e *discovery.Endpoint) { e.StartedMS = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(from), sendEachRequest(0))
			c := h.client()
			c.send(lookCommand("a")...)
			b := receive(t, old)
			b.readCommand()
			h.onLoop(func() {
				h.changeEndpoint(change)
			})
			b.write(valueReply)
			c.wantValue("the reply to the attempt in flight")
			c.send(lookCommand("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = receive(t, next)
			if b.readCommand() == nil {
				t.Fatal("the next command did not come")
			}
			b.write(valueReply)
			c.wantValue("the next one")
		})
	}
}

// TestNoAttemptOnConnectionToAnotherDedupGroup guards against an attempt that reaches another group of endpoints than
// the one for which it was chosen: a list changes the group of its endpoint while it waits for a dial.
func TestNoAttemptOnConnectionToAnotherDedupGroup(t *testing.T) {
	for name, change := range map[string]func(*discovery.Endpoint){
		"zone": func(e *discovery.Endpoint) { e.Zone = "b" },
		"cell": func(e *discovery.Endpoint) { e.Cell = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			free := make(chan struct{})
			h := startProxy(t, testConfig(addr), func(h *harness) {
				sendEachRequest(0)(h)
				h.blockDials(free)
			})
			h.client().send(lookCommand("a")...)
			receive(t, h.decider.requests)
			h.onLoop(func() {
				h.changeEndpoint(change)
			})
			close(free)
			h.wantOutcome(policy.NotSent)
			receive(t, conns).wantNoCommand()
		})
	}
}

// TestFailedDialLeavesIdleConnection guards against an endpoint taken for down, and a request for failed, where a dial
// fails while another connection has become free.
func TestFailedDialLeavesIdleConnection(t *testing.T) {
	addr, conns := listenEndpoint(t)
	fail, dialed := make(chan struct{}), make(chan struct{}, 2)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		dials := 0
		h.beforeDial(func(string) error { // one after another in this test
			dials++
			dialed <- struct{}{}
			if dials == 1 {
				return nil
			}
			<-fail
			return io.ErrUnexpectedEOF
		})
	})
	c := h.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	receive(t, dialed)
	c.send(lookCommand("b")...)
	receive(t, dialed)
	b.write(valueReply)
	c.wantValue("the first")
	if o := receive(t, h.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got %+v", o)
	}
	close(fail)
	if got := b.readCommand(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the free connection got %q", got)
	}
	b.write(valueReply)
	c.wantValue("the second")
}
