package proxy

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// deadlineField is the field of a request with the remaining time in milliseconds.
var deadlineField = regexp.MustCompile(`d=(\d+)`)

// startWithIdleConnection starts a proxy with an idle connection to its endpoint. It returns a client's connection and
// the endpoint's. The decision module does nothing with the next request.
func startWithIdleConnection(t *testing.T) (h *harness, c, b *testConn) {
	t.Helper()
	h, c, b, _ = startWithAttempt(t)
	b.write(valueReply)
	c.wantValue("the first")
	receive(t, h.decider.requests)
	receive(t, h.decider.outcomes)
	h.onLoop(func() { h.decider.onRequest = nil })
	return h, c, b
}

// TestRemainingTimeIsComputedAtWrite guards against a command that gives its endpoint more time than its client has
// left: the loop's time is that of the event that it handles, and the clock goes on meanwhile.
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
		t.Fatalf("got %q", args)
	} else if ms, _ := strconv.Atoi(deadlineField.FindStringSubmatch(args[3])[1]); float64(ms) > remaining*1000+1 {
		t.Errorf("the command holds %d ms, %.1f ms were left before the write", ms, remaining*1000)
	}
}

// TestNoAttemptIsWrittenAfterItsDeadline guards against the same where no time remains by the clock.
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

// TestSlowCommandWriteIsCutOff guards against a command whose last byte comes so late that the remaining time that it
// holds is not true any more.
func TestSlowCommandWriteIsCutOff(t *testing.T) {
	listener, h := startWithSmallSockets(t, func(h *harness) { h.proxy.endpoints.writeTimeout = 0.01 })
	c := h.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, listener)
	h.wantOutcome(policy.ConnectFailed) // the endpoint has read nothing
	b.wantNoCommand()
}

// TestPartialCommandWrites guards the edge between the two ways in which a broken connection may end an attempt: a
// command of which the socket took only a part was not executed, and one that is written in the end is served.
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
		t.Errorf("a command that was cut off: %+v", o)
	}
	c := post("b")
	b = acceptOne(t, listener)
	if args := b.readCommand(); len(args) != 5 || args[4] != body {
		t.Error("the command did not come as a whole")
	}
	b.write(valueReply)
	c.wantValue("the command that was written in the end")
	h.wantOutcome(policy.OK)
}

// TestTimeoutAtLastByteOfCommand guards against a request that is executed twice: one whose last byte was just written
// when it timed out, before the event loop knew, may have been executed and must not be reported otherwise.
func TestTimeoutAtLastByteOfCommand(t *testing.T) {
	listener, h := startWithSmallSockets(t, func(h *harness) {
		h.proxy.endpoints.afterWrite = func(c *backendConn) { // all is written; nobody learns of it before the timeout
			waitFor(func() bool { return c.rawConn.Control(func(uintptr) {}) != nil })
		}
	})
	c := h.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxBulkString))...)
	b := acceptOne(t, listener)
	if got := b.readCommand(); len(got) != 5 {
		t.Fatalf("the endpoint got %q", got)
	}
	h.onLoop(func() { h.proxy.attempts.handleTimeout(h.proxy.requests.byID["a"].attempts[0]) })
	h.wantOutcome(policy.Timeout)
}

// TestPartiallyWrittenAttemptEndsWithItsRequest guards against an attempt that begins after its request's end, as the
// rest of its command is written: it is cut off as its client disconnects, or as the request has another final reply.
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
