package policy

import (
	"testing"
)

// Guards against work that may run only once and is sent again: each further attempt of a keyed request
// carries the end of its key's window, as it may wait for a connection until after it. The window counts
// from the first attempt that may have run, and one that never ran opens none.
func TestFurtherAttemptsCarryTheEndOfTheKeysWindow(t *testing.T) {
	const ttl = 2.0
	left := func(now, first float64) float64 { return first + ttl - lagS - now }
	for name, tc := range map[string]struct {
		class  string
		events func(g *Gateway)
		want   []float64
	}{
		"after a reset": {"put", func(g *Gateway) {
			g.Outcome(100.3, Outcome{ID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, left(100.3, 100)}},
		"after one that never ran and one that may have": {"put", func(g *Gateway) {
			g.Outcome(100.2, Outcome{ID: "k", Attempt: 0, Status: ConnectFailed})
			g.Outcome(100.3, Outcome{ID: "k", Attempt: 1, Status: Error})
		}, []float64{0, 0, left(100.3, 100.2)}},
		"beside one that is out": {"put", func(g *Gateway) {
			for i := range 13 { // in doubt from four mean latencies on
				g.Timer(100+0.05*float64(i+1), 1)
			}
		}, []float64{0, left(100.65, 100)}},
		"safe work": {"read", func(g *Gateway) {
			g.Outcome(100.3, Outcome{ID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			g, r := gateway(t, alone)
			g.Servers(100, []Server{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a"}}, true)
			ask(g, 100, "k", tc.class, "wide", 1)
			tc.events(g)
			sends := r.of("send", "k")
			if len(sends) != len(tc.want) {
				t.Fatalf("%d sends, want %d", len(sends), len(tc.want))
			}
			for i, want := range tc.want {
				if got := sends[i].whole; got < want-1e-9 || got > want+1e-9 {
					t.Errorf("send %d is to be written within %v, want %v", i, got, want)
				}
			}
		})
	}
}
