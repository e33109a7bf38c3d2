package policy

import (
	"slices"
	"testing"
)

// A client's retry may arrive a few milliseconds before its deadline. It must be rejected at once, not queued
// until after the deadline.
func TestRequestTooCloseToItsDeadlineIsRejectedAtOnce(t *testing.T) {
	g, recorded := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", State: Draining}}, true)
	g.HandleRequest(100, Request{ID: "x", Class: "read", Plan: "basic", Customer: "c", Deadline: 100.005, GatewayCount: 1, Units: 1})
	if len(recorded.ofKind("reject", "x")) != 1 {
		t.Fatal("the request was not rejected at once")
	}
}

func TestQueuedRequestGetsAFinalReplyBeforeItsDeadline(t *testing.T) {
	g, recorded := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, nil, true)
	sendRequest(g, 100, "w", "read", "basic", 1)
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(recorded.ofKind("reject", "w"))+len(recorded.ofKind("fail", "w")) != 1 {
		t.Fatalf("want one final reply, got %v", recorded.actions)
	}
}

// A queued request that was never written to an endpoint is rejected after firstWriteFraction of the time
// from its arrival to its deadline, so that the client still has time for a retry.
func TestUnwrittenRequestIsRejectedEarly(t *testing.T) {
	g, recorded := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, nil, true)
	sendRequest(g, 100, "a", "any", "wide", 1) // objective 3 s, timeout 4 s
	g.HandleTimer(101.5, 1)
	if len(recorded.ofKind("reject", "a")) != 0 {
		t.Error("the request was rejected before firstWriteFraction of its time")
	}
	if g.HandleTimer(101.9, 1); len(recorded.ofKind("reject", "a")) != 1 {
		t.Error("the request was not rejected in the first half of its time")
	}
}

func TestDispatchQueueOffersTheHighestPriorityFirst(t *testing.T) {
	var queue dispatchQueue
	for _, r := range []*request{
		{Request: Request{ID: "low"}, priority: 1},
		{Request: Request{ID: "high"}, priority: 3},
		{Request: Request{ID: "first of two"}, priority: 2},
		{Request: Request{ID: "second of two"}, priority: 2},
	} {
		queue.add(r)
	}
	offered := func(dequeue bool) (ids []string) {
		queue.dequeueFunc(func(r *request) bool {
			ids = append(ids, r.ID)
			return dequeue
		})
		return ids
	}
	want := []string{"high", "first of two", "second of two", "low"}
	for _, dequeue := range []bool{false, true} { // requests that are not dequeued are offered again
		if got := offered(dequeue); !slices.Equal(got, want) {
			t.Errorf("offered %q, want %q", got, want)
		}
	}
	if !queue.isEmpty() {
		t.Error("the queue is not empty after all were dequeued")
	}
}
