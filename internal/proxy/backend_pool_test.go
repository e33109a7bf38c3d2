package proxy

import (
	"io"
	"strings"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestPooledConnections checks that a connection is reused until the endpoint closes it, and that a connection gets no
// command after its idle timeout. An attempt on a connection that the endpoint has closed would end as Reset, and its
// request would count as possibly executed.
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

// TestConnectionWithUnsolicitedBytesIsNotReused checks that a pooled connection is not reused if it has unread bytes or
// the endpoint has closed it, even if its reader has not detected that yet. The unread bytes may be a duplicate of the
// last reply, which would be taken for the reply to the next command.
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
			h.onLoop(func() { // this pooled connection has no reader, as if its reader had not run yet
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

// TestDuplicateReplyAfterNextCommand checks that a duplicate of a reply is not taken for the reply to a later command
// that was written before the duplicate arrived. Otherwise a client could get the value of another request, or a
// request that may be executing could be sent again after a duplicate rejection. The attempt of the later command must
// end as Error, as its own reply can't be told from a duplicate.
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

// TestEqualReplyAfterDuplicateWindowIsAccepted checks that a reply is not taken for a duplicate of an equal reply that
// arrived more than duplicateWindow before the write of the second command. A duplicate of the first reply would have
// arrived before that write.
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

// TestConnectionsOfMovedEndpointAreNotPooled checks that a connection does not return to the pool if its endpoint moved
// or restarted while the connection was in use. Such a connection may lead to a process that is no longer the endpoint.
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

// TestNoAttemptOnConnectionToAnotherDedupGroup checks that an attempt is not sent if the endpoint list moves its
// endpoint to another dedup group while the attempt waits for a dial. The decision module has chosen the endpoint as a
// member of the earlier group.
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

// TestAttemptUsesIdleConnectionAfterFailedDial checks that an attempt whose dial fails is written to another connection
// to the endpoint, if one has become idle in the meantime.
func TestAttemptUsesIdleConnectionAfterFailedDial(t *testing.T) {
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
