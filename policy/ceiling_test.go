package policy

import "testing"

// Whichever gateways a customer has, their splits and the one pool never exceed the ceiling.
func TestCeilingPartsAddUpToTheCeiling(t *testing.T) {
	for _, gateways := range []int{1, 2, 6, 100} {
		p := &plan{Plan: Plan{CeilingRate: 20, CeilingBurst: 40}}
		total := 0.0
		for i := range gateways {
			c := &customer{plan: p, gatewayCount: gateways, primaryHere: i == 0}
			if c.ceilingSplitHasCapacity(1, 0) || c.ceilingPoolHasCapacity(1, 0) {
				t.Fatalf("gateway %d of %d has capacity at its start", i, gateways)
			}
			if !c.isCeilingFull(1e-9, 1000) {
				t.Fatalf("gateway %d of %d has not filled its part after 1000 s", i, gateways)
			}
			total += c.ceilingSplit.tokens + c.ceilingPool.tokens
		}
		if total < p.CeilingBurst-1e-6 || total > p.CeilingBurst+1e-6 {
			t.Errorf("the parts of %d gateways hold %v units, want %v", gateways, total, p.CeilingBurst)
		}
	}
}

func TestGatewayWithoutThePoolReservesFromItsSplitAlone(t *testing.T) {
	p := &plan{Plan: Plan{CeilingRate: 20, CeilingBurst: 40}}
	c := &customer{plan: p, gatewayCount: 4}
	if c.reserveCeilingPool(1, 1000) {
		t.Error("units were reserved from a pool of another gateway")
	}
	if !c.ceilingSplitHasCapacity(5, 1000) || c.ceilingSplitHasCapacity(5.1, 1000) {
		t.Errorf("the split holds %v units, want 5 of a ceiling of 40", c.ceilingSplit.tokens)
	}
	c.reserveCeiling(5, 1000)
	if c.ceilingSplitHasCapacity(0.1, 1000) {
		t.Errorf("%v units are left of a split that was reserved whole", c.ceilingSplit.tokens)
	}
}
