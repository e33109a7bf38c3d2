package proxy

import (
	"strings"
	"testing"
	"time"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// waitForClock waits until the clock has passed a time.
func waitForClock(p *Proxy, at float64) {
	for p.clock.Now() < at {
		time.Sleep(time.Millisecond)
	}
}

// TestIdempotencyWindowEndsDuringDial guards against work that may run only once and is sent again: a further attempt
// of a keyed request whose window ends while it waits for a dial is not written, though the decision module allowed it
// in time.
func TestIdempotencyWindowEndsDuringDial(t *testing.T) {
	addr, conns := listenEndpoint(t)
	unblock := make(chan struct{})
	h := startProxy(t, testConfig(addr), func(h *harness) {
		h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", 0, 0.01) }
		h.blockDials(unblock)
	})
	c := h.client()
	c.send(holdCommand("a", "body")...)
	receive(t, h.decider.requests)
	windowEnd := 0.0
	h.onLoop(func() { windowEnd = h.proxy.requests.byID["a"].attempts[0].writeDeadline })
	waitForClock(h.proxy, windowEnd)
	close(unblock)
	h.wantOutcome(policy.NotSent)
	b := receive(t, conns)
	h.eventually("the connection is idle", func() bool { return len(h.proxy.endpoints.byID["s0"].idle) == 1 })
	h.wantNoCommand(b)
}

// TestIdempotencyWindowIsCheckedByClock guards against the same where the event loop lags behind: its time is that of
// the event that it handles, and the window is over by the clock.
func TestIdempotencyWindowIsCheckedByClock(t *testing.T) {
	h, c, b := startWithIdleConnection(t)
	c.send(holdCommand("a", "body")...)
	receive(t, h.decider.requests)
	h.onLoop(func() {
		waitForClock(h.proxy, h.proxy.loop.Now()+0.02)
		h.proxy.Send("a", "s0", 0, 0.01)
	})
	h.wantNotSent(b)
}

// TestIdempotencyWindowEndsDuringWrite guards against the same where an endpoint reads slowly: the last byte does not
// follow once the window is over, and the attempt was not executed.
func TestIdempotencyWindowEndsDuringWrite(t *testing.T) {
	l, h := startWithSmallSockets(t, func(h *harness) {
		h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", 0, 0.05) }
	})
	c := h.client()
	c.send(holdCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, l)
	h.wantOutcome(policy.ConnectFailed) // the endpoint has read nothing
	b.wantNoCommand()
}

// TestIdempotencyWindowAppliesToOneCommand guards against a write deadline that outlives its command: the connection
// serves the next one.
func TestIdempotencyWindowAppliesToOneCommand(t *testing.T) {
	writeWithin := 0.1
	l, h := startWithSmallSockets(t, func(h *harness) {
		h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", 0, writeWithin) }
	})
	c := h.client()
	post := func(id string) {
		c.send(holdCommand(id, strings.Repeat("x", resp.MaxBulkString))...)
	}
	var b *testConn
	var used *attempt
	for b == nil { // until this machine is fast enough for it
		post("a")
		b = acceptOne(t, l)
		h.eventually("it is out", func() bool {
			q := h.proxy.requests.byID["a"]
			if q != nil {
				used = q.attempts[0]
			}
			return q != nil && (used.conn != nil || used.done)
		})
		if b.readCommand() != nil {
			break
		}
		b = nil
		receive(t, h.decider.outcomes)
		h.onLoop(func() { h.proxy.requests.fail(h.proxy.requests.byID["a"], policy.DeadlineTooClose); writeWithin *= 2 })
		c.readLine()
	}
	h.eventually("it is noted", func() bool { return used.conn.commandWritten.Load() })
	b.write(valueReply)
	c.wantValue("the first")
	waitForClock(h.proxy, used.writeDeadline+0.1) // a runtime timer that is late as well
	h.onLoop(func() { writeWithin = 0 })
	post("b")
	if got := b.readCommand(); len(got) != 5 || got[2] != "b" {
		t.Errorf("the endpoint got %d arguments", len(got))
	}
}
