package policy

import (
	"fmt"
	"testing"
)

// findTestCustomer returns the customer with the given name, or nil if the gateway does not know it.
func findTestCustomer(g *Gateway, name string) *customer {
	return g.quota.customers.findNamed(nameKey(hashName(name)), encodeName(name), nil)
}

// Customers that send no more requests must be evicted, and so must endpoints that leave the endpoint list. Otherwise
// the memory of a gateway would grow as long as it runs. A customer with an attempt in flight must be kept.
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
	customers := g.quota.customers.count
	if len(g.endpoints.byID) > limit || len(g.endpoints.byHash) > limit || customers > limit {
		t.Errorf("%d endpoints, %d endpoint hashes and %d customers are kept, want at most %d", len(g.endpoints.byID), len(g.endpoints.byHash),
			customers, limit)
	}
	g.HandleRequest(250, Request{ID: "held", Class: "pay", Plan: "capped", Customer: "held", Deadline: 254, GatewayCount: 1, Units: 4})
	g.HandleTimer(290, 1)
	if len(r.ofKind("send", "held")) != 1 || findTestCustomer(g, "held") == nil {
		t.Error("the request \"held\" was not sent, or its customer was evicted with an attempt in flight")
	}
}

// A gateway must keep the remaining units that it knows when it becomes the owner of a customer, and when it
// ceases to be the owner.
func TestOwnershipChangeKeepsRemainingUnits(t *testing.T) {
	const now = Seconds(100)
	p := &plan{Plan: Plan{Rate: 2, Burst: 8}}
	c := &customer{plan: p, gatewayCount: 2, isPrimaryOwner: true}
	c.quota.window = tokenBucket{tokens: 8, updatedAt: now}
	c.totalUnits, c.acknowledgedUnits = 5, 2
	if left := c.remainingUnits(false, now); left != 5 {
		t.Fatalf("a member with 8 units in its view and 3 unacknowledged has %v left, want 5", left)
	}
	if left := c.remainingUnits(true, now); left != 5 || c.ledger == nil {
		t.Fatalf("the ledger starts with %v units, want the 5 of the member's view", left)
	}
	c.ledger.charge(4)
	if left := c.remainingUnits(false, now+1); left != 3 || c.ledger != nil {
		t.Fatalf("the member has %v units left, want 3: 1 from the ledger and 2 refilled in a second", left)
	}
	if c.unacknowledgedUnits() != 0 {
		t.Fatal("units that the ledger has counted are still unacknowledged")
	}
}

func TestCustomerIsFoundByNameAndKeepsItsGateways(t *testing.T) {
	s := testSettings()
	s.GatewayCount = 4
	clock := &eventClock{now: 100}
	table := newCustomerTable(s, clock, fixedOwner(2))
	reported := table.add(nameKey(hashName("x")), unknownName, table.plansByIndex[0]) // as replyToReport adds it
	if !reported.isPrimaryOwner || reported.gatewayCount != 0 {
		t.Fatal("this gateway is not the primary owner of a customer known only from reports")
	}
	clock.now = 101
	found := table.find(Request{Customer: "x", Plan: "basic", FirstGateway: 1, GatewayCount: 3})
	if found != reported || table.count != 1 {
		t.Fatal("the customer added for a report is not found by its name")
	}
	if found.primaryOwner != 2 || found.isPrimaryOwner || found.firstGateway != 1 || found.gatewayCount != 3 || found.usedAt != 101 {
		t.Fatalf("got customer %+v, want one of gateways 1 to 3 with primary owner 2", found)
	}
	if table.find(Request{Customer: "x", Plan: "basic", FirstGateway: 0, GatewayCount: 4}).gatewayCount != 3 {
		t.Fatal("a second request changed the gateways of a known customer")
	}
	if c := table.find(Request{Customer: "y", Plan: "basic", FirstGateway: 1, GatewayCount: 9}); c.firstGateway != 0 || c.gatewayCount != 4 {
		t.Fatalf("a customer of 9 gateways in a fleet of 4 has first gateway %d and %d gateways, want 0 and 4", c.firstGateway, c.gatewayCount)
	}
}
