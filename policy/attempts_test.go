package policy

import (
	"fmt"
	"testing"
)

func TestNonIdempotentAfterEachOutcome(t *testing.T) {
	for _, c := range []struct {
		status AttemptStatus
		want   string
	}{{Rejected, "send"}, {ConnectFailed, "send"}, {NotSent, "send"}, {Error, "fail"}, {Timeout, "fail"}, {Reset, "fail"}, {Cancelled, "fail"}} {
		g, r := newTestGateway(t, singleGateway)
		sendRequest(g, 100, "p", "pay", "wide", 1)
		first := r.ofKind("send", "p")[0]
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{RequestID: "p", Endpoint: first.endpoint, Status: c.status, Elapsed: 0.2})
		if len(r.ofKind(c.want, "p")) != 1 || len(r.ofKind("send", "p"))+len(r.ofKind("fail", "p"))+len(r.ofKind("reject", "p")) != 1 {
			t.Errorf("status %d: want one %s, got %v", c.status, c.want, r.actions)
		}
	}
}

func TestRetriesWithAKeyStayInScopeAndWindow(t *testing.T) {
	zone := map[string]string{"s1": "a", "s2": "a", "s3": "b"}
	for seed := range 20 {
		g, r := newTestGateway(t, singleGateway)
		id := fmt.Sprint("k", seed)
		sendRequest(g, 100, id, "put", "wide", 1)
		first := r.ofKind("send", id)[0].endpoint
		r.actions = nil
		g.HandleOutcome(100.2, Outcome{RequestID: id, Endpoint: first, Status: Reset, Elapsed: 0.2})
		for _, a := range r.ofKind("send", id) {
			if zone[a.endpoint] != zone[first] {
				t.Fatalf("resent from %s to %s, another zone", first, a.endpoint)
			}
		}
	}
	g, r := newTestGateway(t, singleGateway)
	sendRequest(g, 100, "c", "cell", "wide", 1)
	first := r.ofKind("send", "c")[0].endpoint
	g.HandleOutcome(100.2, Outcome{RequestID: "c", Endpoint: first, Status: Error, Elapsed: 0.2})
	for _, a := range r.ofKind("send", "c") {
		if a.endpoint != first {
			t.Fatalf("resent to %s, another cell", a.endpoint)
		}
	}
	g, r = newTestGateway(t, singleGateway)
	sendRequest(g, 100, "t", "any", "wide", 1)
	first = r.ofKind("send", "t")[0].endpoint
	g.HandleOutcome(100.6, Outcome{RequestID: "t", Endpoint: first, Status: Error, Elapsed: 0.6})
	if len(r.ofKind("send", "t")) != 1 || len(r.ofKind("reject", "t")) != 1 {
		t.Fatalf("past the key's time: want a refusal and no resend, got %v", r.actions)
	}
}

func TestTimeoutAtTheDeadlineGivesAFinalReply(t *testing.T) {
	for class, want := range map[string]string{"read": "reject", "put": "fail", "any": "reject", "pay": "fail"} {
		g, r := newTestGateway(t, singleGateway)
		sendRequest(g, 100, "d", class, "wide", 1)
		first := r.ofKind("send", "d")[0].endpoint
		r.actions = nil
		g.HandleOutcome(104, Outcome{RequestID: "d", Endpoint: first, Status: Timeout, Elapsed: 4})
		if len(r.ofKind(want, "d")) != 1 || len(r.ofKind("send", "d")) != 0 {
			t.Errorf("%s: want one %s in the same batch, got %v", class, want, r.actions)
		}
	}
}

// Guards round 1: a client's late try with 5 ms left waited past its deadline.
func TestRequestTooCloseToItsDeadlineIsRejectedAtOnce(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	g.HandleRequest(100, Request{ID: "x", Class: "read", Plan: "basic", Customer: "c", Deadline: 100.005, GatewayCount: 1, Units: 1})
	if len(r.ofKind("reject", "x")) != 1 {
		t.Fatal("no answer in the batch of its arrival")
	}
}

func TestQueuedRequestIsRepliedBeforeItsDeadline(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, nil, true)
	sendRequest(g, 100, "w", "read", "basic", 1)
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.ofKind("reject", "w"))+len(r.ofKind("fail", "w")) != 1 {
		t.Fatalf("want one answer, got %v", r.actions)
	}
}

// Guards against the price of a refusal in a request's second half with nothing ever written.
func TestUnwrittenRequestEndsInItsFirstHalf(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, nil, true)
	sendRequest(g, 100, "a", "any", "wide", 1) // aim 3 s of 4 s
	g.HandleTimer(101.5, 1)
	if len(r.ofKind("reject", "a")) != 0 {
		t.Error("given up early")
	}
	if g.HandleTimer(101.9, 1); len(r.ofKind("reject", "a")) != 1 {
		t.Error("not refused before half of its time was over")
	}
}

// After half a second in which a gateway itself stood still it sent a copy, while the answer waited in its
// own socket: the copy went out beside the final answer.
func TestOwnStandstillSendsNoHedge(t *testing.T) {
	wait := func(from, to float64, gap bool) int {
		g, r := largeFleet(t)
		sendUnlimited(g, 100, "q", "read")
		for now := 100.0; now < to; now += timerInterval {
			if !gap || now < from {
				g.HandleTimer(now, 1)
			}
		}
		g.HandleTimer(to, 1)
		return len(r.ofKind("send", "q"))
	}
	if n := wait(100.3, 100.75, false); n != 2 {
		t.Fatalf("%d attempts without a gap: the test proves nothing", n)
	}
	if n := wait(100.3, 100.75, true); n != 1 {
		t.Fatalf("%d attempts as the gap ends", n)
	}
}
