package policy

import (
	"fmt"
	"testing"
)

func TestLocalWindowHoldsAPartOfTheQuota(t *testing.T) {
	p := &plan{Plan: Plan{Rate: 8, Burst: 16}, maxRequestUnits: 3}
	for _, tc := range []struct {
		gateways int
		burst    float64
	}{
		{gateways: 1, burst: 16},
		{gateways: 4, burst: 4},
		{gateways: 100, burst: 3}, // the largest request fits
	} {
		c := &customer{plan: p, gatewayCount: tc.gateways}
		c.quota.window.tokens = p.Burst
		if c.reserveLocal(1, 0) {
			t.Errorf("%d gateways: an empty window admits a unit", tc.gateways)
		}
		if c.reserveLocal(tc.burst+0.1, 1000) || !c.reserveLocal(tc.burst, 1000) {
			t.Errorf("%d gateways: a full window does not hold %v units", tc.gateways, tc.burst)
		}
		fillTime := tc.burst / p.Rate * float64(tc.gateways)
		if c.isLocalWindowFull(1000+0.9*fillTime) || !c.isLocalWindowFull(1000+fillTime) {
			t.Errorf("%d gateways: the window does not fill by its part of the rate", tc.gateways)
		}
	}
}

// A regression: with all messages lost, every gateway granted the whole quota.
func TestIsolatedGatewayAdmitsItsFractionAlone(t *testing.T) {
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
	// 50 s of 2 units a second shared by 4, and a burst of 8.
	if forwarded := len(r.ofKind("send", "")); forwarded < 20 || forwarded > 50 {
		t.Fatalf("%d units forwarded in isolation, a fourth of the quota is 33, the whole 108", forwarded)
	}
}
