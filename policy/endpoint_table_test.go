package policy

import (
	"fmt"
	"slices"
	"testing"
)

func TestDrainingEndpointsGetNoQueuedRequests(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for i := range 200 {
		sendRequest(g, 100, fmt.Sprint("q", i), "read", "wide", 1)
	}
	if len(g.dispatcher.queue.requests) == 0 {
		t.Fatal("no request is queued, want some")
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
				t.Fatalf("sent to %s, which is draining or removed", a.endpoint)
			}
		}
	}
	if later == 0 {
		t.Fatal("no queued request was sent to the remaining endpoint")
	}
}

func newTestTable(list ...Endpoint) *endpointTable {
	table := newEndpointTable(2, func(uint16) float64 { return 0.5 })
	table.apply(list, true)
	return table
}

func listedIDs(table *endpointTable) (ids []string) {
	for _, e := range table.listed {
		ids = append(ids, e.ID)
	}
	return ids
}

func TestEndpointListUpdates(t *testing.T) {
	for name, tc := range map[string]struct {
		update   []Endpoint
		complete bool
		want     []string
	}{
		"a change keeps the others":      {[]Endpoint{{ID: "a", State: Draining}}, false, []string{"a", "b"}},
		"a removal":                      {[]Endpoint{{ID: "a", State: Removed}}, false, []string{"b"}},
		"a new one":                      {[]Endpoint{{ID: "aa"}}, false, []string{"a", "aa", "b"}},
		"a complete list drops the rest": {[]Endpoint{{ID: "c"}, {ID: "b"}}, true, []string{"b", "c"}},
		"a complete list of none":        {nil, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable(Endpoint{ID: "b"}, Endpoint{ID: "a"})
			table.apply(tc.update, tc.complete)
			if got := listedIDs(table); !slices.Equal(got, tc.want) {
				t.Errorf("listed endpoints are %v, want %v", got, tc.want)
			}
		})
	}
}

func TestRestartResetsTheEndpoint(t *testing.T) {
	table := newTestTable(Endpoint{ID: "a", StartedAt: 50}, Endpoint{ID: "b", StartedAt: 50})
	for _, e := range table.byID {
		e.ejectedUntil, e.openConnections, e.slowStartCredit = 200, 3, 0
		e.outlierScores[1] = outlierScore{1, 100}
		e.consecutiveErrors[1] = 2
	}
	table.apply([]Endpoint{{ID: "a", StartedAt: 100}, {ID: "b", StartedAt: 50}}, true)
	restarted, kept := table.byID["a"], table.byID["b"]
	if !restarted.available(100) || restarted.openConnections != 0 || restarted.slowStartCredit != 0.5 ||
		restarted.outlierScores[1] != (outlierScore{}) || restarted.consecutiveErrors[1] != 0 {
		t.Errorf("a restarted endpoint kept old state: %+v", restarted)
	}
	if kept.available(100) || kept.openConnections != 3 || kept.consecutiveErrors[1] != 2 {
		t.Errorf("an endpoint that did not restart lost its state: %+v", kept)
	}
}

func TestRemovedEndpointsAreEvictedOnceIdle(t *testing.T) {
	table := newTestTable(Endpoint{ID: "idle"}, Endpoint{ID: "busy"}, Endpoint{ID: "listed"})
	table.byID["busy"].startAttempt(100, 30)
	table.apply([]Endpoint{{ID: "listed"}}, true)
	table.evictRemoved()
	if len(table.byID) != 2 || table.byID["idle"] != nil || len(table.byHash) != 2 {
		t.Fatalf("kept endpoints are %v, want busy and listed", table.byID)
	}
	table.byID["busy"].endAttempt(true)
	if table.evictRemoved(); len(table.byID) != 1 || table.byID["listed"] == nil || len(table.byHash) != 1 {
		t.Fatalf("kept endpoints are %v, want listed", table.byID)
	}
}

// Health updates identify an endpoint by its hash. If two endpoints share a hash, an update must not be
// applied to the wrong one.
func TestEndpointsWithTheSameHashAreNotIndexed(t *testing.T) {
	table := newTestTable(Endpoint{ID: "a"}, Endpoint{ID: "b"})
	table.byID["b"].hash = table.byID["a"].hash
	table.indexByHash(table.byID["b"])
	if e := table.byHash[table.byID["a"].hash]; e != nil {
		t.Fatalf("byHash returns %s although two endpoints share its hash", e.ID)
	}
}

func TestMeanUtilizationCountsRecentReportsOnly(t *testing.T) {
	table := newTestTable(Endpoint{ID: "a"}, Endpoint{ID: "b"}, Endpoint{ID: "c"})
	if _, known := table.meanUtilization(100); known {
		t.Error("a utilization is known before any report")
	}
	table.byID["a"].setUtilization(0.2, 99)
	table.byID["b"].setUtilization(0.6, 100)
	table.byID["c"].setUtilization(1, 100-loadReportExpiry)
	if mean, known := table.meanUtilization(100); !known || mean != 0.4 {
		t.Errorf("the mean is %v, known %t, want 0.4", mean, known)
	}
}
