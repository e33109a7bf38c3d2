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

// TestDisconnectReachesDecisionModule checks that the decision module is notified when the client of an open request
// disconnects, and still gets the outcome of the attempt in flight.
func TestDisconnectReachesDecisionModule(t *testing.T) {
	h, c, b, _ := startWithAttempt(t)
	c.mustClose()
	if id := receive(t, h.decider.disconnected); id != "a" {
		t.Errorf("got the disconnect of the client of request %q, want a", id)
	}
	b.write(valueReply)
	h.wantFinalOutcome(policy.OK)
}

// TestNoAttemptForDisconnectedClient checks that no attempt of a request is sent once its client has disconnected, even
// if the event loop has not handled the disconnect yet. The name of each case says how far the request has come when
// its client disconnects.
func TestNoAttemptForDisconnectedClient(t *testing.T) {
	for name, disconnect := range map[string]func(*testing.T, disconnectKind){
		"queued in the decision module":       disconnectWhileQueuedByPolicy,
		"just read":                           disconnectWhileJustRead,
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
		h.proxy.inputBudget.Reserve(openRequestSize(request))
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
		h.proxy.requests.byID["a"].arrivedAt = h.proxy.clock.Now() // as if it had been read only now
		h.proxy.loop.After(-1, func() {})                          // an overdue timer, as after a stall
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
		waitForClock(h.proxy, h.proxy.clock.Now()+2*eventloop.StallThreshold) // the command waits as if the process had stalled
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
	} else { // unlike after a reset, the commands before a FIN can still be read
		c.closeWrite()
	}
	// After a FIN, the reply to r0 can still be written, which releases a permit: the reader then handles the next command.
	// After a reset, the write fails.
	h.whileLoopBlocked(func() {}, closed, func() { h.proxy.Fail("r0", policy.DeadlineTooClose) })
	h.awaitClientDisconnected(conns, fmt.Sprint("r", maxPipelined-1))
	h.eventually("requests and connections are removed", func() bool { return len(h.proxy.requests.byID) == 0 && h.proxy.clients.open() == 0 })
	if len(conns) != 0 || h.proxy.endpoints.openConns != 0 {
		t.Error("the endpoint got a connection, or one to it is still open")
	}
}

// awaitClientDisconnected waits until the decision module is notified that the client of a request has disconnected. It
// checks that no connection to the endpoint is made before that.
func (h *harness) awaitClientDisconnected(conns <-chan *testConn, id string) {
	h.t.Helper()
	for {
		select {
		case <-conns:
			h.t.Error("the endpoint got a connection before the decision module was notified of the disconnect")
			return
		case disconnected := <-h.decider.disconnected:
			if disconnected == id {
				return
			}
		case <-time.After(testTimeout):
			h.t.Fatal("the decision module was not notified of the disconnect")
		}
	}
}

// clientClosed returns a function that reports whether the client of an open request has closed or reset its connection.
func (h *harness) clientClosed(id string) func() bool {
	var open *request
	h.onLoop(func() { open = h.proxy.requests.byID[id] })
	return func() bool { return netcalls.ClosedByPeer(open.client.rawConn) }
}

// pingedClient connects a client, which must be the only one, and waits for the reply to a PING. It returns both ends of
// the connection.
func (h *harness) pingedClient() (c *testConn, conn *clientConn) {
	h.t.Helper()
	c = h.client()
	c.mustPing()
	h.onLoop(func() { conn = h.onlyClient() })
	return c, conn
}

// wantNothingSent checks that request a is done with the outcome NotSent, and that the decision module was notified of
// the disconnect. It also checks that no request is left, that conns is empty, and that no connection to an endpoint is
// open.
func (h *harness) wantNothingSent(conns <-chan *testConn) {
	h.t.Helper()
	if o := receive(h.t, h.decider.outcomes); o.Status != policy.NotSent || o.RequestID != "a" || !o.RequestDone {
		h.t.Errorf("got %+v, want status not_sent for request a, and the request done", o)
	}
	if got := receive(h.t, h.decider.disconnected); got != "a" {
		h.t.Errorf("got the disconnect of the client of request %q, want a", got)
	}
	h.onLoop(func() {
		if len(conns) != 0 || h.proxy.endpoints.openConns != 0 || len(h.proxy.requests.byID) != 0 {
			h.t.Errorf("%d new connections to the endpoint, %d still open, %d requests left, want none", len(conns), h.proxy.endpoints.openConns, len(h.proxy.requests.byID))
		}
	})
}

// TestDisconnectIsDetectedBehindUnreadCommands checks that a disconnect is detected while the socket holds unread
// commands that were sent before the disconnect. Commands may stay unread while the reader waits for a permit.
func TestDisconnectIsDetectedBehindUnreadCommands(t *testing.T) {
	ping := encodeCommand("PING")
	for _, unread := range []string{"", ping, strings.Repeat(ping, 200)} {
		for how, disconnect := range map[string]func(*testConn){
			"closed":      func(c *testConn) { c.disconnect(byClose) },
			"reset":       func(c *testConn) { c.disconnect(byReset) },
			"half-closed": (*testConn).closeWrite,
		} {
			addr, conns := listenEndpoint(t)
			local := mustDial(t, addr)
			t.Cleanup(func() { _ = local.Close() })
			raw := rawConnOf(t, local)
			peer := receive(t, conns)
			peer.write(unread)
			if netcalls.ClosedByPeer(raw) {
				t.Errorf("%d bytes unread: reported as closed before the disconnect", len(unread))
			}
			disconnect(peer)
			if !waitFor(func() bool { return netcalls.ClosedByPeer(raw) }) {
				t.Fatalf("%s behind %d unread bytes: the disconnect is not detected", how, len(unread))
			}
		}
	}
}

// TestDisconnectIsDetectedBehindLargeInput checks that a disconnect is detected behind more commands than the receive
// buffer of a socket holds. Without reading ahead, the FIN behind them would not arrive.
func TestDisconnectIsDetectedBehindLargeInput(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	_, available := h.resourceUsage()
	c := h.client()
	var all strings.Builder
	for i := range maxPipelined + 1000 { // about 200 KB, more than the receive buffer holds initially
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
		receive(t, h.decider.disconnected)
	}
	h.eventually("requests and connections are removed", func() bool { return len(h.proxy.requests.byID) == 0 && h.proxy.clients.open() == 0 })
	if len(h.decider.requests) != 0 {
		t.Error("commands were handled after the disconnect")
	}
	h.eventually("the budget is released", func() bool { return h.proxy.inputBudget.Available() == available })
}
