package proxy

import (
	"io"
	"net"
	"strings"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestPooledConnections guards against a request written to a connection that its endpoint has closed while it was
// idle, which would end as a reset that may have executed it.
func TestPooledConnections(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := r.client()
	serve := func(id string, b *testConn) {
		t.Helper()
		b.readCommand()
		b.write(valueReply)
		c.wantValue(id)
		receive(t, r.decider.outcomes)
	}
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	serve("a", b)
	c.send(lookCommand("b")...)
	serve("b", b) // the same connection
	b.hangUp()
	r.eventually("the pool notices the close", func() bool { return r.proxy.endpoints.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	r.onLoop(func() {
		r.proxy.loop.AdvanceTo(r.proxy.loop.Now() + r.proxy.endpoints.idleTimeout + 1)
		r.proxy.endpoints.sweep()
	})
	if b.readCommand() != nil {
		t.Error("a connection that was idle for long was used")
	}
}

// TestNothingIsWrittenBehindUnsolicitedBytes guards against a duplicate of a reply that is taken for the reply to the
// next command: a connection on which bytes wait, or that has ended, gets none, also before its reader has noticed.
func TestNothingIsWrittenBehindUnsolicitedBytes(t *testing.T) {
	for name, unsolicited := range map[string]string{"a duplicate": valueReply, "noise": "x", "the end": ""} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			conn := mustDial(t, addr)
			old := receive(t, conns)
			if old.write(unsolicited); unsolicited == "" {
				old.hangUp()
			}
			var c *backendConn
			r.onLoop(func() { // a pooled connection whose reader has not run yet
				c = r.addIdleConn("s0", conn)
			})
			r.eventually("it has come", func() bool { return !netcalls.NoDataPending(c.rawConn) })
			client := r.client()
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

// TestDuplicateBehindTheNextCommand guards against the same where the duplicate comes once the next command is written:
// no client must be served with it, and no request that may be executing be sent again for it, as it would be after the
// duplicate of a rejection. The request of the next command has failed, as its own reply can not be told from the
// duplicate any more.
func TestDuplicateBehindTheNextCommand(t *testing.T) {
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
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), func(r *harness) {
				sendEachRequest(0)(r)
				r.proxy.endpoints.duplicateWindow = 3600
			})
			c := r.client()
			send := func(id string) { c.send(postCommand(id, "body")...) }
			send("a")
			b := receive(t, conns)
			b.readCommand()
			b.write(tc.first)
			receive(t, r.decider.outcomes)
			if tc.between != "" {
				send("between")
				b.readCommand()
				b.write(tc.between)
				receive(t, r.decider.outcomes)
			}
			send("b")
			if got := b.readCommand(); len(got) != 5 || got[2] != "b" {
				t.Fatalf("the connection got %q", got)
			}
			b.write(tc.duplicate)
			if o := receive(t, r.decider.outcomes); o.RequestID != "b" || o.Status != policy.Error || o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if b.readCommand() != nil {
				t.Error("the connection is used again")
			}
		})
	}
}

// TestAnEqualReplyAfterARestIsGood guards against a reply that is rejected for an equal one that came long before: its
// connection had rested, so that a duplicate would have been noticed.
func TestAnEqualReplyAfterARestIsGood(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		r.proxy.endpoints.duplicateWindow = 0.001
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	b.write(valueReply)
	c.wantValue("the first")
	receive(t, r.decider.outcomes)
	waitForClock(r.proxy, r.proxy.clock.Now()+0.002)
	c.send(lookCommand("b")...)
	b.readCommand()
	b.write(valueReply)
	c.wantValue("the second")
}

// TestMovedEndpointsConnectionsAreNotPooled guards against a reply from what stands now where an endpoint has been: a
// connection that was in use while its endpoint moved, or restarted, is not pooled.
func TestMovedEndpointsConnectionsAreNotPooled(t *testing.T) {
	from, old := listenBackend(t)
	to, moved := listenBackend(t)
	for name, change := range map[string]func(*discovery.Endpoint){
		"moved":     func(e *discovery.Endpoint) { e.Addr = to },
		"restarted": func(e *discovery.Endpoint) { e.StartedMS = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			r := startProxy(t, testConfig(from), sendEachRequest(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, old)
			b.readCommand()
			r.onLoop(func() {
				e := r.proxy.endpoints.byID["s0"].Endpoint
				change(&e)
				r.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{e}})
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

// TestNoAttemptFromADialToAnotherGroup guards against an attempt that reaches another group of endpoints than the one
// for which it was chosen: a list changes the group of its endpoint while it waits for a dial.
func TestNoAttemptFromADialToAnotherGroup(t *testing.T) {
	for name, change := range map[string]func(*discovery.Endpoint){
		"zone": func(e *discovery.Endpoint) { e.Zone = "b" },
		"cell": func(e *discovery.Endpoint) { e.Cell = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			free := make(chan struct{})
			r := startProxy(t, testConfig(addr), func(r *harness) {
				sendEachRequest(0)(r)
				r.holdDials(free)
			})
			r.client().send(lookCommand("a")...)
			receive(t, r.decider.requests)
			r.onLoop(func() {
				e := r.proxy.endpoints.byID["s0"].Endpoint
				change(&e)
				r.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{e}})
			})
			close(free)
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent {
				t.Errorf("got %+v", o)
			}
			if got := receive(t, conns).readCommand(); got != nil {
				t.Errorf("the endpoint got %q", got)
			}
		})
	}
}

// TestFailedDialLeavesTheFreeConnection guards against an endpoint taken for down, and a request for failed, where a
// dial fails while another connection has become free.
func TestFailedDialLeavesTheFreeConnection(t *testing.T) {
	addr, conns := listenBackend(t)
	fail, dialed := make(chan struct{}), make(chan struct{}, 2)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		dial, n := r.proxy.endpoints.dial, 0
		r.proxy.endpoints.dial = func(addr string) (net.Conn, error) { // one after another in this test
			n++
			dialed <- struct{}{}
			if n == 1 {
				return dial(addr)
			}
			<-fail
			return nil, io.ErrUnexpectedEOF
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	receive(t, dialed)
	c.send(lookCommand("b")...)
	receive(t, dialed)
	b.write(valueReply)
	c.wantValue("the first")
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got %+v", o)
	}
	close(fail)
	if got := b.readCommand(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the free connection got %q", got)
	}
	b.write(valueReply)
	c.wantValue("the second")
}
