package policy

import (
	"fmt"
	"runtime"
	"testing"
)

// TestRepeatedIDIsNotExecutedAgain guards against a request that executes twice because its ID comes again, for instance
// after its client has disconnected.
func TestRepeatedIDIsNotExecutedAgain(t *testing.T) {
	for name, tc := range map[string]struct {
		class      string
		status     AttemptStatus
		disconnect bool
		later      Seconds // time until the ID comes again
		want       int     // attempts
	}{
		"executed":                             {"pay", OK, false, 0.1, 1},
		"executed, client disconnected":        {"pay", OK, true, 0.1, 1},
		"may have executed":                    {"pay", Reset, true, 0.1, 1},
		"not executed":                         {"pay", Rejected, true, 0.1, 2},
		"with a key, known in one cell":        {"cell", OK, true, 0.1, 1},
		"with a key, until it is forgotten":    {"cell", OK, true, 4.1, 2},
		"idempotent":                           {"read", OK, true, 0.1, 2},
		"after the longest timeout and window": {"pay", OK, true, 4.1, 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, r := newTestGateway(t, withSingleGateway)
			sendRequest(g, 100, "a", tc.class, "wide", 1)
			if tc.disconnect {
				g.HandleClientDisconnected(100, "a")
			}
			g.HandleOutcome(100.1, Outcome{RequestID: "a", Status: tc.status, RequestDone: true})
			sendRequest(g, 100.1+tc.later, "a", tc.class, "wide", 1)
			if sends := len(r.ofKind("send", "a")); sends != tc.want {
				t.Errorf("%d attempts were sent, want %d", sends, tc.want)
			}
			if failed := len(r.ofKind("fail", "a")); failed != 2-tc.want {
				t.Errorf("%d requests have failed, want %d", failed, 2-tc.want)
			}
		})
	}
}

// At its limit, the table must forget the requests whose second execution is least harmful first, and of these the oldest.
func TestHarmlessRequestsAreForgottenFirst(t *testing.T) {
	s := testSettings()
	s.MaxExecutedRequests = 3
	clock := &eventClock{now: 100}
	table := newExecutedRequests(s, clock)
	classes := newClassTable(s.Classes)
	record := func(id, class string) {
		r := &request{Request: Request{ID: id}, class: classes.byName[class]}
		r.recordPossibleExecution(&attempt{endpoint: &endpoint{}, sentAt: clock.now})
		table.record(r)
	}
	wantKnown := func(ids ...string) {
		t.Helper()
		known := map[string]bool{}
		for _, id := range ids {
			known[id] = true
		}
		for _, id := range []string{"pay1", "pay2", "cell1", "cell2", "any", "read"} {
			if table.contains(id) != known[id] {
				t.Errorf("%s is known: %v, want %v", id, !known[id], known[id])
			}
		}
	}
	record("read", "read")
	record("pay1", "pay")
	record("any", "any")
	record("cell1", "cell")
	wantKnown("pay1", "any", "cell1")
	record("cell2", "cell")
	wantKnown("pay1", "cell1", "cell2")
	record("pay2", "pay")
	wantKnown("pay1", "cell2", "pay2")
	clock.now += table.period
	wantKnown()
	if len(table.ids) != 0 {
		t.Errorf("%d ids are left", len(table.ids))
	}
}

// The limit is derived from ExecutedRequestMemory, so it must not be less than what a remembered request takes.
func TestExecutedRequestMemoryIsAnUpperBound(t *testing.T) {
	const idLength = 128
	for _, n := range []int{1_000, 3_500, 20_000} {
		s := testSettings()
		s.MaxExecutedRequests = n
		table := newExecutedRequests(s, &eventClock{now: 100})
		r := &request{class: newClassTable(s.Classes).byName["pay"]}
		r.recordPossibleExecution(&attempt{endpoint: &endpoint{}, sentAt: 100})
		before := liveHeap()
		for i := range 3 * n {
			r.ID = fmt.Sprintf("%0*d", idLength, i)
			table.record(r)
		}
		if each := (liveHeap() - before) / n; each > ExecutedRequestMemory {
			t.Errorf("each of %d requests takes %d bytes, want at most %d", n, each, ExecutedRequestMemory)
		}
		runtime.KeepAlive(table)
	}
}
