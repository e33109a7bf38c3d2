package policy

import (
	"fmt"
	"testing"
)

func TestLocalWindowHoldsAFractionOfTheQuota(t *testing.T) {
	p := &plan{Plan: Plan{Rate: 8, Burst: 16}, maxRequestUnits: 3}
	for _, tc := range []struct {
		gateways int
		burst    float64
	}{
		{gateways: 1, burst: 16},
		{gateways: 4, burst: 4},
		{gateways: 100, burst: 3}, // maxRequestUnits instead of 16/100
	} {
		c := &customer{plan: p, gatewayCount: tc.gateways}
		c.quota.window.tokens = p.Burst
		if c.reserveLocal(1, 0) {
			t.Errorf("%d gateways: an empty window admits 1 unit", tc.gateways)
		}
		if c.reserveLocal(tc.burst+0.1, 1000) || !c.reserveLocal(tc.burst, 1000) {
			t.Errorf("%d gateways: a full window does not hold exactly %v units", tc.gateways, tc.burst)
		}
		fillTime := tc.burst / p.Rate * float64(tc.gateways)
		if c.isLocalWindowFull(1000+0.9*fillTime) || !c.isLocalWindowFull(1000+fillTime) {
			t.Errorf("%d gateways: the window does not fill at its fraction of the rate", tc.gateways)
		}
	}
}

// Regression test: a gateway whose messages were all lost admitted a customer's whole quota, so the customer could
// use its quota once at each gateway.
func TestIsolatedGatewayAdmitsOnlyItsFraction(t *testing.T) {
	g, r, send := newTestMember(t, withGatewayCount(4))
	seen := 0
	for i := range 2500 {
		now := 100 + float64(i)*0.02
		if i%3 == 0 {
			send(now, fmt.Sprint("q", i), 1)
		}
		g.HandleTimer(now, 1)
		replyToAll(g, r, &seen, now)
	}
	// The quota allows 2 units per second for 50 s and a burst of 8. Four gateways share it.
	if forwarded := len(r.ofKind("send", "")); forwarded < 20 || forwarded > 50 {
		t.Fatalf("%d units were sent in isolation, want 20 to 50: a quarter of the quota is 27, the whole quota 108", forwarded)
	}
}
