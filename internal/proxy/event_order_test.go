package proxy

import (
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestQueuedEventsRunBeforeTimers checks that an event that arrives while the event loop is busy is handled before the
// next timer, even if that timer is already due. Otherwise an attempt could time out although its reply has arrived.
func TestQueuedEventsRunBeforeTimers(t *testing.T) {
	h, c, b, _ := startWithAttempt(t)
	h.eventually("the attempt is in flight", func() bool { return h.proxy.requests.byID["a"].attempts[0].conn != nil })
	waiting, arrived := make(chan struct{}), make(chan struct{})
	h.onLoop(func() {
		a := h.proxy.requests.byID["a"].attempts[0]
		h.proxy.loop.After(0, func() { // due at once, like the next timer
			close(waiting)
			<-arrived
			for !h.queued(1)() {
				time.Sleep(time.Millisecond)
			}
		})
		h.proxy.loop.After(0, func() { h.proxy.attempts.handleTimeout(a) })
	})
	receive(t, waiting)
	b.write(valueReply)
	close(arrived)
	h.wantOutcome(policy.OK)
	c.wantValue("the reply that arrived before the timer ran")
}

// TestReadersRunBeforeOverdueTimers checks that after a stall, the readers get time to post events before the overdue
// timers run. Otherwise an attempt could time out although the end of its connection has already reached the socket.
func TestReadersRunBeforeOverdueTimers(t *testing.T) {
	h, _, b, _ := startWithAttempt(t)
	var a *attempt
	h.eventually("the attempt is in flight", func() bool { a = h.proxy.requests.byID["a"].attempts[0]; return a.conn != nil })
	a.conn.writeMu.Lock() // its reader needs the lock to report the end of the connection
	b.mustClose()
	h.eventually("the reader waits for the lock", a.conn.unusable.Load)
	h.onLoop(func() {
		pauses := 0
		h.proxy.loop.PauseForReaders = func() {
			if pauses++; pauses == 2 { // the reader posts only during the second pause
				a.conn.writeMu.Unlock()
			}
			for end := time.Now().Add(testTimeout); pauses == 2 && h.proxy.loop.QueuedEvents() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		h.proxy.loop.After(-1, func() { h.proxy.attempts.handleTimeout(a) }) // overdue by 1 s
	})
	if o := receive(t, h.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("got %+v, want the reset that the reader has posted", o)
	}
}

// TestNoHedgedRequestWhileReplyIsPending checks that no hedged request is sent when the reply to the first attempt is
// already in the event queue or in the socket. Otherwise the request would be sent again although its reply has
// arrived.
func TestNoHedgedRequestWhileReplyIsPending(t *testing.T) {
	for _, where := range []string{"queue", "socket"} {
		t.Run(where, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			h := startProxy(t, testConfig(addr), sendEachRequest(0))
			var b *testConn
			if where == "socket" { // a connection without a reader, so that the reply stays in the socket
				conn := mustDial(t, addr)
				b = receive(t, conns)
				h.onLoop(func() {
					h.addIdleConn("s0", conn)
				})
			}
			c := h.client()
			c.send(lookCommand("a")...)
			if where == "queue" {
				b = receive(t, conns)
			}
			b.readCommand()
			arrived := func() bool { return !h.proxy.requests.byID["a"].attempts[0].conn.awaitingReply.Load() }
			if where == "socket" {
				arrived = func() bool { return !netcalls.NoDataPending(h.proxy.requests.byID["a"].attempts[0].conn.rawConn) }
			}
			h.whileLoopBlocked(func() { b.write(valueReply) }, arrived, func() { h.proxy.Send("a", "s0", 0, 0) })
			for {
				o := receive(t, h.decider.outcomes)
				if o.Attempt == 0 {
					continue
				}
				if o.Status != policy.NotSent {
					t.Errorf("the hedged request ended as %+v, want status not_sent", o)
				}
				break
			}
			if n := len(conns); n != 0 {
				t.Errorf("%d more connections to the endpoint were made, want none", n)
			}
		})
	}
}

// TestNoHedgedRequestAfterDialWhileEndIsPending checks that a hedged request whose dial completes is not sent while
// the end of the first attempt's connection waits to be handled by the event loop. Handling it may finish the request,
// and a finished request must not be sent again.
func TestNoHedgedRequestAfterDialWhileEndIsPending(t *testing.T) {
	addr, conns := listenEndpoint(t)
	other, others := listenEndpoint(t)
	unblock := make(chan struct{})
	h := startProxy(t, testConfig(addr, other), func(h *harness) {
		sendEachRequest(0)(h)
		h.beforeDial(func(to string) error {
			if to == other {
				<-unblock
			}
			return nil
		})
	})
	c := h.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	var first *attempt
	h.onLoop(func() {
		first = h.proxy.requests.byID["a"].attempts[0]
		h.proxy.Send("a", "s1", 0, 0)
	})
	first.conn.writeMu.Lock() // its reader needs the lock to post the end
	b.mustClose()
	h.eventually("the reader waits for the lock", first.conn.unusable.Load)
	close(unblock)
	if o := receive(t, h.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("got %+v, want attempt 1 with status not_sent", o)
	}
	first.conn.writeMu.Unlock()
	h.closePool()
	if got := receive(t, others).readCommand(); got != nil {
		t.Errorf("the hedged request was sent: %q", got)
	}
}
