package policy

import (
	"fmt"
	"testing"
)

func TestNonIdempotentAfterEachOutcome(t *testing.T) {
	for status, want := range map[AttemptStatus]string{
		Rejected:      "send",
		ConnectFailed: "send",
		NotSent:       "send",
		Error:         "fail",
		Timeout:       "fail",
		Reset:         "fail",
		Cancelled:     "fail",
	} {
		t.Run(status.String(), func(t *testing.T) {
			g, r := newTestGateway(t, singleGateway)
			sendRequest(g, 100, "p", "pay", "wide", 1)
			first := r.ofKind("send", "p")[0]
			r.actions = nil
			g.HandleOutcome(100.2, Outcome{RequestID: "p", Endpoint: first.endpoint, Status: status, Elapsed: 0.2})
			replies := len(r.ofKind("send", "p")) + len(r.ofKind("fail", "p")) + len(r.ofKind("reject", "p"))
			if len(r.ofKind(want, "p")) != 1 || replies != 1 {
				t.Errorf("want one %s, got %v", want, r.actions)
			}
		})
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
				t.Fatalf("retried at %s in another zone, after %s", a.endpoint, first)
			}
		}
	}
	g, r := newTestGateway(t, singleGateway)
	sendRequest(g, 100, "c", "cell", "wide", 1)
	first := r.ofKind("send", "c")[0].endpoint
	g.HandleOutcome(100.2, Outcome{RequestID: "c", Endpoint: first, Status: Error, Elapsed: 0.2})
	for _, a := range r.ofKind("send", "c") {
		if a.endpoint != first {
			t.Fatalf("retried at %s in another cell", a.endpoint)
		}
	}
	g, r = newTestGateway(t, singleGateway)
	sendRequest(g, 100, "t", "any", "wide", 1)
	first = r.ofKind("send", "t")[0].endpoint
	g.HandleOutcome(100.6, Outcome{RequestID: "t", Endpoint: first, Status: Error, Elapsed: 0.6})
	if len(r.ofKind("send", "t")) != 1 || len(r.ofKind("reject", "t")) != 1 {
		t.Fatalf("after the idempotency window: want a rejection and no retry, got %v", r.actions)
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

// A client's retry may arrive with a few milliseconds left. It was queued until after its deadline once.
func TestRequestTooCloseToItsDeadlineIsRejectedAtOnce(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	g.HandleRequest(100, Request{ID: "x", Class: "read", Plan: "basic", Customer: "c", Deadline: 100.005, GatewayCount: 1, Units: 1})
	if len(r.ofKind("reject", "x")) != 1 {
		t.Fatal("no final reply at once")
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
		t.Fatalf("want one final reply, got %v", r.actions)
	}
}

// A request of which nothing was written is rejected while the client still has time for a retry.
func TestUnwrittenRequestEndsInItsFirstHalf(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, nil, true)
	sendRequest(g, 100, "a", "any", "wide", 1) // objective 3 s, timeout 4 s
	g.HandleTimer(101.5, 1)
	if len(r.ofKind("reject", "a")) != 0 {
		t.Error("rejected early")
	}
	if g.HandleTimer(101.9, 1); len(r.ofKind("reject", "a")) != 1 {
		t.Error("not rejected before half of its time was over")
	}
}

// A gateway that stood still itself knows nothing of the endpoint: the reply may wait in its own socket, and a
// hedge would go out beside it.
func TestOwnStandstillSendsNoHedge(t *testing.T) {
	attempts := func(from, to Seconds, standstill bool) int {
		g, r := largeFleet(t)
		sendUnlimited(g, 100, "q")
		for now := 100.0; now < to; now += timerInterval {
			if !standstill || now < from {
				g.HandleTimer(now, 1)
			}
		}
		g.HandleTimer(to, 1)
		return len(r.ofKind("send", "q"))
	}
	if n := attempts(100.3, 100.75, false); n != 2 {
		t.Fatalf("%d attempts without a standstill: the test proves nothing", n)
	}
	if n := attempts(100.3, 100.75, true); n != 1 {
		t.Fatalf("%d attempts at the end of the standstill", n)
	}
}
