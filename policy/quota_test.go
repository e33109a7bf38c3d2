package policy

import (
	"fmt"
	"testing"
)

func TestQuotaAdmitsBurstThenRate(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.ofKind("send", "")); n != 8 {
		t.Fatalf("%d sent of a burst of 8", n)
	}
	sendRequest(g, 101, "later", "pay", "basic", 2)
	if len(r.ofKind("send", "later")) != 1 {
		t.Fatal("the window did not open with time")
	}
}

// Guards round 2: a queue promised the same room to every request in it.
func TestQueuedRequestsKeepTheirUnits(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if n := len(r.ofKind("reject", "")); n != 4 {
		t.Fatalf("%d refused while 12 units wait for a burst of 8, want 4", n)
	}
}

// A restarted gateway may just have spent its split of the ceiling.
func TestCeilingSplitStartsEmpty(t *testing.T) {
	g, r := newTestGateway(t, nil)
	sent := func() (n int) { return len(r.ofKind("send", "")) }
	sendRequest(g, 100, "first", "read", "capped", 4)
	if sent() != 0 {
		t.Fatal("units passed with an empty split")
	}
	for i := range 400 {
		sendRequest(g, 101+float64(i)*0.005, fmt.Sprint("q", i), "read", "capped", 1)
		g.HandleTimer(101+float64(i)*0.005, 1)
	}
	if most := int(20.0 / 2 * 3); sent() == 0 || sent() > most {
		t.Fatalf("%d units sent on in 3 s, want some and no more than %d", sent(), most)
	}
}

// Guards the memory on long days: what left, or came once, is forgotten once it tells nothing.
func TestIdleCustomersAreEvicted(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 500 {
		now := 200 + float64(i)*0.1
		g.HandleEndpoints(now, []Endpoint{{ID: fmt.Sprint("new", i), Zone: "a"}}, true)
		id := fmt.Sprint("q", i)
		g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "capped", Customer: id, Deadline: now + 2, GatewayCount: 1, Units: 4})
		for _, a := range r.ofKind("send", id) {
			g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
		}
		g.HandleTimer(now, 1)
	}
	most := int((customerExpiry + customerExpiry/2) / 0.1)
	if len(g.endpoints.byID) > most || len(g.endpoints.byHash) > most || len(g.customers.byKey) > most {
		t.Errorf("%d servers, %d hashes and %d customers are kept, %d at most wanted", len(g.endpoints.byID), len(g.endpoints.byHash),
			len(g.customers.byKey), most)
	}
	g.HandleRequest(250, Request{ID: "held", Class: "pay", Plan: "capped", Customer: "held", Deadline: 254, GatewayCount: 1, Units: 4})
	g.HandleTimer(290, 1)
	if kept := g.customers.byKey[uint32(hashName("held")>>32)]; len(r.ofKind("send", "held")) != 1 || kept == nil {
		t.Error("a customer with an attempt out is forgotten")
	}
}

// The splits and the pool add up to the ceiling, whatever is lost or restarted.
func TestCeilingHoldsThroughLossAndRestarts(t *testing.T) {
	const n = 6
	var gs [n]*Gateway
	var rs [n]*recorder
	var seen [n]int
	born := func(i int, now float64) {
		s := testSettings()
		s.Self, s.GatewayCount, s.Plans[1].Rate, s.Plans[1].Burst = i, n, 1000, 4000
		rs[i], seen[i] = &recorder{}, 0
		gs[i], _ = New(s, uint64(i), now, rs[i])
		gs[i].HandleEndpoints(now, []Endpoint{{ID: "s1"}, {ID: "s2"}}, true)
	}
	for i := range n {
		born(i, 100)
	}
	units := 0.0
	for k := range 2000 {
		now := 100 + float64(k)*0.005
		if k%300 == 299 {
			born(k/300%n, now)
		}
		i := k * 7 % n
		gs[i].HandleRequest(now, Request{
			ID: fmt.Sprint("q", k), Class: "read", Plan: "capped", Customer: "c", Deadline: now + 2,
			GatewayCount: n, Units: 2,
		})
		for i := range n {
			if gs[i].HandleTimer(now, 1); k%4 != 0 {
				continue
			}
			for ; seen[i] < len(rs[i].actions); seen[i]++ {
				switch a := rs[i].actions[seen[i]]; {
				case a.kind == "send":
					units += 2
					gs[i].HandleOutcome(now, Outcome{RequestID: a.id, Status: OK, RequestDone: true, Elapsed: 0.05})
				case a.kind == "send_to_peer" && seen[i]%5 != 0:
					gs[a.to].HandlePeerMessage(now, i, a.data)
				}
			}
		}
	}
	// 10 s of 20 units a second and a burst of 40.
	if units > 240 || units < 100 {
		t.Fatalf("%v units sent on under a ceiling of 240", units)
	}
}

// Guards round 21: with all messages lost, every gateway granted the whole quota.
func TestIsolatedGatewayAdmitsItsFractionAlone(t *testing.T) {
	g, r, ask := asMember(t, ofGateways(4))
	seen := 0
	for i := range 2500 {
		now := 100 + float64(i)*0.02
		if i%3 == 0 {
			ask(now, fmt.Sprint("q", i), 1)
		}
		g.HandleTimer(now, 1)
		replyToAll(g, r, &seen, now)
	}
	// 50 s of 2 units a second shared by 4, and a burst of 8.
	if n := len(r.ofKind("send", "")); n < 20 || n > 50 {
		t.Fatalf("%d units sent on while cut off, a fourth of the quota is 33, the whole 108", n)
	}
}

// Guards round 22: a customer over its rate spent its quota on cheap requests, whichever came first.
func TestLowPriorityLeavesUnitsToHighPriorityWhileOverRate(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("cheap", i), "read", "basic", 1)
	}
	if n := len(r.ofKind("send", "")); n == 0 || n >= 8 {
		t.Fatalf("%d cheap requests took a burst of 8, want some room left", n)
	}
	sendRequest(g, 100, "dear", "pay", "basic", 2)
	if len(r.ofKind("send", "dear")) != 1 {
		t.Fatal("no room was left to the dear request")
	}
}
