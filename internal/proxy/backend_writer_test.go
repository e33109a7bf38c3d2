package proxy

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// deadlineField matches the field of a command that states the remaining time in milliseconds.
var deadlineField = regexp.MustCompile(`d=(\d+)`)

// startWithIdleConnection starts a proxy with an idle connection to its endpoint. It returns the connection of a
// client, and the endpoint's end of the idle connection. The decision module does not act on further requests.
func startWithIdleConnection(t *testing.T) (h *harness, c, b *testConn) {
	t.Helper()
	h, c, b, _ = startWithAttempt(t)
	b.write(valueReply)
	c.wantValue("reply to the first request")
	receive(t, h.decider.requests)
	receive(t, h.decider.outcomes)
	h.onLoop(func() { h.decider.onRequest = nil })
	return h, c, b
}

// TestRemainingTimeIsComputedAtWrite checks that a command does not state more time than its request has left. The
// remaining time must be computed from the clock, as event time does not advance while an event is handled.
func TestRemainingTimeIsComputedAtWrite(t *testing.T) {
	h, c, b := startWithIdleConnection(t)
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=20000,units=2,spread=2,first=1")
	receive(t, h.decider.requests)
	remaining := 0.0
	h.onLoop(func() {
		waitForClock(h.proxy, h.proxy.loop.Now()+0.05)
		remaining = h.proxy.requests.byID["a"].deadline - h.proxy.clock.Now()
		h.proxy.Send("a", "s0", 0, 0)
	})
	if args := b.readCommand(); len(args) != 4 {
		t.Fatalf("the endpoint got %q, want the command", args)
	} else if ms, _ := strconv.Atoi(deadlineField.FindStringSubmatch(args[3])[1]); float64(ms) > remaining*1000+1 {
		t.Errorf("the command states %d ms, but only %.1f ms were left before the write", ms, remaining*1000)
	}
}

// TestNoAttemptIsWrittenAfterItsDeadline checks that a command is not written after the deadline of its request has
// passed by the clock, even if event time is still before the deadline.
func TestNoAttemptIsWrittenAfterItsDeadline(t *testing.T) {
	h, c, b := startWithIdleConnection(t)
	h.openRequest(c, "a")
	h.onLoop(func() {
		h.proxy.requests.byID["a"].deadline = h.proxy.loop.Now() + 0.01
		waitForClock(h.proxy, h.proxy.loop.Now()+0.02)
		h.proxy.Send("a", "s0", 0, 0)
	})
	h.wantNotSent(b)
}

// TestSlowCommandWriteIsCutOff checks that the write of a long command is aborted if it takes longer than the reserve of
// the command plus writeTimeout. A command that was completed later would state too much remaining time.
func TestSlowCommandWriteIsCutOff(t *testing.T) {
	listener, h := startWithSmallSockets(t, func(h *harness) { h.proxy.endpoints.writeTimeout = 0.01 })
	c := h.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, listener)
	h.wantOutcome(policy.ConnectFailed) // the endpoint has read nothing yet
	b.wantNoCommand()
}

// TestPartialCommandWrites checks the outcome of commands that the socket accepts only in part at first. If the
// connection ends before the rest is written, the endpoint did not execute the command, so the attempt must end as
// ConnectFailed instead of Reset. If the rest is written, the attempt must succeed.
func TestPartialCommandWrites(t *testing.T) {
	listener, h := startWithSmallSockets(t, nil)
	body := strings.Repeat("x", resp.MaxBulkString)
	post := func(id string) *testConn {
		c := h.client()
		c.send(postCommand(id, body)...)
		receive(t, h.decider.requests)
		return c
	}
	post("a")
	b := acceptOne(t, listener)
	h.awaitPartialWrite("a")
	b.mustClose()
	if o := receive(t, h.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("partly written command: got the outcome %+v, want ConnectFailed", o)
	}
	c := post("b")
	b = acceptOne(t, listener)
	if args := b.readCommand(); len(args) != 5 || args[4] != body {
		t.Error("the endpoint did not get the complete command")
	}
	b.write(valueReply)
	c.wantValue("the command that was completed later")
	h.wantOutcome(policy.OK)
}

// TestTimeoutAtLastByteOfCommand checks the outcome of an attempt that times out after the writer has written the last
// byte, but before it has set commandWritten. The outcome must be Timeout, as the endpoint may execute the command. If
// the outcome was ConnectFailed, the request could be sent again and executed twice.
func TestTimeoutAtLastByteOfCommand(t *testing.T) {
	listener, h := startWithSmallSockets(t, func(h *harness) {
		h.proxy.endpoints.afterWrite = func(c *backendConn) { // delays commandWritten until the timeout has closed the connection
			waitFor(func() bool { return c.rawConn.Control(func(uintptr) {}) != nil })
		}
	})
	c := h.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, listener)
	if got := b.readCommand(); len(got) != 5 {
		t.Fatalf("the endpoint got %q, want the command", got)
	}
	h.onLoop(func() { h.proxy.attempts.handleTimeout(h.proxy.requests.byID["a"].attempts[0]) })
	h.wantOutcome(policy.Timeout)
}

// TestPartiallyWrittenAttemptEndsWithItsRequest checks that the write of a command is aborted when the client
// disconnects, and when the request is rejected. If the rest of the command was still written, the endpoint could
// execute the request after it has ended.
func TestPartiallyWrittenAttemptEndsWithItsRequest(t *testing.T) {
	for name, end := range map[string]func(h *harness, c *testConn){
		"the client disconnects": func(_ *harness, c *testConn) { c.mustClose() },
		"it is rejected":         func(h *harness, _ *testConn) { h.onLoop(func() { h.proxy.Reject("a", 1, policy.DeadlineTooClose) }) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, h := startWithSmallSockets(t, nil)
			c := h.client()
			c.send(postCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
			b := acceptOne(t, listener)
			h.awaitPartialWrite("a")
			end(h, c)
			h.wantFinalOutcome(policy.NotSent)
			b.wantNoCommand()
		})
	}
}
