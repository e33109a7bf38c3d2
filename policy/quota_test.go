package policy

import (
	"fmt"
	"testing"
)

func TestQuotaAdmitsBurstThenRate(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if forwarded := len(r.ofKind("send", "")); forwarded != 8 {
		t.Fatalf("%d of 12 requests were sent, want the burst of 8", forwarded)
	}
	sendRequest(g, 101, "later", "pay", "basic", 2)
	if len(r.ofKind("send", "later")) != 1 {
		t.Fatal("a request of 2 units was not sent after 1 s at a rate of 2 units per second")
	}
}

// Regression test: requests that waited for an endpoint did not reserve their units, so several requests were admitted
// for the same units.
func TestQueuedRequestsKeepTheirUnits(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if rejected := len(r.ofKind("reject", "")); rejected != 4 {
		t.Fatalf("%d of 12 requests were rejected with a burst of 8 and no endpoint, want 4", rejected)
	}
}

// Regression test: requests of low priority that arrived first used up the quota of a customer over its rate, and left
// no units for requests of high priority.
func TestLowPriorityLeavesUnitsToHighPriorityWhileOverRate(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("low", i), "read", "basic", 1)
	}
	if forwarded := len(r.ofKind("send", "")); forwarded == 0 || forwarded >= 8 {
		t.Fatalf("%d requests of low priority were sent from a burst of 8, want 1 to 7", forwarded)
	}
	sendRequest(g, 100, "high", "pay", "basic", 2)
	if len(r.ofKind("send", "high")) != 1 {
		t.Fatal("a request of high priority and 2 units was not sent")
	}
}
