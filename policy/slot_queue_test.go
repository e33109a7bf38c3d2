package policy

import (
	"fmt"
	"testing"
)

func TestConcurrencyLimitOfAPlanIsHeld(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 3 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if n := len(r.ofKind("send", "")); n != 2 {
		t.Fatalf("%d attempts out, want 2", n)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "q2")) != 1 {
		t.Fatal("an ended attempt did not make room for what waited")
	}
	g.HandleOutcome(100.2, Outcome{RequestID: "q1", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.2})
	sendRequest(g, 100.2, "q3", "read", "open", 1)
	if len(r.ofKind("send", "q3")) != 1 {
		t.Fatal("an ended attempt did not make room for what came later")
	}
}

// A refusal for want of a slot sent clients away for a second, past the aims of most classes.
func TestSlotQueueIsBoundedAndEndsWithTheObjective(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 6 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if sent, refused := len(r.ofKind("send", "")), len(r.ofKind("reject", "")); sent != 2 || refused != 2 {
		t.Fatalf("with two slots %d sent and %d refused of 6, want 2 and 2: two may wait", sent, refused)
	}
	end := 0.0
	for now := 100.0; now < 102; now += timerInterval {
		g.HandleTimer(now, 1)
		if end == 0 && len(r.ofKind("reject", "")) == 4 {
			end = now
		}
	}
	if aim := 101.0; end == 0 || end > aim {
		t.Fatalf("what waited was refused at %.2f, want an answer as soon as its aim at %.0f is lost", end, aim)
	}
}

// A dearer request takes the place of a cheaper one that waits, which is answered at once.
func TestHighestPriorityWaitsForASlot(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 4 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	sendRequest(g, 100, "dear", "pay", "open", 1)
	if len(r.ofKind("reject", "q3")) != 1 || len(r.ofKind("reject", "")) != 1 {
		t.Fatalf("want the last cheap one refused, got %v", r.actions)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: r.ofKind("send", "q0")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "dear")) != 1 {
		t.Fatal("the dearest does not go first")
	}
}

// Members kept the end of an attempt to themselves until the next batch, while others waited for the slot.
func TestFreedSlotIsReportedAtOnce(t *testing.T) {
	g, r, send := asMemberOfParallel(t)
	c := send(100, "q", 1)
	from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Total++; v.Remaining = 7; v.InFlight = 1 })
	g.HandlePeerMessage(100.03, from, b)
	if len(r.ofKind("send", "q")) != 1 || c.quota.othersInFlight != 1 {
		t.Fatalf("not sent on a grant: %v", r.actions)
	}
	g.HandleTimer(100.06, 1)
	told := len(r.ofKind("send_to_peer", ""))
	g.reporter.budget.tokens = 1 // too few for a report that can wait
	g.HandleOutcome(100.07, Outcome{RequestID: "q", Endpoint: r.ofKind("send", "q")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.04})
	g.HandleTimer(100.08, 1)
	if len(r.ofKind("send_to_peer", "")) != told+1 {
		t.Fatal("the owner does not hear of the free slot")
	}
}

// A member that is told of no free slot asks again, after a pause, and sends on the grant.
func TestMemberAsksAgainForASlot(t *testing.T) {
	g, r, send := asMemberOfParallel(t)
	send(100, "q", 1)
	from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Remaining = 7; v.InFlight = 2 })
	g.HandlePeerMessage(100.03, from, b)
	if len(r.ofKind("reject", "q")) != 0 {
		t.Fatal("refused with room in its quota and time for its aim")
	}
	told := len(r.ofKind("send_to_peer", ""))
	now := 100.03
	for ; len(r.ofKind("send_to_peer", "")) == told && now < 101; now += timerInterval {
		g.HandleTimer(now, 1)
	}
	if now > 100.3 || now < 100.04 {
		t.Fatalf("asked again at %.2f, want a short pause", now)
	}
	from, b = ownerReply(t, r, 2, func(v *usageRecord) { v.Total++; v.Remaining = 6; v.InFlight = 1 })
	g.HandlePeerMessage(now+0.03, from, b)
	if len(r.ofKind("send", "q")) != 1 {
		t.Fatalf("not sent on the grant: %v", r.actions)
	}
}

// Members of a parallel plan sent on news half a second old, in which others had taken the slots.
func TestStaleSlotReportsAreNotSplit(t *testing.T) {
	for _, age := range []float64{0.05, 0.3} {
		g, r, send := asMemberOfParallel(t)
		send(100, "first", 1)
		from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Total++; v.Remaining = 800; v.Demand = 0 })
		g.HandlePeerMessage(100.03, from, b)
		first := r.ofKind("send", "first")
		if len(first) != 1 {
			t.Fatalf("not sent on a grant: %v", r.actions)
		}
		g.HandleOutcome(100.04, Outcome{RequestID: "first", Endpoint: first[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.01})
		g.HandleTimer(100.03+age, 1)
		send(100.03+age, "next", 1)
		if sent := len(r.ofKind("send", "next")) == 1; sent != (age < slotFreshness) {
			t.Errorf("with news %.2f s old: sent is %v", age, sent)
		}
	}
}
