package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against attempts spent on a server that turns all away: it is left alone, the longer the more
// often it does so, and tried again in the end. One broken connection is not a broken server; two are.
func TestRejectingOrBrokenEndpointsAreEjected(t *testing.T) {
	for status, most := range map[AttemptStatus]int{Rejected: 12, Reset: 12, ConnectFailed: 12} {
		g, r := newTestGateway(t, singleGateway)
		at := map[string]int{}
		for i := range 400 {
			now := 100 + float64(i)*0.02
			id := fmt.Sprint("q", i)
			sendRequest(g, now, id, "read", "wide", 1)
			for n := 0; ; n++ {
				list := r.ofKind("send", id)
				if len(list) == n {
					break
				}
				s := list[n].endpoint
				at[s]++
				o := Outcome{RequestID: id, Endpoint: s, Attempt: n, Status: OK, RequestDone: true, Elapsed: 0.1}
				if s == "s1" {
					o.Status, o.RequestDone = status, false
				}
				g.HandleOutcome(now, o)
			}
			g.HandleTimer(now, 1)
		}
		if at["s1"] < 1 || at["s1"] > 2*most || at["s2"] < 100 {
			t.Errorf("status %v from s1: sent %v", status, at)
		}
	}
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a"}}, true)
	sendRequest(g, 100, "a", "pay", "wide", 1)
	g.HandleOutcome(100.1, Outcome{RequestID: "a", Endpoint: "s1", Status: Reset})
	if sendRequest(g, 100.2, "b", "pay", "wide", 1); len(r.ofKind("send", "b")) != 1 {
		t.Error("after one broken connection the server counts as down")
	}
	g.HandleOutcome(100.3, Outcome{RequestID: "b", Endpoint: "s1", Status: Reset})
	if sendRequest(g, 100.4, "c", "pay", "wide", 1); len(r.ofKind("send", "c")) != 0 {
		t.Error("after two in a row it does not")
	}
}

// Guards round 27 (class_fail): servers that answer other classes left one unanswered for good.
func TestOutlierForOneClassServesTheOthers(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for _, k := range g.classes.ordered {
		k.meanLatency, k.successes = 0.05, 100
	}
	sick := g.endpoints.byID["s1"]
	sendRequest(g, 100, "q", "read", "wide", 1)
	r.actions = nil
	g.requests.byID["q"].attempts[0].endpoint = sick
	for now := 100.02; now < 100.5; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if g.outliers.score(sick, g.classes.byName["read"].index) < 0.9 || g.outliers.score(sick, g.classes.byName["pay"].index) > 0 {
		t.Fatal("silence for a class is not told from silence for all")
	}
	if a := r.ofKind("send", "q"); len(a) != 1 || a[0].endpoint == "s1" {
		t.Fatalf("the silent attempt was not tried elsewhere: %v", a)
	}
	pays := 0
	for i := range 40 {
		for _, class := range []string{"read", "pay"} {
			id := fmt.Sprint(class, i)
			sendRequest(g, 100.5, id, class, "wide", 1)
			at := r.ofKind("send", id)[0].endpoint
			if g.HandleOutcome(100.5, Outcome{RequestID: id, Status: OK, RequestDone: true, Elapsed: 0.05}); at == "s1" && class == "read" {
				t.Fatal("a server sick for a class was sent it")
			} else if at == "s1" {
				pays++
			}
		}
	}
	if pays == 0 {
		t.Fatal("the server lost the classes that it serves")
	}
}

