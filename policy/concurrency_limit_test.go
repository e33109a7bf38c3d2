package policy

import (
	"cmp"
	"fmt"
	"testing"
)

// Guards the limit of a fleet that grows: once it went from 37 to 189 endpoints while the limit stayed.
func TestLimitFollowsTheNumberOfEndpoints(t *testing.T) {
	g, _ := newTestGateway(t, withSingleGateway)
	before := g.limiter.limit
	var more []Endpoint
	for i := range 27 {
		more = append(more, Endpoint{ID: fmt.Sprint("m", i), Zone: "a"})
	}
	if g.HandleEndpoints(101, more, false); g.limiter.limit != 10*before {
		t.Fatalf("the limit is %v with 3 endpoints, %v with 30", before, g.limiter.limit)
	}
	g.HandleEndpoints(102, nil, true)
	if g.HandleEndpoints(103, more, true); g.limiter.limit <= 0 {
		t.Fatal("an empty list left no limit")
	}
}

// Guards against requests that wait while most of the endpoints are idle: a gateway of a large fleet has a limit of
// few attempts, but may exceed it by what chance does to few requests.
func TestSmallLimitAllowsShortBursts(t *testing.T) {
	g, r := newLargeFleetGateway(t)
	if g.limiter.limit >= 3 {
		t.Fatalf("the limit is %.2f: the test needs one below the requests that follow", g.limiter.limit)
	}
	g.limiter.latencyRatio = 2 * highLatencyRatio // replies are slow as well
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
		t.Fatalf("%d attempts are in flight, without a bound", n)
	}
}

// A gateway that sees a good part of all requests does not exceed its limit.
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
		busy          bool // as many attempts are in flight as the limit holds
		want          int  // -1: the limit shrinks, 1: it grows
	}{
		"fast replies at the limit":             {elapsed: 0.05, busy: true, want: 1},
		"fast replies below the limit":          {elapsed: 0.05, want: 0},
		"replies between fast and slow":         {elapsed: 0.18, busy: true, want: 0},
		"slow replies":                          {elapsed: 0.5, busy: true, want: -1},
		"slow replies of endpoints with spare":  {elapsed: 0.5, spareCapacity: true, busy: true, want: 1},
		"timeouts":                              {elapsed: 0.18, timedOut: true, busy: true, want: -1},
		"timeouts at endpoints that have spare": {elapsed: 0.18, timedOut: true, spareCapacity: true, want: 0},
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
		t.Errorf("fast replies raise the limit to %v", limiter.limit)
	}
	for range 10_000 {
		limiter.observe(1, 1, true, false)
	}
	if limiter.limit != 10*minConcurrencyPerEndpoint {
		t.Errorf("timeouts lower the limit to %v", limiter.limit)
	}
}

// Guards against many gateways that all round a part of an attempt up while endpoints are slow.
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
