package proxy

import (
	"net"
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestWhatHasComeGoesBeforeTimers guards against timers that overtake what has come during a stall of the process: an
// attempt that has its reply would time out, and an attempt would be sent to an endpoint that is known to be draining.
func TestWhatHasComeGoesBeforeTimers(t *testing.T) {
	r, c, b, _ := startWithAttempt(t)
	r.eventually("it is in flight", func() bool { return r.proxy.requests["a"].attempts[0].conn != nil })
	waiting, arrived := make(chan struct{}), make(chan struct{})
	r.onLoop(func() {
		a := r.proxy.requests["a"].attempts[0]
		r.proxy.loop.After(0, func() { // the first late timer; the next one is due as well
			close(waiting)
			<-arrived
			for !r.queued(1)() {
				time.Sleep(time.Millisecond)
			}
		})
		r.proxy.loop.After(0, func() { r.proxy.expireAttempt(a) })
	})
	receive(t, waiting)
	b.write(valueReply)
	close(arrived)
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got %+v", o)
	}
	c.wantValue("the reply that had come")
}

// TestReadersGoBeforeLateTimers guards against the same where the reply is still in the socket: no timer of a process
// that stalled fires before the readers had their turn.
func TestReadersGoBeforeLateTimers(t *testing.T) {
	r, _, b, _ := startWithAttempt(t)
	var a *attempt
	r.eventually("it is in flight", func() bool { a = r.proxy.requests["a"].attempts[0]; return a.conn != nil })
	a.conn.writeMu.Lock() // its reader reports the end of the connection once it has this
	b.hangUp()
	r.eventually("the reader waits", a.conn.unusable.Load)
	r.onLoop(func() {
		turns := 0
		r.proxy.loop.YieldToReaders = func() {
			if turns++; turns == 2 { // it needs no more than that
				a.conn.writeMu.Unlock()
			}
			for end := time.Now().Add(patience); turns == 2 && r.proxy.loop.QueuedEvents() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		r.proxy.loop.After(-1, func() { r.proxy.expireAttempt(a) }) // long overdue
	})
	if o := receive(t, r.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("got %+v, want the end that the reader posts", o)
	}
}

// TestNoAttemptBesideAReplyThatHasCome guards against a hedge or a retry beside a reply that has come, be it in the
// event queue or still in the socket: the request would be sent again after its final reply.
func TestNoAttemptBesideAReplyThatHasCome(t *testing.T) {
	for _, where := range []string{"queue", "socket"} {
		t.Run(where, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			var b *testConn
			if where == "socket" { // a connection that nobody reads
				conn := mustDial(t, addr)
				b = receive(t, conns)
				r.onLoop(func() {
					r.addIdleConn("s0", conn)
				})
			}
			c := r.client()
			c.send(lookCommand("a")...)
			if where == "queue" {
				b = receive(t, conns)
			}
			b.readCommand()
			arrived := func() bool { return !r.proxy.requests["a"].attempts[0].conn.awaitingReply.Load() }
			if where == "socket" {
				arrived = func() bool { return !netcalls.NoDataPending(r.proxy.requests["a"].attempts[0].conn.rawConn) }
			}
			r.whileLoopWaits(func() { b.write(valueReply) }, arrived, func() { r.proxy.Send("a", "s0", 0, 0) })
			for {
				o := receive(t, r.decider.outcomes)
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

// TestNoAttemptFromADialBesideAReplyThatHasCome guards against the same where the hedge waited for a dial when the
// reply came.
func TestNoAttemptFromADialBesideAReplyThatHasCome(t *testing.T) {
	addr, conns := listenBackend(t)
	other, others := listenBackend(t)
	free := make(chan struct{})
	r := startProxy(t, testConfig(addr, other), func(r *harness) {
		sendEachRequest(0)(r)
		dial := r.proxy.endpoints.dial
		r.proxy.endpoints.dial = func(to string) (net.Conn, error) {
			if to == other {
				<-free
			}
			return dial(to)
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	var first *attempt
	r.onLoop(func() {
		first = r.proxy.requests["a"].attempts[0]
		r.proxy.Send("a", "s1", 0, 0)
	})
	first.conn.writeMu.Lock() // its reader posts the end once it has this
	b.hangUp()
	r.eventually("the reader waits", first.conn.unusable.Load)
	close(free)
	if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	first.conn.writeMu.Unlock()
	r.closePool()
	if got := receive(t, others).readCommand(); got != nil {
		t.Errorf("the hedge was sent: %q", got)
	}
}
