package policy

import (
	"fmt"
	"testing"
)

func TestConcurrencyLimitOfAPlanIsHeld(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 3 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if n := len(r.ofKind("send", "")); n != 2 {
		t.Fatalf("%d attempts in flight, want 2", n)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "q2")) != 1 {
		t.Fatal("an ended attempt did not free its slot for what waited")
	}
	g.HandleOutcome(100.2, Outcome{RequestID: "q1", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.2})
	sendRequest(g, 100.2, "q3", "read", "open", 1)
	if len(r.ofKind("send", "q3")) != 1 {
		t.Fatal("an ended attempt did not free its slot for what came later")
	}
}

// A regression: a rejection for want of a slot sent clients away for a second, past the objectives of most classes.
func TestSlotQueueIsBoundedAndEndsWithTheObjective(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 6 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if forwarded, rejected := len(r.ofKind("send", "")), len(r.ofKind("reject", "")); forwarded != 2 || rejected != 2 {
		t.Fatalf("with two slots %d forwarded and %d rejected of 6, want 2 and 2: two may wait", forwarded, rejected)
	}
	rejectedAt := 0.0
	for now := 100.0; now < 102; now += timerInterval {
		g.HandleTimer(now, 1)
		if rejectedAt == 0 && len(r.ofKind("reject", "")) == 4 {
			rejectedAt = now
		}
	}
	if objectiveAt := 101.0; rejectedAt == 0 || rejectedAt > objectiveAt {
		t.Fatalf("what waited was rejected at %.2f, want it before its objective at %.0f", rejectedAt, objectiveAt)
	}
}

// A request takes the place of one with a lower priority that waits, which is rejected at once.
func TestHighestPriorityWaitsForASlot(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 4 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	sendRequest(g, 100, "high", "pay", "open", 1)
	if len(r.ofKind("reject", "q3")) != 1 || len(r.ofKind("reject", "")) != 1 {
		t.Fatalf("want the last one of low priority rejected, got %v", r.actions)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: r.ofKind("send", "q0")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "high")) != 1 {
		t.Fatal("the one of the highest priority does not go first")
	}
}

// A regression: members reported the end of an attempt in the next batch only, while others waited for the slot.
func TestFreedSlotIsReportedAtOnce(t *testing.T) {
	g, r, send := newTestMemberWithSlots(t)
	c := send(100, "q", 1)
	from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total++; reply.remaining = 7; reply.inFlight = 1 })
	g.HandlePeerMessage(100.03, from, data)
	if len(r.ofKind("send", "q")) != 1 || c.quota.othersInFlight != 1 {
		t.Fatalf("not forwarded on a grant: %v", r.actions)
	}
	g.HandleTimer(100.06, 1)
	reports := len(r.ofKind("send_to_peer", ""))
	g.quota.reporter.budget.tokens = 1 // too few for a report that can wait
	g.HandleOutcome(100.07, Outcome{RequestID: "q", Endpoint: r.ofKind("send", "q")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.04})
	g.HandleTimer(100.08, 1)
	if len(r.ofKind("send_to_peer", "")) != reports+1 {
		t.Fatal("the free slot is not reported to the owner")
	}
}

// A member to which no slot is granted asks again, after a pause, and forwards the request on the grant.
func TestMemberAsksAgainForASlot(t *testing.T) {
	g, r, send := newTestMemberWithSlots(t)
	send(100, "q", 1)
	from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.remaining = 7; reply.inFlight = 2 })
	g.HandlePeerMessage(100.03, from, data)
	if len(r.ofKind("reject", "q")) != 0 {
		t.Fatal("rejected with units left and time until its objective")
	}
	reports := len(r.ofKind("send_to_peer", ""))
	now := 100.03
	for ; len(r.ofKind("send_to_peer", "")) == reports && now < 101; now += timerInterval {
		g.HandleTimer(now, 1)
	}
	if now > 100.3 || now < 100.04 {
		t.Fatalf("asked again at %.2f, want a short pause", now)
	}
	from, data = ownerReply(t, r, 2, func(reply *usageRecord) { reply.total++; reply.remaining = 6; reply.inFlight = 1 })
	g.HandlePeerMessage(now+0.03, from, data)
	if len(r.ofKind("send", "q")) != 1 {
		t.Fatalf("not forwarded on the grant: %v", r.actions)
	}
}

// A regression: members forwarded by replies half a second old, after which others had taken the slots.
func TestStaleSlotReportsAreNotSplit(t *testing.T) {
	for _, age := range []float64{0.05, 0.3} {
		g, r, send := newTestMemberWithSlots(t)
		send(100, "first", 1)
		from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total++; reply.remaining = 800; reply.demand = 0 })
		g.HandlePeerMessage(100.03, from, data)
		first := r.ofKind("send", "first")
		if len(first) != 1 {
			t.Fatalf("not forwarded on a grant: %v", r.actions)
		}
		g.HandleOutcome(100.04, Outcome{RequestID: "first", Endpoint: first[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.01})
		g.HandleTimer(100.03+age, 1)
		send(100.03+age, "next", 1)
		if forwarded := len(r.ofKind("send", "next")) == 1; forwarded != (age < maxInFlightAge) {
			t.Errorf("with a reply %.2f s old: forwarded is %v", age, forwarded)
		}
	}
}

func TestSlotQueueOrdersByPriorityWithinItsBound(t *testing.T) {
	p := &plan{Plan: Plan{MaxConcurrent: 2}}
	c := &customer{plan: p}
	add := func(q *slotQueue, priority float64) *request {
		return q.add(&request{plan: p, customer: c, priority: priority})
	}
	queue := &slotQueue{}
	if add(queue, 1) != nil || add(queue, 3) != nil {
		t.Fatal("a request is displaced within the bound")
	}
	if displaced := add(queue, 2); displaced == nil || displaced.priority != 1 {
		t.Fatalf("displaced %+v, want the lowest priority", displaced)
	}
	first := c.slotWaiters[1]
	if displaced := add(queue, 2); displaced == nil || displaced == first || c.slotWaiters[1] != first {
		t.Fatalf("displaced %+v, want the last of an equal priority", displaced)
	}
	if len(queue.customers) != 1 || c.slotWaiters[0].priority != 3 || c.slotWaiters[1].priority != 2 {
		t.Fatalf("%d customers wait, want one with priorities 3 and 2", len(queue.customers))
	}
	queue.retry(func(c *customer) { c.slotWaiters = c.slotWaiters[:1] })
	if len(queue.customers) != 1 {
		t.Fatal("a customer with a waiting request is dropped")
	}
	queue.retry(func(c *customer) { c.slotWaiters = nil })
	if len(queue.customers) != 0 {
		t.Fatal("a customer without waiting requests is kept")
	}
}
