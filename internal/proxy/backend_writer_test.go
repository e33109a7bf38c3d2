package proxy

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// deadlineField is the field of a request that tells the remaining time in milliseconds.
var deadlineField = regexp.MustCompile(`d=(\d+)`)

// startWithIdleConnection starts a proxy with an idle connection to its endpoint. It returns a client's connection and
// the endpoint's. The decision module does nothing with the next request.
func startWithIdleConnection(t *testing.T) (r *harness, c, b *testConn) {
	t.Helper()
	r, c, b, _ = startWithAttempt(t)
	b.write(valueReply)
	c.wantValue("the first")
	receive(t, r.decider.requests)
	receive(t, r.decider.outcomes)
	r.onLoop(func() { r.decider.onRequest = nil })
	return r, c, b
}

// TestRemainingTimeIsThatAtTheWrite guards against a command that tells its endpoint more time than its client has left:
// the loop's time is that of the event that it handles, and the clock goes on meanwhile.
func TestRemainingTimeIsThatAtTheWrite(t *testing.T) {
	r, c, b := startWithIdleConnection(t)
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=20000,units=2,spread=2,first=1")
	receive(t, r.decider.requests)
	remaining := 0.0
	r.onLoop(func() {
		waitForClock(r.proxy, r.proxy.loop.Now()+0.05)
		remaining = r.proxy.requests["a"].deadline - r.proxy.clock.Now()
		r.proxy.Send("a", "s0", 0, 0)
	})
	if args := b.readCommand(); len(args) != 4 {
		t.Fatalf("got %q", args)
	} else if ms, _ := strconv.Atoi(deadlineField.FindStringSubmatch(args[3])[1]); float64(ms) > remaining*1000+1 {
		t.Errorf("the command tells %d ms, %.1f ms were left before the write", ms, remaining*1000)
	}
}

// TestNoAttemptBeginsWithNoTimeLeft guards against the same where no time remains by the clock.
func TestNoAttemptBeginsWithNoTimeLeft(t *testing.T) {
	r, c, b := startWithIdleConnection(t)
	c.send(lookCommand("a")...)
	receive(t, r.decider.requests)
	r.onLoop(func() {
		r.proxy.requests["a"].deadline = r.proxy.loop.Now() + 0.01
		waitForClock(r.proxy, r.proxy.loop.Now()+0.02)
		r.proxy.Send("a", "s0", 0, 0)
	})
	r.wantNotSent(b)
}

// TestACommandThatTakesTooLongIsCutOff guards against a command whose last byte comes so late that the
// remaining time that it tells is not true any more.
func TestACommandThatTakesTooLongIsCutOff(t *testing.T) {
	listener, r := startWithSmallSockets(t, func(r *harness) { r.proxy.endpoints.writeSlack = 0.01 })
	c := r.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxValue))...)
	b := acceptOne(t, listener)
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed { // the endpoint has read nothing
		t.Errorf("got %+v", o)
	}
	if got := b.readCommand(); got != nil {
		t.Errorf("the endpoint got %d arguments", len(got))
	}
}

// TestCommandThatTheSocketTakesInParts guards the edge between the two ways in which a broken connection may end an
// attempt: a command of which the socket took only a part was not executed, and one that is written in the end is
// served.
func TestCommandThatTheSocketTakesInParts(t *testing.T) {
	listener, r := startWithSmallSockets(t, nil)
	body := strings.Repeat("x", resp.MaxValue)
	post := func(id string) *testConn {
		c := r.client()
		c.send(postCommand(id, body)...)
		receive(t, r.decider.requests)
		return c
	}
	post("a")
	b := acceptOne(t, listener)
	r.awaitPartialWrite("a")
	b.hangUp()
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed {
		t.Errorf("a command that was cut off: %+v", o)
	}
	c := post("b")
	b = acceptOne(t, listener)
	if args := b.readCommand(); len(args) != 5 || args[4] != body {
		t.Error("the command did not come as a whole")
	}
	b.write(valueReply)
	c.wantValue("the command that was written in the end")
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got %+v", o)
	}
}

// TestTimeoutAsTheLastByteIsWritten guards against a request that is executed twice: one whose last byte was just
// written when it timed out, before the event loop knew, may have been executed and must not be reported otherwise.
func TestTimeoutAsTheLastByteIsWritten(t *testing.T) {
	listener, r := startWithSmallSockets(t, func(r *harness) {
		r.proxy.endpoints.afterWrite = func(c *backendConn) { // all is written; nobody learns of it before the timeout
			waitFor(func() bool { return c.rawConn.Control(func(uintptr) {}) != nil })
		}
	})
	c := r.client()
	c.send(postCommand("a", strings.Repeat("x", resp.MaxValue))...)
	b := acceptOne(t, listener)
	if got := b.readCommand(); len(got) != 5 {
		t.Fatalf("the endpoint got %q", got)
	}
	r.onLoop(func() { r.proxy.expireAttempt(r.proxy.requests["a"].attempts[0]) })
	if o := receive(t, r.decider.outcomes); o.Status != policy.Timeout {
		t.Errorf("got %+v", o)
	}
}

// TestHalfWrittenAttemptsEndWithTheirRequest guards against an attempt that begins after its request's end, as the
// rest of its command is written: it is cut off as its client disconnects, or as the request has another final reply.
func TestHalfWrittenAttemptsEndWithTheirRequest(t *testing.T) {
	for name, end := range map[string]func(r *harness, c *testConn){
		"the client disconnects": func(_ *harness, c *testConn) { c.hangUp() },
		"it is rejected":         func(r *harness, _ *testConn) { r.onLoop(func() { r.proxy.Reject("a", 1, policy.DeadlineTooClose) }) },
	} {
		t.Run(name, func(t *testing.T) {
			listener, r := startWithSmallSockets(t, nil)
			c := r.client()
			c.send(postCommand("a", strings.Repeat("x", resp.MaxValue))...)
			b := acceptOne(t, listener)
			r.awaitPartialWrite("a")
			end(r, c)
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if got := b.readCommand(); got != nil {
				t.Errorf("the endpoint got %d arguments", len(got))
			}
		})
	}
}
