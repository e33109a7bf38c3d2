package policy

import (
	"fmt"
	"testing"
)

func TestDrainingEndpointsGetNoQueuedRequests(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	for i := range 200 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "wide", 1)
	}
	if len(g.dispatchQueue.requests) == 0 {
		t.Fatal("nothing waits, the test shows nothing")
	}
	g.HandleEndpoints(100.1, []Endpoint{{ID: "s1", Zone: "a", Cell: 1, State: Draining}, {ID: "s2", State: Removed}}, false)
	before := len(r.actions)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		for n, a := range r.ofKind("send", id) {
			g.HandleOutcome(100.2, Outcome{RequestID: id, Endpoint: a.endpoint, Attempt: n, Status: OK, RequestDone: true, Elapsed: 0.1})
		}
	}
	later := 0
	for _, a := range r.actions[before:] {
		if a.kind == "send" {
			later++
			if a.endpoint != "s3" {
				t.Fatalf("sent to %s after its drain notice", a.endpoint)
			}
		}
	}
	if later == 0 {
		t.Fatal("nothing was sent after the notice, the test shows nothing")
	}
}
