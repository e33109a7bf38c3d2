package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestEndpointsWithAConnectionArePreferredByHandshakeCost checks that a handshake cost makes a gateway
// prefer endpoints with an idle connection. Without the preference, a gateway of a large fleet spreads its
// attempts over most endpoints, which takes many handshakes.
func TestEndpointsWithAConnectionArePreferredByHandshakeCost(t *testing.T) {
	for _, cost := range []float64{0, 0.08} {
		s, r := testSettings(), &recorder{}
		s.GatewayCount, s.ConnectionIdleTimeout, s.HandshakeCost = 80, 30, cost
		g, err := New(s, 7, 100, r)
		if err != nil {
			t.Fatal(err)
		}
		g.HandleEndpoints(100, largeFleetEndpoints(), true)
		used := map[string]bool{}
		for i := range 100 {
			now := 100 + float64(i)*0.2
			id := fmt.Sprint("q", i)
			sendUnlimited(g, now, id)
			sent := r.ofKind("send", id)
			if len(sent) != 1 {
				t.Fatalf("request %d was not sent", i)
			}
			used[sent[0].endpoint] = true
			g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: sent[0].endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
		}
		if n := len(used); cost == 0 && n < 40 || cost > 0 && (n > 30 || n < 4) {
			t.Errorf("with a handshake cost of %v, 100 requests used %d of 60 endpoints, want at least 40 without the cost and 4 to 30 with it", cost, n)
		}
	}
}

// TestIdleConnectionsCountWhileTheyLast checks that connections in use and closed connections do not count as
// idle. An attempt that times out closes its connection, and an endpoint closes an idle connection after the
// idle timeout.
func TestIdleConnectionsCountWhileTheyLast(t *testing.T) {
	g, r := newLargeFleetGateway(t)
	g.settings.ConnectionIdleTimeout = 10
	sendUnlimited(g, 100, "a")
	e := g.endpoints.byID[r.ofKind("send", "a")[0].endpoint]
	if e.hasIdleConnection(g.clock.now, 10) {
		t.Fatal("a connection in use counts as idle")
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "a", Endpoint: e.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
	if !e.hasIdleConnection(g.clock.now, 10) {
		t.Fatal("the connection does not count as idle after its attempt ended")
	}
	if g.clock.now = 100.1 + 10; e.hasIdleConnection(g.clock.now, 10) {
		t.Fatal("a connection counts as idle after the idle timeout")
	}
	g.clock.now = 100.2
	req := &request{Request: Request{ID: "b"}, class: g.classes.byName["read"]}
	g.requests.byID["b"] = req
	g.sender.start(req, e)
	g.HandleOutcome(100.5, Outcome{RequestID: "b", Endpoint: e.ID, Status: Timeout, RequestDone: true, Elapsed: 0.3})
	if e.hasIdleConnection(g.clock.now, 10) {
		t.Fatal("a connection counts as idle after its attempt timed out")
	}
}

// newTestPicker returns the picker of a single gateway in zone "a", with an endpoint near in zone "a" and an
// endpoint far in zone "b".
func newTestPicker() (picker *endpointPicker, near, far *endpoint) {
	clock := &eventClock{now: 100}
	random := rand.New(rand.NewPCG(1, 2))
	slowStart := newSlowStart(testSettings(), clock)
	table := newTestTable(Endpoint{ID: "near", Zone: "a"}, Endpoint{ID: "far", Zone: "b"})
	limiter := newConcurrencyLimiter(1, clock)
	limiter.resize(0, 2)
	picker = &endpointPicker{
		clock: clock, random: random, endpoints: table, limiter: limiter, slowStart: slowStart,
		outliers:     newOutlierDetector(1, clock, random, &gossipBuffer{}),
		gatewayCount: 1, zone: "a", crossZoneCost: 0.1, idleTimeout: 30,
	}
	return picker, table.byID["near"], table.byID["far"]
}

func TestPickedEndpointByState(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(picker *endpointPicker, near, far *endpoint)
		want   string // "" for no endpoint
	}{
		"the zone of the gateway": {func(*endpointPicker, *endpoint, *endpoint) {}, "near"},
		"draining":                {func(_ *endpointPicker, near, _ *endpoint) { near.State = Draining }, "far"},
		"ejected":                 {func(_ *endpointPicker, near, _ *endpoint) { near.ejectedUntil = 100.1 }, "far"},
		"no longer ejected":       {func(_ *endpointPicker, near, _ *endpoint) { near.ejectedUntil = 100 }, "near"},
		"an outlier": {func(_ *endpointPicker, near, _ *endpoint) {
			near.outlierScores[0] = outlierScore{level: 1, at: 100}
		}, "far"},
		"an outlier of another class": {func(_ *endpointPicker, near, _ *endpoint) {
			near.outlierScores[1] = outlierScore{level: 1, at: 100}
		}, "near"},
		"its share of the limit in flight": {func(_ *endpointPicker, near, _ *endpoint) { near.inFlight = 3 }, "far"},
		"slow":                             {func(_ *endpointPicker, near, _ *endpoint) { near.latencyFactor = 4 }, "far"},
		"warming, without a credit": {func(_ *endpointPicker, near, _ *endpoint) {
			near.StartedAt, near.slowStartCredit = 99, 0
		}, "far"},
		"warming, with a credit": {func(_ *endpointPicker, near, _ *endpoint) {
			near.StartedAt, near.slowStartCredit, near.slowStartCreditAt = 99, 1, 100
		}, "near"},
		"none available": {func(_ *endpointPicker, near, far *endpoint) {
			near.State, far.ejectedUntil = Draining, 101
		}, ""},
		"the limit reached": {func(picker *endpointPicker, _, _ *endpoint) {
			picker.limiter.inFlight = int(picker.limiter.limit)
		}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			picker, near, far := newTestPicker()
			tc.change(picker, near, far)
			got := ""
			if e := picker.pick(&request{class: newClass(testSettings().Classes[0], 0)}); e != nil {
				got = e.ID
			}
			if got != tc.want {
				t.Errorf("picked %q, want %q", got, tc.want)
			}
		})
	}
}
