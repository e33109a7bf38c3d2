package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"reedlead/internal/command"
	"reedlead/internal/discovery"
	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestDisconnectReachesTheDecisionModule guards against a decision module that goes on working for a client that has
// disconnected.
func TestDisconnectReachesTheDecisionModule(t *testing.T) {
	r, c, b, _ := startWithAttempt(t)
	c.hangUp()
	if id := receive(t, r.decider.gone); id != "a" {
		t.Errorf("gone: %q", id)
	}
	b.write(valueReply)
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK || !o.RequestDone {
		t.Errorf("got %+v", o)
	}
}

// TestNothingIsSentForAClientThatHasDisconnected guards against requests that are sent long after their client has
// disconnected while they waited. The event loop waits from before the end of the connection until after the attempt,
// wherever the request waits.
func TestNothingIsSentForAClientThatHasDisconnected(t *testing.T) {
	for name, play := range map[string]func(*testing.T, ending){
		"queued in the decision module":       disconnectWhileQueuedByPolicy,
		"only just read":                      disconnectWhileJustRead,
		"in the socket of a stalled process":  disconnectDuringAStall,
		"between attempts":                    disconnectBetweenAttempts,
		"in the event queue":                  disconnectWhileInTheEventQueue,
		"waiting for a dial":                  disconnectWhileWaitingForADial,
		"in the socket behind other commands": disconnectBehindOtherCommands,
	} {
		for _, how := range []ending{endingClose, endingReset} {
			t.Run(fmt.Sprintf("%s, %s", name, how), func(t *testing.T) { play(t, how) })
		}
	}
}

func disconnectWhileQueuedByPolicy(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	r.whileLoopWaits(func() { c.disconnect(how) }, r.clientClosed("a"), func() {
		r.proxy.Send("a", "s0", 0, 0)
	})
	r.wantNothingSent(conns)
}

func disconnectWhileJustRead(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c, conn := r.knownClient()
	var args [][]byte
	for _, arg := range lookCommand("a") {
		args = append(args, []byte(arg))
	}
	closed := func() bool { return netcalls.ClosedByPeer(conn.rawConn) }
	r.whileLoopWaits(func() { c.disconnect(how) }, closed, func() {
		request, err := command.NewParser(r.proxy.cfg.Settings.Settings).Parse(args)
		if err != nil {
			t.Error(err)
		}
		r.proxy.inputBudget.Reserve(request.Size)
		r.proxy.admitRequest(conn, request, r.proxy.clock.Now())
	})
	r.wantNothingSent(conns)
}

func disconnectDuringAStall(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), nil)
	c := r.client()
	c.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	r.whileLoopWaits(func() { c.disconnect(how) }, r.clientClosed("a"), func() {
		r.proxy.requests["a"].arrivedAt = r.proxy.clock.Now() // it was only read now
		r.proxy.loop.After(-1, func() {})
		r.proxy.Send("a", "s0", 0, 0)
	})
	r.wantNothingSent(conns)
}

func disconnectBetweenAttempts(t *testing.T, how ending) {
	r, c, b, conns := startWithAttempt(t)
	closed := r.clientClosed("a")
	b.write("-ERR failed\r\n")
	receive(t, r.decider.outcomes)
	r.whileLoopWaits(func() { c.disconnect(how) }, closed, func() {
		restarted := r.proxy.endpoints.byID["s0"].Endpoint
		restarted.StartedMS = 1
		r.proxy.applyList(discovery.List{Full: true, Endpoints: []discovery.Endpoint{restarted}})
		r.proxy.Send("a", "s0", 0, 0)
	})
	r.wantNothingSent(conns)
}

func disconnectWhileInTheEventQueue(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c, conn := r.knownClient()
	r.whileLoopWaits(func() { c.send(lookCommand("a")...) }, r.queued(1), func() {
		c.disconnect(how)
		waitFor(func() bool { return netcalls.ClosedByPeer(conn.rawConn) })
		waitForClock(r.proxy, r.proxy.clock.Now()+2*eventloop.LagTolerance) // the command has waited for longer than the lag that counts
	})
	r.wantNothingSent(conns)
}

func disconnectWhileWaitingForADial(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	free := make(chan struct{})
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		r.holdDials(free)
	})
	c := r.client()
	c.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	closed := r.clientClosed("a")
	r.whileLoopWaits(func() { close(free) }, r.queued(1), func() {
		c.disconnect(how)
		waitFor(closed)
	})
	if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || !o.RequestDone {
		t.Errorf("got %+v", o)
	}
	r.wantNoCommand(receive(t, conns))
}

