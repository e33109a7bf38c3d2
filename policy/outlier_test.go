package policy

import (
	"fmt"
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
	sick := g.endpoints["s1"]
	sendRequest(g, 100, "q", "read", "wide", 1)
	r.actions = nil
	g.requests.byID["q"].attempts[0].endpoint = sick
	for now := 100.02; now < 100.5; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if g.outlierScore(sick, g.classes.byName["read"]) < 0.9 || g.outlierScore(sick, g.classes.byName["pay"]) > 0 {
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
	cls, s := g.classes.byName["read"], g.endpoints["s00"]
	attempt := func(now float64, id string, st AttemptStatus) {
		req := &request{Request: Request{ID: id}, class: cls}
		g.requests.byID[id] = req
		g.clock.now = now
		g.startAttempt(req, s)
		g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: "s00", Status: st, RequestDone: true, Elapsed: 0.1})
	}
	attempt(100, "a", Timeout)
	if x := g.outlierScore(s, cls); x <= 0 || x >= suspectScore {
		t.Fatalf("sickness is %.2f after one attempt without answer: all others would leave too", x)
	}
	for i := range 12 {
		attempt(100.2+float64(i)*0.1, fmt.Sprint("b", i), Timeout)
	}
	high := g.outlierScore(s, cls)
	if high < 0.8 {
		t.Fatalf("sickness is %.2f after thirteen attempts without answer", high)
	}
	g.gossip = nil
	attempt(101.5, "c", OK)
	if x := g.outlierScore(s, cls); x >= high || x < suspectScore {
		t.Fatalf("one answer takes sickness from %.2f to %.2f, want a part of it off", high, x)
	}
	if len(g.gossip) != 1 || g.gossip[0].value >= high {
		t.Fatalf("the others are not told that it serves again: %v", g.gossip)
	}
}

// A few gateways see enough themselves: one answer shows that a server is well.
func TestSmallFleetTrustsOneReply(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	cls, s := g.classes.byName["read"], g.endpoints["s1"]
	g.recordFailure(s, cls, errorScore)
	g.recordSuccess(s, cls)
	if x := g.outlierScore(s, cls); x != 0 {
		t.Fatalf("sickness is %.2f after an answer", x)
	}
}
