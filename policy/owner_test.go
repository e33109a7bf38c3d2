package policy

import "testing"

func TestCustomerIsServedByConsecutiveGateways(t *testing.T) {
	c := &customer{firstGateway: 3, gatewayCount: 3}
	for gateway, want := range []bool{true, false, false, true, true} {
		if got := c.isServedBy(gateway, 5); got != want {
			t.Errorf("isServedBy(%d) = %t, want %t", gateway, got, want)
		}
	}
}

func TestOwnerByReachability(t *testing.T) {
	settings := testSettings()
	settings.Self, settings.GatewayCount = 4, 5
	unreachable := map[int]bool{}
	directory := newOwnerDirectory(settings, func(gateway int) bool { return !unreachable[gateway] })
	c := &customer{hash: hashName("customer"), firstGateway: 1, gatewayCount: 3}
	c.primaryOwner = directory.findPrimaryOwner(c)
	if !c.isServedBy(c.primaryOwner, 5) {
		t.Fatalf("the primary owner is gateway %d, which does not receive the customer's requests", c.primaryOwner)
	}
	if owner := directory.owner(c); owner != c.primaryOwner {
		t.Errorf("the owner is gateway %d, want the primary owner %d", owner, c.primaryOwner)
	}
	unreachable[c.primaryOwner] = true
	second := directory.owner(c)
	if second == c.primaryOwner || !c.isServedBy(second, 5) {
		t.Errorf("the owner is gateway %d while %d is unreachable, want another gateway of the customer", second, c.primaryOwner)
	}
	unreachable[1], unreachable[2], unreachable[3] = true, true, true
	if owner := directory.owner(c); owner != settings.Self {
		t.Errorf("the owner is gateway %d while no gateway of the customer is reachable, want this gateway", owner)
	}
}

func TestGatewayWithoutPeersOwnsItsCustomers(t *testing.T) {
	settings := testSettings()
	settings.Self, settings.GatewayCount, settings.PeerMessages = 1, 5, false
	directory := newOwnerDirectory(settings, anyGateway)
	if owner := directory.owner(&customer{gatewayCount: 5, primaryOwner: 3}); owner != settings.Self {
		t.Errorf("without peer messages, the owner is gateway %d, want this gateway", owner)
	}
	directory.peerMessages = true
	if owner := directory.owner(&customer{gatewayCount: 1, primaryOwner: 3}); owner != settings.Self {
		t.Errorf("the owner of a customer with a single gateway is gateway %d, want this gateway", owner)
	}
}
