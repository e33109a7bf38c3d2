package proxy

import (
	"strings"
	"testing"
	"time"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// waitForClock waits until the clock of the proxy reaches the given time.
func waitForClock(p *Proxy, at float64) {
	for p.clock.Now() < at {
		time.Sleep(time.Millisecond)
	}
}

// TestIdempotencyWindowEndsDuringDial checks that an attempt is not written if the idempotency window of its request
// ends while the attempt waits for a dial. The decision module made the attempt in time, but an endpoint that gets the
// command after the window may execute the request a second time.
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

// TestIdempotencyWindowIsCheckedByClock checks that the end of the idempotency window is compared with the clock, not
// with the time of the current event. If the event loop lags, that event may have happened within a window that has
// ended since.
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

// TestIdempotencyWindowEndsDuringWrite checks that a slow write of a command stops when the idempotency window ends. The
// last byte of the command is not written, so the endpoint does not execute the request.
func TestIdempotencyWindowEndsDuringWrite(t *testing.T) {
	l, h := startWithSmallSockets(t, func(h *harness) {
		h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", 0, 0.05) }
	})
	c := h.client()
	c.send(holdCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, l)
	h.wantOutcome(policy.ConnectFailed) // the endpoint has not read yet, so the write could not be completed
	b.wantNoCommand()
}

// TestIdempotencyWindowAppliesToOneCommand checks that the write deadline of a command does not apply to the next
// command on the connection. Otherwise the write of that command would fail.
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
	for b == nil { // until a command is written within the window; each failure doubles the window
		post("a")
		b = acceptOne(t, l)
		h.eventually("the attempt has a connection or has ended", func() bool {
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
	h.eventually("the command is recorded as written", func() bool { return used.conn.commandWritten.Load() })
	b.write(valueReply)
	c.wantValue("the first request")
	waitForClock(h.proxy, used.writeDeadline+0.1) // 0.1 s more, because a runtime timer may fire late
	h.onLoop(func() { writeWithin = 0 })
	post("b")
	if got := b.readCommand(); len(got) != 5 || got[2] != "b" {
		t.Errorf("the endpoint got %d arguments, want the 5 of request b", len(got))
	}
}
