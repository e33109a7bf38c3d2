package policy

import (
	"fmt"
	"runtime"
	"testing"
)

// RequestMemory is charged for each open request, so it must not be less than what a request takes.
func TestRequestMemoryIsAnUpperBound(t *testing.T) {
	const customers = 10
	for _, n := range []int{1_000, 3_000, 7_000, 20_000} {
		g, _ := newTestGateway(t, withSingleGateway)
		g.HandleEndpoints(100, nil, true) // without endpoints, all requests wait
		requests := make([]Request, n)
		for i := range requests {
			requests[i] = Request{
				ID: fmt.Sprintf("%016x", i), Class: "read", Plan: "basic", Customer: fmt.Sprint("c", i%customers), Deadline: 200,
				GatewayCount: 1,
			}
		}
		before := liveHeap()
		for _, r := range requests {
			g.HandleRequest(100, r)
		}
		if open := len(g.requests.byID); open != n {
			t.Fatalf("%d requests are open, want %d", open, n)
		}
		each := (liveHeap() - before) / n
		if each > RequestMemory {
			t.Errorf("each of %d requests takes %d bytes, want at most %d", n, each, RequestMemory)
		}
		runtime.KeepAlive(g)
		runtime.KeepAlive(requests)
	}
}
