package proxy

import (
	"regexp"
	"strconv"
	"strings"
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"
)

var toldField = regexp.MustCompile(`d=(\d+)`)

// TestToldTimeIsThatAtTheWrite guards against a command that tells its backend more time than its client has left:
// the loop's time is that of the event that it handles, and the clock goes on meanwhile.
func TestToldTimeIsThatAtTheWrite(t *testing.T) {
	r, c, b := withRestingConnection(t)
	c.send("CALL.GET", customer, "a", "c=look,t=basic,d=20000,units=2,spread=2,first=1")
	get(t, r.mod.requests)
	left := 0.0
	r.do(func() {
		passes(r.in, r.in.now+0.05)
		left = r.in.requests["a"].deadline - r.in.clock.now()
		r.in.Send("a", "s0", 0, 0)
	})
	if args := b.command(); len(args) != 4 {
		t.Fatalf("got %q", args)
	} else if ms, _ := strconv.Atoi(toldField.FindStringSubmatch(args[3])[1]); float64(ms) > left*1000+1 {
		t.Errorf("told %d ms, %.1f ms were left before the write", ms, left*1000)
	}
}

// withRestingConnection is an ingress, a client of it, and a connection to its backend that rests. The module does
// nothing with the next request.
func withRestingConnection(t *testing.T) (*rig, *wire, *wire) {
	t.Helper()
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(look("first")...)
	b := get(t, conns)
	b.command()
	b.Write([]byte(value))
	c.served("the first")
	get(t, r.mod.requests)
	get(t, r.mod.outcomes)
	r.do(func() { r.mod.onRequest = nil })
	return r, c, b
}

// TestNoAttemptBeginsWithNoTimeLeft guards against the same where nothing is left by the clock.
func TestNoAttemptBeginsWithNoTimeLeft(t *testing.T) {
	r, c, b := withRestingConnection(t)
	c.send(look("a")...)
	get(t, r.mod.requests)
	r.do(func() {
		r.in.requests["a"].deadline = r.in.now + 0.01
		passes(r.in, r.in.now+0.02)
		r.in.Send("a", "s0", 0, 0)
	})
	r.wantNotSent(b)
}

// TestACommandThatTakesTooLongIsCutOff guards against a command whose last byte comes so late that what it tells of
// its client's time is not true any more.
func TestACommandThatTakesTooLongIsCutOff(t *testing.T) {
	l, r := smallSockets(t, func(r *rig) { r.in.backends.writeSlack = 0.01 })
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", resp.MaxValue))
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if o := get(t, r.mod.outcomes); o.Status != policy.ConnectFailed { // the backend has read nothing
		t.Errorf("got %+v", o)
	}
	if got := newWire(t, b).command(); got != nil {
		t.Errorf("the backend got %d words", len(got))
	}
}

// TestPaceRemembersAStandstill guards against requests that came while the process stood still and count as new: it
// is known while it lasts, and for a moment after the loop has seen it.
func TestPaceRemembersAStandstill(t *testing.T) {
	var p pace
	p.dueAt.set(10)
	if got := p.keptUpUntil(10 + lateS/2); got != 10+lateS/2 {
		t.Errorf("on time: %v", got)
	}
	if got := p.keptUpUntil(10.6); got != 10 {
		t.Errorf("before the loop ran: %v", got)
	}
	p.noteStandstill(10, 10.6)
	p.dueAt.set(10.62)
	if got := p.keptUpUntil(10.61); got != 10 {
		t.Errorf("right after: %v", got)
	}
	if got := p.keptUpUntil(10.6 + standstillMemory + lateS/4); got <= 10.6 {
		t.Errorf("later: %v", got)
	}
}

// TestArrivals guards the bounds on when the bytes of a read had come.
func TestArrivals(t *testing.T) {
	addr, conns := listen(t)
	mine := newWire(t, dialTo(t, addr))
	raw := rawOf(t, get(t, conns).Conn)
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
		var p pace
		p.dueAt.set(tc.dueAt)
		a := arrivals{emptyAt: tc.emptyAt}
		got := a.took(raw, &p, tc.began, tc.ended, tc.filled)
		if got.first > tc.first || got.first < tc.first-1 || got.last < got.first || got.last > tc.ended {
			t.Errorf("%s: got %+v, want the first at %v", name, got, tc.first)
		}
		if tc.filled && (got.last != got.first || a.emptyAt != tc.emptyAt) {
			t.Errorf("%s: got %+v, the socket empty at %v", name, got, a.emptyAt)
		}
	}
}

// TestArrivalsByPlace guards the arrival of commands whose bytes came in several reads.
func TestArrivalsByPlace(t *testing.T) {
	var a arrivals
	a.mark(10, arrival{1, 2})
	a.mark(10, arrival{9, 9}) // a read that added nothing
	a.mark(30, arrival{3, 4})
	for end, want := range map[int]float64{5: 1, 10: 2, 20: 3, 30: 4} {
		if got := a.of(end); got != want {
			t.Errorf("at %d: %v, want %v", end, got, want)
		}
	}
	a.drop(12)
	if got := a.of(18); got != 4 || len(a.marks) != 1 {
		t.Errorf("after a part was parsed: %v, %d marks", got, len(a.marks))
	}
}
