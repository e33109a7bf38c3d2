package policy

import (
	"fmt"
	"testing"
)

// Each of many gateways met every server in turn, each time by a new connection.
func TestEndpointsWithAConnectionArePreferredByHandshakeCost(t *testing.T) {
	for _, price := range []float64{0, 0.08} {
		s, r := testSettings(), &recorder{}
		s.GatewayCount, s.ConnectionIdleTimeout, s.HandshakeCost = 80, 30, price
		g, err := New(s, 7, 100, r)
		if err != nil {
			t.Fatal(err)
		}
		g.HandleEndpoints(100, manyEndpoints(60), true)
		used := map[string]bool{}
		for i := range 100 {
			now := 100 + float64(i)*0.2
			id := fmt.Sprint("q", i)
			sendUnlimited(g, now, id, "read")
			sent := r.ofKind("send", id)
			if len(sent) != 1 {
				t.Fatalf("request %d was not sent", i)
			}
			used[sent[0].endpoint] = true
			g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: sent[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
		}
		if n := len(used); price == 0 && n < 40 || price > 0 && (n > 30 || n < 4) {
			t.Errorf("with a price of %v %d of 60 servers were used by 100 requests", price, n)
		}
	}
}

// What is given up takes its connection along, and what idles for long is not counted on.
func TestIdleConnectionsCountWhileTheyLast(t *testing.T) {
	g, r := largeFleet(t)
	g.settings.ConnectionIdleTimeout = 10
	sendUnlimited(g, 100, "a", "read")
	s := g.endpoints[r.ofKind("send", "a")[0].endpoint]
	if g.hasIdleConnection(s) {
		t.Fatal("its one connection is in use")
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "a", Endpoint: s.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
	if !g.hasIdleConnection(s) {
		t.Fatal("the connection is free again")
	}
	if g.clock.now = 100.1 + 10; g.hasIdleConnection(s) {
		t.Fatal("the server may have closed it")
	}
	g.clock.now = 100.2
	req := &request{Request: Request{ID: "b"}, class: g.classes.byName["read"]}
	g.requests.byID["b"] = req
	g.startAttempt(req, s)
	g.HandleOutcome(100.5, Outcome{RequestID: "b", Endpoint: s.ID, Status: Timeout, RequestDone: true, Elapsed: 0.3})
	if g.hasIdleConnection(s) {
		t.Fatal("the connection went with what was given up on it")
	}
}
