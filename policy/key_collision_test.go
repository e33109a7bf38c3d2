package policy

import (
	"fmt"
	"testing"
)

// Two customers whose names have the same key, the upper 32 bits of their hashes.
const (
	customerWithoutCeiling = "0000000032bfea58"
	customerUnderCeiling   = "0000000099034ef4"
)

// Indexes and names of the plans that newCollisionFleet adds.
const (
	planWithoutCeiling = "large"
	planUnderCeiling   = "limited"
)

// newCollisionFleet returns two gateways that both receive the requests of both customers, their recorders and a
// function that delivers the messages between them.
func newCollisionFleet(t *testing.T) (g [2]*Gateway, r [2]*recorder, pump func(now float64)) {
	t.Helper()
	return newGatewayPairWith(t, func(s *Settings) {
		s.Plans = append(
			s.Plans,
			Plan{Name: planWithoutCeiling, Rate: 1000, Burst: 1000, WeightFactor: 1},
			Plan{Name: planUnderCeiling, Rate: 1000, Burst: 1000, WeightFactor: 1, CeilingRate: 10, CeilingBurst: 20},
		)
	})
}

// sendFor passes a gateway a request of one unit.
func sendFor(g *Gateway, now float64, id, customer, plan string) {
	g.HandleRequest(now, Request{
		ID: id, Class: "read", Plan: plan, Customer: customer, Deadline: now + 2, GatewayCount: 2, Units: 1,
	})
}

// TestCustomersOfOneKeyKeepTheirOwnCeiling guards against a customer that is let through without its ceiling, because
// its name has the same key as that of another customer, whose plan has none.
func TestCustomersOfOneKeyKeepTheirOwnCeiling(t *testing.T) {
	const seconds, perSecond = 4, 100
	g, r, pump := newCollisionFleet(t)
	seen := [2]int{}
	for i := range seconds * perSecond {
		now := 100 + float64(i)/perSecond
		sendFor(g[i%2], now, fmt.Sprint("other", i), customerWithoutCeiling, planWithoutCeiling)
		sendFor(g[i%2], now, fmt.Sprint("limited", i), customerUnderCeiling, planUnderCeiling)
		pump(now)
		for gateway := range g {
			replyToAll(g[gateway], r[gateway], &seen[gateway], now)
		}
	}
	sent := map[string]int{}
	for i := range seconds * perSecond {
		for gateway := range g {
			sent["other"] += min(1, len(r[gateway].ofKind("send", fmt.Sprint("other", i))))
			sent["limited"] += min(1, len(r[gateway].ofKind("send", fmt.Sprint("limited", i))))
		}
	}
	if ceiling := 20 + 10*seconds; sent["limited"] > ceiling || sent["limited"] == 0 {
		t.Errorf("%d requests of the customer under a ceiling were sent, want 1 to %d", sent["limited"], ceiling)
	}
	if sent["other"] != seconds*perSecond {
		t.Errorf("%d of %d requests of the customer without a ceiling were sent", sent["other"], seconds*perSecond)
	}
}

// TestReportsOfOneKeyAreCountedApart guards against an owner that counts the usage of one customer to another one
// whose name has the same key.
func TestReportsOfOneKeyAreCountedApart(t *testing.T) {
	g, _ := newTestGateway(t, withGatewayCount(2))
	report := func(sequence uint16, name string, units float64) {
		record := namedRecord(name)
		record.total, record.unacknowledged = units, units
		g.HandlePeerMessage(100, 1, encodeRecord(sequence, record))
	}
	report(1, customerWithoutCeiling, 1)
	report(2, customerUnderCeiling, 4)
	burst := g.quota.customers.plansByIndex[0].Burst
	for name, used := range map[string]float64{customerWithoutCeiling: 1, customerUnderCeiling: 4} {
		if left := findTestCustomer(g, name).remainingUnits(true, 100); left != burst-used {
			t.Errorf("%v units are left to %s, want %v", left, name, burst-used)
		}
	}
}

// TestReportsWithoutNamesAreCounted checks that an owner counts what a gateway of an earlier version reports, which
// sends no names, to the customer of that key and plan, whether or not it knows the customer's name.
func TestReportsWithoutNamesAreCounted(t *testing.T) {
	for _, known := range []bool{false, true} {
		g := newOwnerOf(t, customerUnderCeiling)
		if known {
			sendFor(g, 100, "q", customerUnderCeiling, "basic")
		}
		record := usageRecord{key: nameKey(hashName(customerUnderCeiling)), total: 3, unacknowledged: 3}
		g.HandlePeerMessage(100, 1-g.settings.Self, encodeRecord(1, record))
		sendFor(g, 100, "r", customerUnderCeiling, "basic")
		if c := findTestCustomer(g, customerUnderCeiling); c == nil || c.ledger == nil || len(c.ledger.members) != 1 || g.quota.customers.count != 1 {
			t.Errorf("name known before: %v: the report is not counted to the customer", known)
		}
	}
}

// newOwnerOf returns the gateway that is the primary owner of a customer, of a fleet of two.
func newOwnerOf(t *testing.T, name string) *Gateway {
	t.Helper()
	for self := range 2 {
		g, _ := newTestGateway(t, func(s *Settings) { s.GatewayCount, s.Self = 2, self })
		if g.owners.findPrimaryOwner(&customer{hash: hashName(name), gatewayCount: 2}) == self {
			return g
		}
	}
	t.Fatal("no gateway is the owner")
	return nil
}

// TestEvictionOfCustomersOfOneKey checks that the table finds each customer of a key, and no other, after others of
// that key were evicted in any order.
func TestEvictionOfCustomersOfOneKey(t *testing.T) {
	const customers = 3
	for first := range customers {
		table := newCustomerTable(testSettings(), &eventClock{now: 100}, fixedOwner(0))
		var added [customers]*customer
		for i := range added {
			added[i] = table.add(7, numberFlag|nameCode(i), table.plansByIndex[0])
		}
		for i := range customers {
			evicted := (first + i) % customers
			table.evict(added[evicted])
			for j, c := range added {
				gone := (j-first+customers)%customers <= i
				if found := table.findNamed(7, c.name, nil); gone != (found == nil) || !gone && found != c {
					t.Errorf("after %d evictions from %d on, customer %d was found: %v", i+1, first, j, found != nil)
				}
			}
		}
		if table.count != 0 || len(table.byKey) != 0 {
			t.Errorf("%d customers and %d lists are left", table.count, len(table.byKey))
		}
	}
}
