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

// TestDisconnectReachesDecisionModule guards against a decision module that goes on working for a client that has
// disconnected.
func TestDisconnectReachesDecisionModule(t *testing.T) {
	h, c, b, _ := startWithAttempt(t)
	c.mustClose()
	if id := receive(t, h.decider.gone); id != "a" {
		t.Errorf("gone: %q", id)
	}
	b.write(valueReply)
	h.wantFinalOutcome(policy.OK)
}

// TestNoAttemptForDisconnectedClient guards against requests that are sent long after their client has disconnected
// while they waited. The event loop waits from before the end of the connection until after the attempt, wherever the
// request waits.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for name, disconnect := range map[string]func(*testing.T, disconnectKind){
		"queued in the decision module":       disconnectWhileQueuedByPolicy,
		"only just read":                      disconnectWhileJustRead,
		"in the socket of a stalled process":  disconnectDuringAStall,
		"between attempts":                    disconnectBetweenAttempts,
		"in the event queue":                  disconnectWhileInTheEventQueue,
		"waiting for a dial":                  disconnectWhileWaitingForADial,
		"in the socket behind other commands": disconnectBehindOtherCommands,
	} {
		for _, how := range []disconnectKind{byClose, byReset} {
			t.Run(fmt.Sprintf("%s, %s", name, how), func(t *testing.T) { disconnect(t, how) })
		}
	}
}

func disconnectWhileQueuedByPolicy(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), nil)
	c := h.client()
	h.openRequest(c, "a")
	h.whileLoopBlocked(func() { c.disconnect(how) }, h.clientClosed("a"), func() {
		h.proxy.Send("a", "s0", 0, 0)
	})
	h.wantNothingSent(conns)
}

func disconnectWhileJustRead(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), sendEachRequest(0))
	c, conn := h.pingedClient()
	var args [][]byte
	for _, arg := range lookCommand("a") {
		args = append(args, []byte(arg))
	}
	closed := func() bool { return netcalls.ClosedByPeer(conn.rawConn) }
	h.whileLoopBlocked(func() { c.disconnect(how) }, closed, func() {
		request, err := command.NewParser(h.proxy.cfg.Settings.Settings).Parse(args)
		if err != nil {
			t.Error(err)
		}
		h.proxy.inputBudget.Reserve(request.Size)
		h.proxy.requests.admit(conn, request, h.proxy.clock.Now())
	})
	h.wantNothingSent(conns)
}

func disconnectDuringAStall(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), nil)
	c := h.client()
	h.openRequest(c, "a")
	h.whileLoopBlocked(func() { c.disconnect(how) }, h.clientClosed("a"), func() {
		h.proxy.requests.byID["a"].arrivedAt = h.proxy.clock.Now() // it was only read now
		h.proxy.loop.After(-1, func() {})
		h.proxy.Send("a", "s0", 0, 0)
	})
	h.wantNothingSent(conns)
}

func disconnectBetweenAttempts(t *testing.T, how disconnectKind) {
	h, c, b, conns := startWithAttempt(t)
	closed := h.clientClosed("a")
	b.write("-ERR failed\r\n")
	receive(t, h.decider.outcomes)
	h.whileLoopBlocked(func() { c.disconnect(how) }, closed, func() {
		h.changeEndpoint(func(restarted *discovery.Endpoint) { restarted.StartedMS = 1 })
		h.proxy.Send("a", "s0", 0, 0)
	})
	h.wantNothingSent(conns)
}

func disconnectWhileInTheEventQueue(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), sendEachRequest(0))
	c, conn := h.pingedClient()
	h.whileLoopBlocked(func() { c.send(lookCommand("a")...) }, h.queued(1), func() {
		c.disconnect(how)
		waitFor(func() bool { return netcalls.ClosedByPeer(conn.rawConn) })
		waitForClock(h.proxy, h.proxy.clock.Now()+2*eventloop.StallThreshold) // the command has waited for longer than the lag that counts
	})
	h.wantNothingSent(conns)
}

func disconnectWhileWaitingForADial(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	unblock := make(chan struct{})
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		h.blockDials(unblock)
	})
	c := h.client()
	h.openRequest(c, "a")
	closed := h.clientClosed("a")
	h.whileLoopBlocked(func() { close(unblock) }, h.queued(1), func() {
		c.disconnect(how)
		waitFor(closed)
	})
	h.wantFinalOutcome(policy.NotSent)
	h.wantNoCommand(receive(t, conns))
}