func disconnectBehindOtherCommands(t *testing.T, how ending) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), nil)
	c := r.client()
	var all strings.Builder
	for i := range maxPipelined + 3 {
		all.WriteString(encodeCommand(lookCommand(fmt.Sprint("r", i))...))
	}
	c.write(all.String())
	for range maxPipelined {
		receive(t, r.decider.requests)
	}
	closed := r.clientClosed("r0")
	r.onLoop(func() { r.decider.onRequest = func(q policy.Request) { r.proxy.Send(q.ID, "s0", 0, 0) } })
	if how == endingReset {
		c.disconnect(how)
	} else { // what was sent before a FIN stays readable
		c.closeWrite()
	}
	// With the reply to r0 the next command has its permit.
	r.whileLoopWaits(func() {}, closed, func() { r.proxy.Fail("r0", policy.DeadlineTooClose) })
	r.awaitGone(conns, fmt.Sprint("r", maxPipelined-1))
	r.eventually("all is released", func() bool { return len(r.proxy.requests) == 0 && r.proxy.clients.open() == 0 })
	if len(conns) != 0 || r.proxy.endpoints.openConns != 0 {
		t.Error("a command was sent")
	}
}

// awaitGone waits until the decision module hears that the client of a request is gone, and holds that no connection
// is made before.
func (r *harness) awaitGone(conns <-chan *testConn, id string) {
	r.t.Helper()
	for {
		select {
		case <-conns:
			r.t.Error("a command was sent")
			return
		case gone := <-r.decider.gone:
			if gone == id {
				return
			}
		case <-time.After(patience):
			r.t.Fatal("the decision module never hears of it")
		}
	}
}

// clientClosed tells whether the client of an open request has closed its connection.
func (r *harness) clientClosed(id string) func() bool {
	var open *request
	r.onLoop(func() { open = r.proxy.requests[id] })
	return func() bool { return netcalls.ClosedByPeer(open.client.rawConn) }
}

// knownClient connects a client that has had a reply, and returns both ends of its connection.
func (r *harness) knownClient() (c *testConn, conn *clientConn) {
	r.t.Helper()
	c = r.client()
	c.send("PING")
	c.readLine()
	r.onLoop(func() { conn = r.onlyClient() })
	return c, conn
}

// wantNothingSent holds that the only attempt, of the request a, was not sent, that the decision module has heard that its
// client is gone, and that nothing is left of it.
func (r *harness) wantNothingSent(conns <-chan *testConn) {
	r.t.Helper()
	if o := receive(r.t, r.decider.outcomes); o.Status != policy.NotSent || o.RequestID != "a" || !o.RequestDone {
		r.t.Errorf("got %+v", o)
	}
	if got := receive(r.t, r.decider.gone); got != "a" {
		r.t.Errorf("gone: %q", got)
	}
	r.onLoop(func() {
		if len(conns) != 0 || r.proxy.endpoints.openConns != 0 || len(r.proxy.requests) != 0 {
			r.t.Errorf("%d connections, %d open, %d requests", len(conns), r.proxy.endpoints.openConns, len(r.proxy.requests))
		}
	})
}

// TestADisconnectIsSeenBehindUnreadCommands guards against a client that has disconnected and is taken for one that has
// not, for its commands that are unread, as where its reader waits behind open ones.
func TestADisconnectIsSeenBehindUnreadCommands(t *testing.T) {
	ping := encodeCommand("PING")
	for _, unread := range []string{"", ping, strings.Repeat(ping, 200)} {
		for how, disconnect := range map[string]func(*testConn){
			"closed":      func(c *testConn) { c.disconnect(endingClose) },
			"reset":       func(c *testConn) { c.disconnect(endingReset) },
			"half closed": (*testConn).closeWrite,
		} {
			addr, conns := listenBackend(t)
			near := mustDial(t, addr)
			t.Cleanup(func() { _ = near.Close() })
			raw := rawConnOf(t, near)
			far := receive(t, conns)
			far.write(unread)
			if netcalls.ClosedByPeer(raw) {
				t.Errorf("%d bytes unread: closed before it was", len(unread))
			}
			disconnect(far)
			if !waitFor(func() bool { return netcalls.ClosedByPeer(raw) }) {
				t.Fatalf("%s behind %d bytes: not seen", how, len(unread))
			}
		}
	}
}

// TestADisconnectIsSeenBehindMuchInput guards against a client whose end does not reach this machine, as commands that
// are unread behind open ones fill its socket.
func TestADisconnectIsSeenBehindMuchInput(t *testing.T) {
	r := startProxy(t, testConfig(unreachableAgent), nil)
	_, available := r.idleUsage()
	c := r.client()
	var all strings.Builder
	for i := range maxPipelined + 1000 { // some times what a socket takes at first
		all.WriteString(encodeCommand(lookCommand(fmt.Sprintf("r%0100d", i))...))
	}
	written := make(chan error, 1)
	go func() {
		_, err := c.Write([]byte(all.String()))
		if err == nil {
			err = c.Conn.(*net.TCPConn).CloseWrite()
		}
		written <- err
	}()
	for range maxPipelined {
		receive(t, r.decider.requests)
	}
	if err := receive(t, written); err != nil {
		t.Error(err)
	}
	for range maxPipelined {
		receive(t, r.decider.gone)
	}
	r.eventually("all is released", func() bool { return len(r.proxy.requests) == 0 && r.proxy.clients.open() == 0 })
	if len(r.decider.requests) != 0 {
		t.Error("more of its commands were handled")
	}
	r.eventually("the budget is given back", func() bool { return r.proxy.inputBudget.Available() == available })
}