// One missing answer, told to all, made the whole fleet leave a server for seconds and flood the next.
func TestLargeFleetScoresByTheUnansweredFraction(t *testing.T) {
	g, _ := largeFleet(t)
	cls, s := g.classes.byName["read"], g.endpoints.byID["s00"]
	attempt := func(now float64, id string, st AttemptStatus) {
		req := &request{Request: Request{ID: id}, class: cls}
		g.requests.byID[id] = req
		g.clock.now = now
		g.sender.start(req, s)
		g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: "s00", Status: st, RequestDone: true, Elapsed: 0.1})
	}
	attempt(100, "a", Timeout)
	if x := g.outliers.score(s, cls.index); x <= 0 || x >= suspectScore {
		t.Fatalf("sickness is %.2f after one attempt without answer: all others would leave too", x)
	}
	for i := range 12 {
		attempt(100.2+float64(i)*0.1, fmt.Sprint("b", i), Timeout)
	}
	high := g.outliers.score(s, cls.index)
	if high < 0.8 {
		t.Fatalf("sickness is %.2f after thirteen attempts without answer", high)
	}
	g.gossip.updates = nil
	attempt(101.5, "c", OK)
	if x := g.outliers.score(s, cls.index); x >= high || x < suspectScore {
		t.Fatalf("one answer takes sickness from %.2f to %.2f, want a part of it off", high, x)
	}
	if len(g.gossip.updates) != 1 || g.gossip.updates[0].value >= high {
		t.Fatalf("the others are not told that it serves again: %v", g.gossip.updates)
	}
}

// A few gateways see enough themselves: one answer shows that a server is well.
func TestSmallFleetTrustsOneReply(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	cls, s := g.classes.byName["read"], g.endpoints.byID["s1"]
	g.outliers.recordFailure(s, cls.index, errorScore)
	g.outliers.recordSuccess(s, cls.index)
	if x := g.outliers.score(s, cls.index); x != 0 {
		t.Fatalf("sickness is %.2f after an answer", x)
	}
}

func newTestDetector(gatewayCount int) (*outlierDetector, *endpoint) {
	clock := &eventClock{now: 100}
	detector := newOutlierDetector(gatewayCount, clock, rand.New(rand.NewPCG(1, 2)), &gossipBuffer{})
	return detector, newEndpoint(1, 2, 0)
}

func TestRejectionsInARowDoubleTheBackoff(t *testing.T) {
	detector, e := newTestDetector(1)
	for _, want := range []Seconds{0.05, 0.1, 0.2, 0.4, 0.8, 0.8} {
		detector.recordOutcome(e, 0, Rejected)
		if got := e.ejectedUntil - detector.clock.now; math.Abs(got-want) > 1e-9 {
			t.Errorf("ejected for %.3f s, want %.3f s", got, want)
		}
	}
	detector.recordOutcome(e, 0, OK)
	detector.clock.now = 101
	detector.recordOutcome(e, 0, Rejected)
	if got := e.ejectedUntil - detector.clock.now; math.Abs(got-minRejectionBackoff) > 1e-9 {
		t.Errorf("ejected for %.3f s after a success, want %.3f s", got, minRejectionBackoff)
	}
}

func TestOutlierScoreByOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		gateways int
		outcomes []AttemptStatus
		want     [2]float64 // by class; the attempts are of class 0
	}{
		"an error":                      {1, []AttemptStatus{Error}, [2]float64{errorScore, 0}},
		"two errors in a row":           {1, []AttemptStatus{Error, Error}, [2]float64{0.95, 0}},
		"an error and a success":        {1, []AttemptStatus{Error, OK}, [2]float64{0, 0}},
		"a timeout":                     {1, []AttemptStatus{Timeout}, [2]float64{errorScore, 0}},
		"a timeout in a large fleet":    {100, []AttemptStatus{Timeout}, [2]float64{minVoteWeight, 0}},
		"a lost connection":             {1, []AttemptStatus{Reset}, [2]float64{0.1, 0.1}},
		"two lost connections in a row": {1, []AttemptStatus{Reset, ConnectFailed}, [2]float64{0.55, 0.55}},
		"a rejection":                   {1, []AttemptStatus{Rejected}, [2]float64{0, 0}},
		"attempts without an end":       {1, []AttemptStatus{Cancelled, NotSent}, [2]float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			detector, e := newTestDetector(tc.gateways)
			for _, status := range tc.outcomes {
				detector.recordOutcome(e, 0, status)
			}
			for class, want := range tc.want {
				if got := detector.score(e, class); math.Abs(got-want) > 1e-9 {
					t.Errorf("the score for class %d is %.3f, want %.3f", class, got, want)
				}
			}
		})
	}
}
