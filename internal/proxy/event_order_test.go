package proxy

import (
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestQueuedEventsRunBeforeTimers guards against timers that overtake what has come during a stall of the process: an
// attempt that has its reply would time out, and an attempt would be sent to an endpoint that is known to be draining.
func TestQueuedEventsRunBeforeTimers(t *testing.T) {
	h, c, b, _ := startWithAttempt(t)
	h.eventually("it is in flight", func() bool { return h.proxy.requests.byID["a"].attempts[0].conn != nil })
	waiting, arrived := make(chan struct{}), make(chan struct{})
	h.onLoop(func() {
		a := h.proxy.requests.byID["a"].attempts[0]
		h.proxy.loop.After(0, func() { // the first late timer; the next one is due as well
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
	c.wantValue("the reply that had come")
}

// TestReadersRunBeforeOverdueTimers guards against the same where the reply is still in the socket: no timer of a
// process that stalled fires before the readers have run.
func TestReadersRunBeforeOverdueTimers(t *testing.T) {
	h, _, b, _ := startWithAttempt(t)
	var a *attempt
	h.eventually("it is in flight", func() bool { a = h.proxy.requests.byID["a"].attempts[0]; return a.conn != nil })
	a.conn.writeMu.Lock() // its reader reports the end of the connection once it has this
	b.mustClose()
	h.eventually("the reader waits", a.conn.unusable.Load)
	h.onLoop(func() {
		yields := 0
		h.proxy.loop.PauseForReaders = func() {
			if yields++; yields == 2 { // it needs no more than that
				a.conn.writeMu.Unlock()
			}
			for end := time.Now().Add(testTimeout); yields == 2 && h.proxy.loop.QueuedEvents() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		h.proxy.loop.After(-1, func() { h.proxy.attempts.handleTimeout(a) }) // long overdue
	})
	if o := receive(t, h.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("got %+v, want the end that the reader posts", o)
	}
}

// TestNoAttemptWhileReplyIsPending guards against a hedge or a retry beside a reply that has come, be it in the event
// queue or still in the socket: the request would be sent again after its final reply.
func TestNoAttemptWhileReplyIsPending(t *testing.T) {
	for _, where := range []string{"queue", "socket"} {
		t.Run(where, func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			h := startProxy(t, testConfig(addr), sendEachRequest(0))
			var b *testConn
			if where == "socket" { // a connection that nobody reads
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
					t.Errorf("the hedge ended as %+v", o)
				}
				break
			}
			if n := len(conns); n != 0 {
				t.Errorf("%d more connections were made", n)
			}
		})
	}
}

// TestNoAttemptAfterDialWhileReplyIsPending guards against the same where the hedge waited for a dial when the reply
// came.
func TestNoAttemptAfterDialWhileReplyIsPending(t *testing.T) {
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
	first.conn.writeMu.Lock() // its reader posts the end once it has this
	b.mustClose()
	h.eventually("the reader waits", first.conn.unusable.Load)
	close(unblock)
	if o := receive(t, h.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	first.conn.writeMu.Unlock()
	h.closePool()
	if got := receive(t, others).readCommand(); got != nil {
		t.Errorf("the hedge was sent: %q", got)
	}
}
