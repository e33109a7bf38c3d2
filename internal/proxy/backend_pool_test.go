package proxy

import (
	"io"
	"strings"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestPooledConnections guards against a request that is written to a connection which the endpoint closed while it was
// idle. The attempt would end as a reset, after which the request counts as possibly executed. It also checks that a
// connection is closed after its idle timeout.
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
	serve("b", b) // on the same connection
	b.mustClose()
	h.eventually("the pool has removed the closed connection", func() bool { return h.proxy.endpoints.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	h.onLoop(func() {
		h.proxy.loop.AdvanceTo(h.proxy.loop.Now() + h.proxy.endpoints.idleTimeout + 1)
		h.proxy.endpoints.sweep()
	})
	if b.readCommand() != nil {
		t.Error("a command was sent on a connection after its idle timeout")
	}
}

// TestConnectionWithUnsolicitedBytesIsNotReused guards against a duplicate of a reply that is taken for the reply to
// the next command. A pooled connection that has unread bytes or was closed must not be reused, even if its reader has
// not detected that yet.
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
			h.onLoop(func() { // the reader of this pooled connection has not run yet
				c = h.addIdleConn("s0", conn)
			})
			h.eventually("the bytes or the end have arrived", func() bool { return !netcalls.NoDataPending(c.rawConn) })
			client := h.client()
			client.send(lookCommand("a")...)
			b := receive(t, conns)
			if got := b.readCommand(); len(got) != 4 {
				t.Fatalf("the new connection got %q, want the command", got)
			}
			b.write(valueReply)
			client.wantValue("reply on the new connection")
			if unsolicited != "" && old.readCommand() != nil {
				t.Error("a command was written to the connection with unsolicited bytes")
			}
		})
	}
}

// TestDuplicateReplyAfterNextCommand guards against a duplicate of a reply that arrives after the next command was
// written and is taken for its reply. A client would get the value of another request, or, after a duplicate rejection,
// a request that may be executing would be sent again. The next attempt must fail, as its own reply can't be told from
// a duplicate.
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
				t.Fatalf("the connection got %q, want the command of request b", got)
			}
			b.write(tc.duplicate)
			if o := receive(t, h.decider.outcomes); o.RequestID != "b" || o.Status != policy.Error || o.RequestDone {
				t.Errorf("got the outcome %+v, want an error of request b", o)
			}
			if b.readCommand() != nil {
				t.Error("the connection was reused after a duplicate reply")
			}
		})
	}
}

// TestEqualReplyAfterDuplicateWindowIsAccepted guards against a reply that is taken for a duplicate because an equal
// one arrived long before. A duplicate would have arrived within duplicateWindow, before the second command was
// written.
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
	c.wantValue("reply to the first request")
	receive(t, h.decider.outcomes)
	waitForClock(h.proxy, h.proxy.clock.Now()+0.002)
	c.send(lookCommand("b")...)
	b.readCommand()
	b.write(valueReply)
	c.wantValue("reply to the second request")
}

// TestConnectionsOfMovedEndpointAreNotPooled guards against a command that is written to a process which is no longer
// the endpoint. If an endpoint moves or restarts while a connection to it is in use, that connection must not be
// pooled.
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
			c.wantValue("reply to the attempt in flight")
			c.send(lookCommand("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = receive(t, next)
			if b.readCommand() == nil {
				t.Fatal("the new connection did not get the next command")
			}
			b.write(valueReply)
			c.wantValue("reply to the next request")
		})
	}
}

// TestNoAttemptOnConnectionToAnotherDedupGroup guards against an attempt that is sent to another dedup group than the
// one for which the endpoint was chosen, because the endpoint list changes the group while the attempt waits for a
// dial.
func TestNoAttemptOnConnectionToAnotherDedupGroup(t *testing.T) {
	for name, change := range map[string]func(*discovery.Endpoint){
		"zone": func(e *discovery.Endpoint) { e.Zone = "b" },
		"cell": func(e *discovery.Endpoint) { e.Cell = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			unblockDials := make(chan struct{})
			h := startProxy(t, testConfig(addr), func(h *harness) {
				sendEachRequest(0)(h)
				h.blockDials(unblockDials)
			})
			h.client().send(lookCommand("a")...)
			receive(t, h.decider.requests)
			h.onLoop(func() {
				h.changeEndpoint(change)
			})
			close(unblockDials)
			h.wantOutcome(policy.NotSent)
			receive(t, conns).wantNoCommand()
		})
	}
}

// TestFailedDialLeavesIdleConnection guards against an attempt that fails with its dial although another connection to
// the endpoint has become idle in the meantime. It must be written to that connection.
func TestFailedDialLeavesIdleConnection(t *testing.T) {
	addr, conns := listenEndpoint(t)
	fail, dialed := make(chan struct{}), make(chan struct{}, 2)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		dials := 0
		h.beforeDial(func(string) error { // dials do not overlap in this test
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
	c.wantValue("reply to the first request")
	if o := receive(t, h.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got the outcome %+v, want OK", o)
	}
	close(fail)
	if got := b.readCommand(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the idle connection got %q, want the command of request b", got)
	}
	b.write(valueReply)
	c.wantValue("reply to the second request")
}
