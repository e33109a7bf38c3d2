package proxy

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/eventloop"

	"reedlead/internal/resp"
	"reedlead/policy"
)

var deadlineField = regexp.MustCompile(`d=(\d+)`)

// TestToldTimeIsThatAtTheWrite guards against a command that tells its backend more time than its client has left:
// the loop's time is that of the event that it handles, and the clock goes on meanwhile.
func TestToldTimeIsThatAtTheWrite(t *testing.T) {
	r, c, b := startWithIdleConnection(t)
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=20000,units=2,spread=2,first=1")
	receive(t, r.decider.requests)
	left := 0.0
	r.onLoop(func() {
		waitForClock(r.proxy, r.proxy.loop.Now()+0.05)
		left = r.proxy.requests["a"].deadline - r.proxy.clock.Now()
		r.proxy.Send("a", "s0", 0, 0)
	})
	if args := b.readCommand(); len(args) != 4 {
		t.Fatalf("got %q", args)
	} else if ms, _ := strconv.Atoi(deadlineField.FindStringSubmatch(args[3])[1]); float64(ms) > left*1000+1 {
		t.Errorf("told %d ms, %.1f ms were left before the write", ms, left*1000)
	}
}

// withRestingConnection is an ingress, a client of it, and a connection to its backend that rests. The module does
// nothing with the next request.
func startWithIdleConnection(t *testing.T) (*harness, *testConn, *testConn) {
	t.Helper()
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := r.client()
	c.send(lookCommand("first")...)
	b := receive(t, conns)
	b.readCommand()
	b.Write([]byte(valueReply))
	c.wantValue("the first")
	receive(t, r.decider.requests)
	receive(t, r.decider.outcomes)
	r.onLoop(func() { r.decider.onRequest = nil })
	return r, c, b
}

// TestNoAttemptBeginsWithNoTimeLeft guards against the same where nothing is left by the clock.
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

// TestACommandThatTakesTooLongIsCutOff guards against a command whose last byte comes so late that what it tells of
// its client's time is not true any more.
func TestACommandThatTakesTooLongIsCutOff(t *testing.T) {
	l, r := startWithSmallSockets(t, func(r *harness) { r.proxy.endpoints.writeSlack = 0.01 })
	c := r.client()
	c.send("CALL.POST", testCustomer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", resp.MaxValue))
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if o := receive(t, r.decider.outcomes); o.Status != policy.ConnectFailed { // the backend has read nothing
		t.Errorf("got %+v", o)
	}
	if got := newTestConn(t, b).readCommand(); got != nil {
		t.Errorf("the backend got %d words", len(got))
	}
}

// TestArrivals guards the bounds on when the bytes of a read had come.
func TestArrivals(t *testing.T) {
	addr, conns := listenBackend(t)
	mine := newTestConn(t, mustDial(t, addr))
	raw := rawConnOf(t, receive(t, conns).Conn)
	mine.send("PING") // just now, as the socket tells
	for name, tc := range map[string]struct {
		emptyAt, dueAt, began, ended float64
		filled                       bool
		first                        float64
	}{
		"as it came":                       {emptyAt: 1, began: 1, ended: 9, first: 9},
		"behind a reader that was held up": {emptyAt: 1, began: 1.5, ended: 1.5, first: 1},
		"in a standstill":                  {emptyAt: 1, dueAt: 2, began: 1, ended: 2.6, first: 2},
		"after a standstill, new":          {emptyAt: 2.55, dueAt: 2, began: 2.55, ended: 2.6, first: 2.55},
		"with more behind it":              {emptyAt: 1, began: 1.5, ended: 1.5, filled: true, first: 1},
	} {
		var p eventloop.Lag
		p.SetNextTimerDue(tc.dueAt)
		a := arrivalTracker{lastEmptyAt: tc.emptyAt}
		got := a.estimate(raw, &p, tc.began, tc.ended, tc.filled)
		if got.first > tc.first || got.first < tc.first-1 || got.last < got.first || got.last > tc.ended {
			t.Errorf("%s: got %+v, want the first at %v", name, got, tc.first)
		}
		if tc.filled && (got.last != got.first || a.lastEmptyAt != tc.emptyAt) {
			t.Errorf("%s: got %+v, the socket empty at %v", name, got, a.lastEmptyAt)
		}
	}
}

// TestArrivalsByPlace guards the arrival of commands whose bytes came in several reads.
func TestArrivalsByPlace(t *testing.T) {
	var a arrivalTracker
	a.record(10, arrival{1, 2})
	a.record(10, arrival{9, 9}) // a read that added nothing
	a.record(30, arrival{3, 4})
	for end, want := range map[int]float64{5: 1, 10: 2, 20: 3, 30: 4} {
		if got := a.ofCommandEndingAt(end); got != want {
			t.Errorf("at %d: %v, want %v", end, got, want)
		}
	}
	a.discard(12)
	if got := a.ofCommandEndingAt(18); got != 4 || len(a.marks) != 1 {
		t.Errorf("after a part was parsed: %v, %d marks", got, len(a.marks))
	}
}
