package policy

import (
	"fmt"
	"testing"
)

func anyGateway(int) bool { return true }

func TestRingSpreadsCustomersOverAllGateways(t *testing.T) {
	for _, gateways := range []int{1, 2, 12, 100} {
		ring := newOwnerRing(gateways)
		const customersPerGateway = 200
		owned := make([]int, gateways)
		for i := range gateways * customersPerGateway {
			owner, found := ring.successor(hashName(fmt.Sprint("customer", i)), anyGateway)
			if !found {
				t.Fatalf("%d gateways: customer %d has no owner", gateways, i)
			}
			owned[owner]++
		}
		for gateway, n := range owned {
			if n < customersPerGateway/2 || n > customersPerGateway*2 {
				t.Errorf("%d gateways: gateway %d owns %d customers, want between half and twice the mean of %d", gateways, gateway, n, customersPerGateway)
			}
		}
	}
}

// If successor skips a gateway, for example an unreachable one, the customers of all other gateways must keep their
// owners. A new owner would not have the usage that the ledger of the previous owner holds.
func TestRingMovesOnlyTheCustomersOfAGatewayThatLeaves(t *testing.T) {
	ring := newOwnerRing(10)
	const removed = 3
	for i := range 500 {
		hash := hashName(fmt.Sprint("customer", i))
		before, _ := ring.successor(hash, anyGateway)
		after, found := ring.successor(hash, func(gateway int) bool { return gateway != removed })
		if !found || after == removed || before != removed && after != before {
			t.Fatalf("customer %d moved from gateway %d to %d (found %t)", i, before, after, found)
		}
	}
	if _, found := ring.successor(1, func(int) bool { return false }); found {
		t.Error("successor found a gateway although none is accepted")
	}
}
