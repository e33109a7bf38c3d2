package policy

import (
	"fmt"
	"testing"
)

// findTestCustomer returns the customer of a name, nil if the gateway does not know it.
func findTestCustomer(g *Gateway, name string) *customer {
	return g.quota.customers.byKey[uint32(hashName(name)>>32)]
}

// Memory must stay bounded on long days: what has left, or came once, is evicted once it is idle.
func TestIdleCustomersAreEvicted(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
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
	limit := int((customerExpiry + customerExpiry/2) / 0.1)
	customers := len(g.quota.customers.byKey)
	if len(g.endpoints.byID) > limit || len(g.endpoints.byHash) > limit || customers > limit {
		t.Errorf("%d endpoints, %d hashes and %d customers are kept, want %d at most", len(g.endpoints.byID), len(g.endpoints.byHash),
			customers, limit)
	}
	g.HandleRequest(250, Request{ID: "held", Class: "pay", Plan: "capped", Customer: "held", Deadline: 254, GatewayCount: 1, Units: 4})
	g.HandleTimer(290, 1)
	if len(r.ofKind("send", "held")) != 1 || findTestCustomer(g, "held") == nil {
		t.Error("a customer with an attempt in flight is evicted")
	}
}

// The window of an owner and the view of a member replay the same units, so that a move loses none.
func TestMoveOfOwnershipKeepsTheUnitsLeft(t *testing.T) {
	const now = Seconds(100)
	p := &plan{Plan: Plan{Rate: 2, Burst: 8}}
	c := &customer{plan: p, gatewayCount: 2, isPrimaryOwner: true}
	c.quota.window = tokenBucket{tokens: 8, updatedAt: now}
	c.totalUnits, c.acknowledgedUnits = 5, 2
	if left := c.remainingUnits(false, now); left != 5 {
		t.Fatalf("a member with 3 units that the owner has not counted sees %v of 8 left, want 5", left)
	}
	if left := c.remainingUnits(true, now); left != 5 || c.ledger == nil {
		t.Fatalf("the ledger starts at %v units, want the 5 of the member", left)
	}
	c.ledger.charge(4)
	if left := c.remainingUnits(false, now+1); left != 3 || c.ledger != nil {
		t.Fatalf("the member sees %v units left, want the 1 of the ledger and 2 of a second's rate", left)
	}
	if c.unacknowledgedUnits() != 0 {
		t.Fatal("units that the ledger counted are counted again")
	}
}

func TestCustomersAreFoundAgainAndLocatedOnce(t *testing.T) {
	s := testSettings()
	s.GatewayCount = 4
	clock := &eventClock{now: 100}
	table := newCustomerTable(s, clock, fixedOwner(2))
	reported := table.add(uint32(hashName("x")>>32), table.plansByIndex[0]) // in a member's report
	if !reported.isPrimaryOwner || reported.gatewayCount != 0 {
		t.Fatal("a customer known from reports alone must have this gateway as its owner")
	}
	clock.now = 101
	found := table.find(Request{Customer: "x", Plan: "basic", FirstGateway: 1, GatewayCount: 3})
	if found != reported || len(table.byKey) != 1 {
		t.Fatal("the customer of a report is not found by its name")
	}
	if found.primaryOwner != 2 || found.isPrimaryOwner || found.firstGateway != 1 || found.gatewayCount != 3 || found.usedAt != 101 {
		t.Fatalf("located as %+v, want gateway 2 of 1 to 3 as its owner", found)
	}
	if table.find(Request{Customer: "x", Plan: "basic", FirstGateway: 0, GatewayCount: 4}).gatewayCount != 3 {
		t.Fatal("a customer moved to other gateways while it is known")
	}
	if c := table.find(Request{Customer: "y", Plan: "basic", FirstGateway: 1, GatewayCount: 9}); c.firstGateway != 0 || c.gatewayCount != 4 {
		t.Fatalf("a customer of more gateways than there are is located at %d of %d, want all", c.firstGateway, c.gatewayCount)
	}
}
