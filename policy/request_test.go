package policy

import (
	"slices"
	"testing"
)

func TestLastUsefulReply(t *testing.T) {
	for name, tc := range map[string]struct {
		lateWeightFraction float64
		objectiveAt, want  Seconds
	}{
		"late replies earn nothing":    {0, 101, 101},
		"late replies earn half":       {0.5, 101, 101.5},
		"late replies earn everything": {1, 101, 102},
		"objective at the deadline":    {0.5, 102, 102},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{
				Request: Request{Deadline: 102}, objectiveAt: tc.objectiveAt,
				class: &class{Class: Class{LateWeightFraction: tc.lateWeightFraction}},
			}
			if got := r.lastUsefulReplyAt(); got != tc.want {
				t.Errorf("lastUsefulReplyAt = %v, want %v", got, tc.want)
			}
		})
	}
}

func TestRequestTableDropsEndedRequests(t *testing.T) {
	table := newRequestTable(newExecutedRequests(testSettings(), &eventClock{}))
	requests := map[string]*request{}
	for _, id := range []string{"a", "b", "c", "d"} {
		requests[id] = &request{Request: Request{ID: id}}
		table.add(requests[id])
	}
	requests["b"].done, requests["b"].inFlight = true, 1 // done, with an attempt in flight
	requests["c"].done = true
	table.remove(requests["c"])
	var ids []string
	for _, r := range table.open() {
		ids = append(ids, r.ID)
	}
	if want := []string{"a", "b", "d"}; !slices.Equal(ids, want) {
		t.Errorf("open requests are %q, want %q", ids, want)
	}
	if table.find("c") != nil || table.find("b") != requests["b"] {
		t.Error("find returned a removed request, or did not return one with an attempt in flight")
	}
}
