package policy

import (
	"fmt"
	"testing"
)

// The shares and the pool must start empty, and must add up to the burst of the ceiling once they are full.
func TestCeilingPartsAddUpToTheCeiling(t *testing.T) {
	for _, gateways := range []int{1, 2, 6, 100} {
		p := &plan{Plan: Plan{CeilingRate: 20, CeilingBurst: 40}}
		total := 0.0
		for i := range gateways {
			c := &customer{plan: p, gatewayCount: gateways, isPrimaryOwner: i == 0}
			if c.ceilingShareHasCapacity(1, 0) || c.ceilingPoolHasCapacity(1, 0) {
				t.Fatalf("gateway %d of %d has ceiling capacity at its start, want none", i, gateways)
			}
			if !c.isCeilingFull(1e-9, 1000) {
				t.Fatalf("gateway %d of %d has not refilled its part of the ceiling after 1000 s", i, gateways)
			}
			total += c.ceilingShare.tokens + c.ceilingPool.tokens
		}
		if total < p.CeilingBurst-1e-6 || total > p.CeilingBurst+1e-6 {
			t.Errorf("the shares and the pool of %d gateways hold %v units, want %v", gateways, total, p.CeilingBurst)
		}
	}
}

func TestGatewayWithoutPoolReservesOnlyFromItsShare(t *testing.T) {
	p := &plan{Plan: Plan{CeilingRate: 20, CeilingBurst: 40}}
	c := &customer{plan: p, gatewayCount: 4}
	if c.reserveCeilingPool(1, 1000) {
		t.Error("a gateway that is not the primary owner reserved units from a ceiling pool")
	}
	if !c.ceilingShareHasCapacity(5, 1000) || c.ceilingShareHasCapacity(5.1, 1000) {
		t.Errorf("the share holds %v units, want 5 for a ceiling of 40", c.ceilingShare.tokens)
	}
	c.reserveCeiling(5, 1000)
	if c.ceilingShareHasCapacity(0.1, 1000) {
		t.Errorf("%v units are left after the whole share was reserved", c.ceilingShare.tokens)
	}
}

// A gateway may have used up its share of the ceiling just before it restarted. If the share started full, a
// restart would allow more than the ceiling.
func TestCeilingShareStartsEmpty(t *testing.T) {
	g, r := newTestGateway(t, nil)
	sent := func() int { return len(r.ofKind("send", "")) }
	sendRequest(g, 100, "first", "read", "capped", 4)
	if sent() != 0 {
		t.Fatal("a request of 4 units was sent at the start, when the share is empty")
	}
	for i := range 400 {
		now := 101 + float64(i)*0.005
		sendRequest(g, now, fmt.Sprint("q", i), "read", "capped", 1)
		g.HandleTimer(now, 1)
	}
	if limit := int(20.0 / 2 * 3); sent() == 0 || sent() > limit {
		t.Fatalf("%d units were sent in 3 s, want at least 1 and at most %d", sent(), limit)
	}
}

// Six gateways lose messages and restart in turn. Together they must still not exceed the ceiling.
func TestCeilingHoldsThroughLossAndRestarts(t *testing.T) {
	const fleet = 6
	var gateways [fleet]*Gateway
	var recorders [fleet]*recorder
	var seen [fleet]int
	restart := func(i int, now Seconds) {
		s := testSettings()
		s.Self, s.GatewayCount, s.Plans[1].Rate, s.Plans[1].Burst = i, fleet, 1000, 4000
		recorders[i], seen[i] = &recorder{}, 0
		gateways[i], _ = New(s, uint64(i), now, recorders[i])
		gateways[i].HandleEndpoints(now, []Endpoint{{ID: "s1"}, {ID: "s2"}}, true)
	}
	for i := range fleet {
		restart(i, 100)
	}
	units := 0.0
	deliver := func(from int, now Seconds) {
		for ; seen[from] < len(recorders[from].actions); seen[from]++ {
			switch a := recorders[from].actions[seen[from]]; {
			case a.kind == "send":
				units += 2
				gateways[from].HandleOutcome(now, Outcome{RequestID: a.id, Status: OK, RequestDone: true, Elapsed: 0.05})
			case a.kind == "send_to_peer" && seen[from]%5 != 0: // the message is lost if its index in actions is a multiple of 5
				gateways[a.to].HandlePeerMessage(now, from, a.data)
			}
		}
	}
	for step := range 2000 {
		now := 100 + float64(step)*0.005
		if step%300 == 299 {
			restart(step/300%fleet, now)
		}
		gateways[step*7%fleet].HandleRequest(now, Request{
			ID: fmt.Sprint("q", step), Class: "read", Plan: "capped", Customer: "c", Deadline: now + 2,
			GatewayCount: fleet, Units: 2,
		})
		for i := range fleet {
			gateways[i].HandleTimer(now, 1)
			if step%4 == 0 {
				deliver(i, now)
			}
		}
	}
	// The ceiling allows 20 units per second for 10 s and a burst of 40.
	if units > 240 || units < 100 {
		t.Fatalf("%v units were sent, want 100 to 240", units)
	}
}