func disconnectBehindOtherCommands(t *testing.T, how disconnectKind) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), nil)
	c := h.client()
	var all strings.Builder
	for i := range maxPipelined + 3 {
		all.WriteString(encodeCommand(lookCommand(fmt.Sprint("r", i))...))
	}
	c.write(all.String())
	for range maxPipelined {
		receive(t, h.decider.requests)
	}
	closed := h.clientClosed("r0")
	h.onLoop(func() { h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", 0, 0) } })
	if how == byReset {
		c.disconnect(how)
	} else { // what was sent before a FIN stays readable
		c.closeWrite()
	}
	// With the reply to r0 the next command has its permit.
	h.whileLoopBlocked(func() {}, closed, func() { h.proxy.Fail("r0", policy.DeadlineTooClose) })
	h.awaitClientGone(conns, fmt.Sprint("r", maxPipelined-1))
	h.eventually("all is released", func() bool { return len(h.proxy.requests.byID) == 0 && h.proxy.clients.open() == 0 })
	if len(conns) != 0 || h.proxy.endpoints.openConns != 0 {
		t.Error("a command was sent")
	}
}

// awaitClientGone waits until the decision module is notified that the client of a request is gone, and holds that no
// connection is made before.
func (h *harness) awaitClientGone(conns <-chan *testConn, id string) {
	h.t.Helper()
	for {
		select {
		case <-conns:
			h.t.Error("a command was sent")
			return
		case gone := <-h.decider.gone:
			if gone == id {
				return
			}
		case <-time.After(testTimeout):
			h.t.Fatal("the decision module is never notified")
		}
	}
}

// clientClosed reports whether the client of an open request has closed its connection.
func (h *harness) clientClosed(id string) func() bool {
	var open *request
	h.onLoop(func() { open = h.proxy.requests.byID[id] })
	return func() bool { return netcalls.ClosedByPeer(open.client.rawConn) }
}

// pingedClient connects a client that has had a reply, and returns both ends of its connection.
func (h *harness) pingedClient() (c *testConn, conn *clientConn) {
	h.t.Helper()
	c = h.client()
	c.mustPing()
	h.onLoop(func() { conn = h.onlyClient() })
	return c, conn
}

// wantNothingSent holds that the only attempt, of the request a, was not sent, that the decision module was notified
// that its client is gone, and that nothing is left of it.
func (h *harness) wantNothingSent(conns <-chan *testConn) {
	h.t.Helper()
	if o := receive(h.t, h.decider.outcomes); o.Status != policy.NotSent || o.RequestID != "a" || !o.RequestDone {
		h.t.Errorf("got %+v", o)
	}
	if got := receive(h.t, h.decider.gone); got != "a" {
		h.t.Errorf("gone: %q", got)
	}
	h.onLoop(func() {
		if len(conns) != 0 || h.proxy.endpoints.openConns != 0 || len(h.proxy.requests.byID) != 0 {
			h.t.Errorf("%d connections, %d open, %d requests", len(conns), h.proxy.endpoints.openConns, len(h.proxy.requests.byID))
		}
	})
}

// TestDisconnectIsDetectedBehindUnreadCommands guards against a client that has disconnected and is taken for one that
// has not, for its commands that are unread, as where its reader waits behind open ones.
func TestDisconnectIsDetectedBehindUnreadCommands(t *testing.T) {
	ping := encodeCommand("PING")
	for _, unread := range []string{"", ping, strings.Repeat(ping, 200)} {
		for how, disconnect := range map[string]func(*testConn){
			"closed":      func(c *testConn) { c.disconnect(byClose) },
			"reset":       func(c *testConn) { c.disconnect(byReset) },
			"half closed": (*testConn).closeWrite,
		} {
			addr, conns := listenEndpoint(t)
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

// TestDisconnectIsDetectedBehindLargeInput guards against a client whose end does not reach this machine, as commands
// that are unread behind open ones fill its socket.
func TestDisconnectIsDetectedBehindLargeInput(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAgent), nil)
	_, available := h.resourceUsage()
	c := h.client()
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
		receive(t, h.decider.requests)
	}
	if err := receive(t, written); err != nil {
		t.Error(err)
	}
	for range maxPipelined {
		receive(t, h.decider.gone)
	}
	h.eventually("all is released", func() bool { return len(h.proxy.requests.byID) == 0 && h.proxy.clients.open() == 0 })
	if len(h.decider.requests) != 0 {
		t.Error("more of its commands were handled")
	}
	h.eventually("the budget is given back", func() bool { return h.proxy.inputBudget.Available() == available })
}
