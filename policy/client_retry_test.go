package policy

import (
	"fmt"
	"testing"
)

// TestNewClientTimeoutIsNotTakenForRetries checks that the requests of a customer below its rate are all sent
// once the detector has adapted to a new client timeout.
func TestNewClientTimeoutIsNotTakenForRetries(t *testing.T) {
	g, recorded := newTestGateway(t, withSingleGateway)
	now := 100.0
	send := func(n int, timeout Seconds) (sent int) {
		for range n {
			now += 0.02
			id := fmt.Sprint("q", now)
			g.HandleRequest(now, Request{ID: id, Class: "read", Plan: "wide", Customer: "c", Deadline: now + timeout, GatewayCount: 1, Units: 1})
			for _, a := range recorded.ofKind("send", id) {
				sent++
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
			}
			g.HandleTimer(now, 1)
		}
		return sent
	}
	if n := send(2000, 2); n != 2000 {
		t.Fatalf("%d of 2000 requests sent, want all", n)
	}
	send(maxRemainingObservations, 0.9)
	if n := send(200, 0.9); n != 200 {
		t.Errorf("%d of 200 requests sent after the detector has adapted to the new timeout, want all", n)
	}
}

// TestClientRetriesAreDetected checks that a client's retry is rejected if no useful reply is expected. The
// latency objective of a retry counts from the client's first attempt. A request with an uncommonly short time
// until its deadline counts as a retry only if its customer had a recent rejection or exceeds its rate.
func TestClientRetriesAreDetected(t *testing.T) {
	g, recorded := newTestGateway(t, withSingleGateway)
	for i := range 40 {
		id := fmt.Sprint("q", i)
		sendRequest(g, 100+float64(i), id, "read", "basic", 1)
		g.HandleOutcome(100+float64(i), Outcome{RequestID: id, Endpoint: recorded.ofKind("send", id)[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
	}
	send := func(id, customer string, remaining Seconds) (sent, rejected int) {
		g.HandleRequest(150, Request{ID: id, Class: "read", Plan: "basic", Customer: customer, Deadline: 150 + remaining, GatewayCount: 1, Units: 1})
		return len(recorded.ofKind("send", id)), len(recorded.ofKind("reject", id))
	}
	if sent, _ := send("first", "x", 0.8); sent != 1 {
		t.Fatal("a first attempt with a short deadline was rejected although its customer had no rejections")
	}
	g.quota.customers.find(Request{Customer: "x", Plan: "basic"}).rejectedAt = 149
	if sent, rejected := send("late", "x", 0.8); sent != 0 || rejected != 1 {
		t.Fatal("a retry past its objective was not rejected")
	}
	if sent, _ := send("soon", "x", 1.7); sent != 1 {
		t.Fatal("a retry that can still meet its objective was rejected")
	}
	for i := range 4 { // four units at once raise the demand above the rate of 2 units per second
		send(fmt.Sprint("many", i), "y", 2)
	}
	if sent, _ := send("over", "y", 0.8); sent != 0 {
		t.Fatal("a retry past its objective was forwarded for a customer above its rate")
	}
}

// observeEach calls observe with each of the remaining times in turn, for the given number of rounds.
func observeEach(detector *clientRetryDetector, rounds int, remaining ...Seconds) {
	for range rounds {
		for _, seconds := range remaining {
			detector.observe(seconds)
		}
	}
}

func TestClientRetryDetectorDetectsUncommonRemainingTimes(t *testing.T) {
	for name, tc := range map[string]struct {
		rounds    int
		seen      []Seconds
		remaining Seconds
		want      bool
	}{
		"the common time":             {40, []Seconds{2}, 2, false},
		"about the common time":       {40, []Seconds{2}, 1.98, false},
		"an uncommon time":            {40, []Seconds{2}, 0.8, true},
		"one of two common times":     {40, []Seconds{2, 1}, 1, false},
		"neither of two common times": {40, []Seconds{2, 1}, 0.5, true},
		"more than the timeout":       {40, []Seconds{2}, 5, false},
		"past its deadline":           {40, []Seconds{2}, -1, true},
		"too few observations":        {minRemainingObservations - 1, []Seconds{2}, 0.8, false},
		"no time is common":           {10, []Seconds{0.2, 0.5, 0.8, 1.1, 1.4, 1.7}, 2, false},
		"the counts have been halved": {10 * maxRemainingObservations, []Seconds{2}, 0.8, true},
	} {
		t.Run(name, func(t *testing.T) {
			detector := newClientRetryDetector(2)
			observeEach(&detector, tc.rounds, tc.seen...)
			if got := detector.observe(tc.remaining); got != tc.want {
				t.Errorf("observe(%v) = %v, want %v", tc.remaining, got, tc.want)
			}
		})
	}
}

// TestClientRetryDetectorLearnsANewTimeout checks that the detector no longer takes requests with a new
// client timeout for retries after maxRemainingObservations of them.
func TestClientRetryDetectorLearnsANewTimeout(t *testing.T) {
	detector := newClientRetryDetector(2)
	observeEach(&detector, 2000, 2)
	if !detector.observe(0.9) {
		t.Fatal("the first request with the new timeout is not detected as a retry")
	}
	observeEach(&detector, maxRemainingObservations, 0.9)
	if detector.observe(0.9) {
		t.Error("a request with the new timeout is still detected as a retry")
	}
	if detector.observations >= maxRemainingObservations {
		t.Errorf("%d observations are kept, want fewer than %d", detector.observations, maxRemainingObservations)
	}
}
