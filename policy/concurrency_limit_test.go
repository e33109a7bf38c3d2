package policy

import (
	"cmp"
	"fmt"
	"testing"
)

// TestLimitFollowsTheNumberOfEndpoints checks that the limit grows in proportion to the number of endpoints,
// and stays above 0 after an empty endpoint list. With a fixed limit, a fleet that grew from 37 to 189
// endpoints did not use the new capacity.
func TestLimitFollowsTheNumberOfEndpoints(t *testing.T) {
	g, _ := newTestGateway(t, withSingleGateway)
	before := g.limiter.limit
	var more []Endpoint
	for i := range 27 {
		more = append(more, Endpoint{ID: fmt.Sprint("m", i), Zone: "a"})
	}
	if g.HandleEndpoints(101, more, false); g.limiter.limit != 10*before {
		t.Fatalf("the limit is %v with 3 endpoints and %v with 30, want 10 times as much", before, g.limiter.limit)
	}
	g.HandleEndpoints(102, nil, true)
	if g.HandleEndpoints(103, more, true); g.limiter.limit <= 0 {
		t.Fatal("the limit is not above 0 after an empty endpoint list")
	}
}

// TestSmallLimitAllowsShortBursts checks that a gateway of a large fleet sends several requests that arrive
// at the same time, without queuing any. Its limit is below 3 attempts, so some of the requests would wait
// without the burst allowance.
func TestSmallLimitAllowsShortBursts(t *testing.T) {
	g, r := newLargeFleetGateway(t)
	if g.limiter.limit >= 3 {
		t.Fatalf("the limit is %.2f, want a limit below 3", g.limiter.limit)
	}
	g.limiter.latencyRatio = 2 * highLatencyRatio // slow replies must not prevent a burst
	for i := range 5 {
		sendUnlimited(g, 100, fmt.Sprint("q", i))
	}
	if n := len(r.ofKind("send", "")); n != 5 {
		t.Fatalf("%d of 5 requests sent at once, want all", n)
	}
	for i := range 60 {
		sendUnlimited(g, 100, fmt.Sprint("more", i))
	}
	if n := len(r.ofKind("send", "")); n > 15 {
		t.Fatalf("%d attempts are in flight, want at most 15", n)
	}
}

// TestSmallFleetKeepsToItsLimit checks that a gateway of a small fleet has no burst allowance.
func TestSmallFleetKeepsToItsLimit(t *testing.T) {
	g, r := newTestGateway(t, nil)
	g.limiter.latencyRatio = 2 * highLatencyRatio
	for i := range 60 {
		sendUnlimited(g, 100, fmt.Sprint("q", i))
	}
	if n := len(r.ofKind("send", "")); float64(n) > g.limiter.limit {
		t.Fatalf("%d attempts are in flight, above the limit of %.2f", n, g.limiter.limit)
	}
}

func newTestLimiter(gateways, endpoints int) *concurrencyLimiter {
	limiter := newConcurrencyLimiter(gateways, &eventClock{now: 100})
	limiter.resize(0, endpoints)
	return limiter
}

func TestLimitFollowsLatency(t *testing.T) {
	const objective = 1.0
	for name, tc := range map[string]struct {
		elapsed       Seconds
		timedOut      bool
		spareCapacity bool
		busy          bool // whether the attempts in flight reach the limit
		want          int  // -1 if the limit shrinks, 0 if it stays, 1 if it grows
	}{
		"fast replies at the limit":        {elapsed: 0.05, busy: true, want: 1},
		"fast replies below the limit":     {elapsed: 0.05, want: 0},
		"replies between fast and slow":    {elapsed: 0.18, busy: true, want: 0},
		"slow replies":                     {elapsed: 0.5, busy: true, want: -1},
		"slow replies with spare capacity": {elapsed: 0.5, spareCapacity: true, busy: true, want: 1},
		"timeouts":                         {elapsed: 0.18, timedOut: true, busy: true, want: -1},
		"timeouts with spare capacity":     {elapsed: 0.18, timedOut: true, spareCapacity: true, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			limiter := newTestLimiter(1, 10)
			limiter.limit *= 2
			limiter.latencyRatio = tc.elapsed / objective
			if tc.busy {
				limiter.inFlight = int(limiter.limit)
			}
			before := limiter.limit
			limiter.observe(tc.elapsed, objective, tc.timedOut, tc.spareCapacity)
			if got := cmp.Compare(limiter.limit, before); got != tc.want {
				t.Errorf("the limit went from %v to %v", before, limiter.limit)
			}
		})
	}
}

func TestLimitStaysWithinItsBounds(t *testing.T) {
	limiter := newTestLimiter(1, 10)
	for range 10_000 {
		limiter.inFlight = int(limiter.limit)
		limiter.observe(0.01, 1, false, true)
	}
	if limiter.limit != 10*maxConcurrencyPerEndpoint {
		t.Errorf("fast replies raise the limit to %v, want 10 × maxConcurrencyPerEndpoint", limiter.limit)
	}
	for range 10_000 {
		limiter.observe(1, 1, true, false)
	}
	if limiter.limit != 10*minConcurrencyPerEndpoint {
		t.Errorf("timeouts lower the limit to %v, want 10 × minConcurrencyPerEndpoint", limiter.limit)
	}
}

// TestFractionalLimitDelaysAttemptsWhileRepliesAreSlow checks that attempts are spaced out while replies are
// slow and the limit is below 1. If each of many gateways rounded its limit up to one attempt, they could
// together overload the endpoints.
func TestFractionalLimitDelaysAttemptsWhileRepliesAreSlow(t *testing.T) {
	limiter := newTestLimiter(1, 1)
	limiter.limit = 0.5
	limiter.lastSentAt = limiter.clock.now - 0.3
	if limiter.atLimit(0.2) {
		t.Error("an attempt waits while replies are fast")
	}
	limiter.latencyRatio = highLatencyRatio
	if !limiter.atLimit(0.2) {
		t.Error("an attempt starts 0.3 s after the last one, want a pause of 0.4 s")
	}
	if limiter.clock.now += 0.2; limiter.atLimit(0.2) {
		t.Error("an attempt still waits 0.5 s after the last one")
	}
	if limiter.startAttempt(); !limiter.atLimit(0.2) {
		t.Error("a second attempt starts above the limit")
	}
}
