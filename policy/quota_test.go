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
		t.Fatalf("%d forwarded of a burst of 8", forwarded)
	}
	sendRequest(g, 101, "later", "pay", "basic", 2)
	if len(r.ofKind("send", "later")) != 1 {
		t.Fatal("the window was not filled by the rate")
	}
}

// A regression: a queue promised the same units to every request in it.
func TestQueuedRequestsKeepTheirUnits(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("q", i), "pay", "basic", 1)
	}
	if rejected := len(r.ofKind("reject", "")); rejected != 4 {
		t.Fatalf("%d rejected while 12 units wait for a burst of 8, want 4", rejected)
	}
}

// A regression: a customer over its rate spent its quota on requests of low priority, whichever came first.
func TestLowPriorityLeavesUnitsToHighPriorityWhileOverRate(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 12 {
		sendRequest(g, 100, fmt.Sprint("low", i), "read", "basic", 1)
	}
	if forwarded := len(r.ofKind("send", "")); forwarded == 0 || forwarded >= 8 {
		t.Fatalf("%d requests of low priority took a burst of 8, want some units left", forwarded)
	}
	sendRequest(g, 100, "high", "pay", "basic", 2)
	if len(r.ofKind("send", "high")) != 1 {
		t.Fatal("no units were left to the request of high priority")
	}
}
