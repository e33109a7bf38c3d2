package policy

import (
	"fmt"
	"testing"
)

// Guards round 26 (i1620fa): the fleet grew from 37 to 189 servers while the limit stayed.
func TestLimitFollowsTheNumberOfEndpoints(t *testing.T) {
	g, _ := newTestGateway(t, singleGateway)
	before := g.concurrencyLimit
	var more []Endpoint
	for i := range 27 {
		more = append(more, Endpoint{ID: fmt.Sprint("m", i), Zone: "a"})
	}
	if g.HandleEndpoints(101, more, false); g.concurrencyLimit != 10*before {
		t.Fatalf("limit %v with 3 servers, %v with 30", before, g.concurrencyLimit)
	}
	g.HandleEndpoints(102, nil, true)
	if g.HandleEndpoints(103, more, true); g.concurrencyLimit <= 0 {
		t.Fatal("an empty list left no limit")
	}
}

// A limit of two attempts made requests of a small cluster wait while most of the fleet idled.
func TestSmallLimitAllowsFewRequestsAtOnce(t *testing.T) {
	g, r := largeFleet(t)
	if g.concurrencyLimit >= 3 {
		t.Fatalf("the part of the limit is %.2f: the test needs one under what comes", g.concurrencyLimit)
	}
	g.latencyRatio = 2 * highLatencyRatio // while answers are slow as well
	for i := range 5 {
		sendUnlimited(g, 100, fmt.Sprint("q", i))
	}
	if n := len(r.ofKind("send", "")); n != 5 {
		t.Fatalf("%d of 5 sent at once", n)
	}
	for i := range 60 {
		sendUnlimited(g, 100, fmt.Sprint("more", i))
	}
	if n := len(r.ofKind("send", "")); n > 15 {
		t.Fatalf("%d attempts out: nothing bounds a gateway any more", n)
	}
}

// Where a gateway sees a good part of all requests its limit stays what it was.
func TestSmallFleetKeepsToItsLimit(t *testing.T) {
	g, r := newTestGateway(t, nil)
	g.latencyRatio = 2 * highLatencyRatio
	for i := range 60 {
		sendUnlimited(g, 100, fmt.Sprint("q", i))
	}
	if n := len(r.ofKind("send", "")); float64(n) > g.concurrencyLimit {
		t.Fatalf("%d attempts out over a limit of %.2f", n, g.concurrencyLimit)
	}
}
