package policy

import (
	"fmt"
	"testing"
)

func TestConcurrencyLimitOfAPlanIsEnforced(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 3 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if n := len(r.ofKind("send", "")); n != 2 {
		t.Fatalf("%d of 3 requests were sent, want 2", n)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "q2")) != 1 {
		t.Fatal("an ended attempt did not free its slot for a waiting request")
	}
	g.HandleOutcome(100.2, Outcome{RequestID: "q1", Endpoint: "s1", Status: OK, RequestDone: true, Elapsed: 0.2})
	sendRequest(g, 100.2, "q3", "read", "open", 1)
	if len(r.ofKind("send", "q3")) != 1 {
		t.Fatal("an ended attempt did not free its slot for a new request")
	}
}

// Regression test: requests without a free slot were rejected at once with a Retry-After of a second, so a retry missed
// the latency objective of most classes. Instead, a bounded number of requests must wait for a slot, each no longer
// than its latency objective allows.
func TestSlotQueueIsBoundedInLengthAndTime(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 6 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if forwarded, rejected := len(r.ofKind("send", "")), len(r.ofKind("reject", "")); forwarded != 2 || rejected != 2 {
		t.Fatalf("%d of 6 requests were sent and %d rejected with two slots, want 2 and 2, with 2 waiting", forwarded, rejected)
	}
	rejectedAt := 0.0
	for now := 100.0; now < 102; now += timerInterval {
		g.HandleTimer(now, 1)
		if rejectedAt == 0 && len(r.ofKind("reject", "")) == 4 {
			rejectedAt = now
		}
	}
	if objectiveAt := 101.0; rejectedAt == 0 || rejectedAt > objectiveAt {
		t.Fatalf("the waiting requests were rejected at %.2f (0: never), want before the objective at %.0f", rejectedAt, objectiveAt)
	}
}

// If the queue is full, a request of higher priority must displace the last request of the lowest priority. The
// displaced request must be rejected at once, and the new request must get the next free slot.
func TestHighestPriorityGetsTheNextSlot(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 4 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	sendRequest(g, 100, "high", "pay", "open", 1)
	if len(r.ofKind("reject", "q3")) != 1 || len(r.ofKind("reject", "")) != 1 {
		t.Fatalf("want only q3, the last request of low priority, rejected; got %v", r.actions)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: r.ofKind("send", "q0")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.ofKind("send", "high")) != 1 {
		t.Fatal("the request of the highest priority did not get the free slot")
	}
}

// Regression test: a member reported a freed slot only in its next regular batch, while requests at other gateways
// waited for the slot.
func TestFreedSlotIsReportedAtOnce(t *testing.T) {
	g, r, send := newTestMemberWithSlots(t)
	c := send(100, "q", 1)
	from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total++; reply.remaining = 7; reply.inFlight = 1 })
	g.HandlePeerMessage(100.03, from, data)
	if len(r.ofKind("send", "q")) != 1 || c.quota.othersInFlight != 1 {
		t.Fatalf("the request was not sent on a grant: %v", r.actions)
	}
	g.HandleTimer(100.06, 1)
	reports := len(r.ofKind("send_to_peer", ""))
	g.quota.reporter.budget.tokens = 1 // enough for an urgent batch only
	g.HandleOutcome(100.07, Outcome{RequestID: "q", Endpoint: r.ofKind("send", "q")[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.04})
	g.HandleTimer(100.08, 1)
	if len(r.ofKind("send_to_peer", "")) != reports+1 {
		t.Fatal("the freed slot was not reported to the owner at once")
	}
}

// A member that is granted no slot must keep the request waiting, ask the owner again after a short pause, and send
// the request once a slot is granted.
func TestMemberAsksAgainForASlot(t *testing.T) {
	g, r, send := newTestMemberWithSlots(t)
	send(100, "q", 1)
	from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.remaining = 7; reply.inFlight = 2 })
	g.HandlePeerMessage(100.03, from, data)
	if len(r.ofKind("reject", "q")) != 0 {
		t.Fatal("the request was rejected although units and time until its objective are left")
	}
	reports := len(r.ofKind("send_to_peer", ""))
	now := 100.03
	for ; len(r.ofKind("send_to_peer", "")) == reports && now < 101; now += timerInterval {
		g.HandleTimer(now, 1)
	}
	if now > 100.3 || now < 100.04 {
		t.Fatalf("the member asked again by %.2f, want between 100.04 and 100.30", now)
	}
	from, data = ownerReply(t, r, 2, func(reply *usageRecord) { reply.total++; reply.remaining = 6; reply.inFlight = 1 })
	g.HandlePeerMessage(now+0.03, from, data)
	if len(r.ofKind("send", "q")) != 1 {
		t.Fatalf("the request was not sent after the second reply granted a slot: %v", r.actions)
	}
}

// Regression test: members sent requests based on replies up to half a second old, although other gateways had taken
// the free slots since. With a reply older than maxInFlightAge, a member must ask the owner.
func TestMemberAsksForASlotAfterAStaleReply(t *testing.T) {
	for _, age := range []float64{0.05, 0.3} {
		g, r, send := newTestMemberWithSlots(t)
		send(100, "first", 1)
		from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total++; reply.remaining = 800; reply.demand = 0 })
		g.HandlePeerMessage(100.03, from, data)
		first := r.ofKind("send", "first")
		if len(first) != 1 {
			t.Fatalf("the first request was not sent on a grant: %v", r.actions)
		}
		g.HandleOutcome(100.04, Outcome{RequestID: "first", Endpoint: first[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.01})
		g.HandleTimer(100.03+age, 1)
		send(100.03+age, "next", 1)
		if forwarded := len(r.ofKind("send", "next")) == 1; forwarded != (age < maxInFlightAge) {
			t.Errorf("with a reply %.2f s old: sent without asking = %v, want the opposite", age, forwarded)
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
		t.Fatal("a request is displaced although the queue is not over its bound")
	}
	if displaced := add(queue, 2); displaced == nil || displaced.priority != 1 {
		t.Fatalf("displaced %+v, want the request of priority 1", displaced)
	}
	first := c.slotWaiters[1]
	if displaced := add(queue, 2); displaced == nil || displaced == first || c.slotWaiters[1] != first {
		t.Fatalf("displaced %+v, want the last request of equal priority", displaced)
	}
	if len(queue.customers) != 1 || c.slotWaiters[0].priority != 3 || c.slotWaiters[1].priority != 2 {
		t.Fatalf("%d customers are queued, want 1 with requests of priorities 3 and 2", len(queue.customers))
	}
	queue.forEach(func(c *customer) { c.slotWaiters = c.slotWaiters[:1] })
	if len(queue.customers) != 1 {
		t.Fatal("forEach removed a customer that has a waiting request")
	}
	queue.forEach(func(c *customer) { c.slotWaiters = nil })
	if len(queue.customers) != 0 {
		t.Fatal("forEach kept a customer without waiting requests")
	}
}
