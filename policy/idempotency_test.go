package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against work that may run only once and is sent again: each further attempt of a keyed request
// carries the end of its key's window, as it may wait for a connection until after it. The window counts
// from the first attempt that may have run, and one that never ran opens none.
func TestRetriesCarryTheEndOfTheIdempotencyWindow(t *testing.T) {
	const ttl = 2.0
	left := func(now, first float64) float64 { return first + ttl - clockUncertainty - now }
	for name, tc := range map[string]struct {
		class  string
		events func(g *Gateway)
		want   []float64
	}{
		"after a reset": {"put", func(g *Gateway) {
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, left(100.3, 100)}},
		"after one that never ran and one that may have": {"put", func(g *Gateway) {
			g.HandleOutcome(100.2, Outcome{RequestID: "k", Attempt: 0, Status: ConnectFailed})
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 1, Status: Error})
		}, []float64{0, 0, left(100.3, 100.2)}},
		"beside one that is out": {"put", func(g *Gateway) {
			for i := range 13 { // in doubt from four mean latencies on
				g.HandleTimer(100+0.05*float64(i+1), 1)
			}
		}, []float64{0, left(100.65, 100)}},
		"safe work": {"read", func(g *Gateway) {
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			g, r := newTestGateway(t, singleGateway)
			g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a"}}, true)
			sendRequest(g, 100, "k", tc.class, "wide", 1)
			tc.events(g)
			sends := r.ofKind("send", "k")
			if len(sends) != len(tc.want) {
				t.Fatalf("%d sends, want %d", len(sends), len(tc.want))
			}
			for i, want := range tc.want {
				if got := sends[i].writeWithin; got < want-1e-9 || got > want+1e-9 {
					t.Errorf("send %d is to be written within %v, want %v", i, got, want)
				}
			}
		})
	}
}

// Guards against work that is sent again to servers that know nothing of its first send: a list may change
// the group of the server that may have run it, and what counts is where that one stood then. Nothing tells
// whether its memory went along, so where it stands now counts as well.
func TestEndpointListThatChangesGroupsMovesNoRepeat(t *testing.T) {
	for name, moved := range map[string]Endpoint{
		"to another zone": {ID: "s1", Zone: "b", Cell: 1},
		"to another cell": {ID: "s1", Zone: "a", Cell: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, r := newTestGateway(t, singleGateway)
			g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", Cell: 1}}, true)
			sendRequest(g, 100, "k", "cell", "wide", 1)
			g.HandleEndpoints(100.1, []Endpoint{moved, {ID: "s2", Zone: "a", Cell: 1}, {ID: "s3", Zone: moved.Zone, Cell: moved.Cell}}, true)
			g.HandleOutcome(100.2, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
			for now := 100.22; now < 102; now += timerInterval {
				g.HandleTimer(now, 1)
			}
			if sends := r.ofKind("send", "k"); len(sends) != 1 {
				t.Errorf("sent again to %s", sends[1].endpoint)
			}
			if len(r.ofKind("fail", "k")) != 1 {
				t.Error("no failure was told")
			}
		})
	}
}

// Guards the rule on repeats over all effects, scopes and windows: whatever becomes of the attempts and
// however late they are written, none goes out that could run work again, nor a refusal behind one.
func TestNothingExecutesTwice(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		ttl := []float64{0.02, clockUncertainty, 0.1, 0.3, 1, 3}[rng.IntN(6)]
		g, r := newTestGateway(t, func(s *Settings) {
			s.GatewayCount, s.MaxAttempts, s.Hedging = 1, 2+rng.IntN(6), rng.IntN(2) == 0
			s.Classes = nil
			for _, c := range []Class{{Name: "all", DedupScope: DedupFleet}, {Name: "zone", DedupScope: DedupZone}, {Name: "cell", DedupScope: DedupCell}, {Name: "unsafe", Idempotency: NonIdempotent}} {
				c.LatencyObjective, c.Timeout, c.PriorityWeight, c.LateWeightFraction, c.IdempotencyWindow = 2, 4, 1, 0.5, ttl
				if c.Idempotency != NonIdempotent {
					c.Idempotency = IdempotencyKey
				}
				s.Classes = append(s.Classes, c)
			}
		})
		groups := map[string]dedupGroup{}
		list := func(now float64) {
			var l []Endpoint
			for i := range 8 {
				s := Endpoint{ID: fmt.Sprint("s", i), Zone: string(rune('a' + rng.IntN(2))), Cell: rng.IntN(3), State: EndpointState(rng.IntN(8) / 7)}
				groups[s.ID] = dedupGroup{s.Zone, s.Cell}
				l = append(l, s)
			}
			g.HandleEndpoints(now, l, true)
		}
		list(100)
		class := g.settings.Classes[rng.IntN(4)]
		sendRequest(g, 100, "k", class.Name, "wide", 1)
		var made []*recordedAttempt
		seen := 0
		for now := 100.0; now < 104.5; now += 0.02 {
			for ; seen < len(r.actions); seen++ {
				a := r.actions[seen]
				switch a.kind {
				case "send":
					s := &recordedAttempt{server: a.endpoint, in: groups[a.endpoint], at: now + rng.Float64()*0.5}
					if rng.IntN(2) == 0 {
						s.at = now
					}
					if a.writeWithin > 0 && s.at > now+a.writeWithin {
						s.status, s.done = NotSent, true // as the sockets have it
						g.HandleOutcome(now, Outcome{RequestID: "k", Attempt: len(made), Status: NotSent})
					}
					for _, e := range made {
						ran := !e.done || e.status != Rejected && e.status != ConnectFailed && e.status != NotSent
						if !ran || s.done {
							continue
						}
						if class.Idempotency == NonIdempotent || !sameDedupGroup(class.DedupScope, e.in, s.in) || s.at > e.at+ttl {
							t.Fatalf("seed %d: %+v is sent behind %+v, class %s, window %v", seed, s, e, class.Name, ttl)
						}
						break // the window counts from the first that may have run
					}
					made = append(made, s)
				case "reject":
					for _, e := range made {
						ran := !e.done || e.status != Rejected && e.status != ConnectFailed && e.status != NotSent
						if ran && (class.Idempotency == NonIdempotent || class.DedupScope != DedupFleet) {
							t.Fatalf("seed %d: refused behind %+v, class %s", seed, e, class.Name)
						}
					}
				case "cancel":
					if e := made[a.attempt]; !e.done {
						e.status, e.done = Cancelled, true
						g.HandleOutcome(now, Outcome{RequestID: "k", Attempt: a.attempt, Status: Cancelled})
					}
				}
			}
			if rng.IntN(20) == 0 {
				list(now)
			}
			for i, e := range made {
				if !e.done && now >= e.at && rng.IntN(10) == 0 {
					e.status, e.done = AttemptStatus(1+rng.IntN(6)), true // anything but served
					g.HandleOutcome(now, Outcome{RequestID: "k", Attempt: i, Status: e.status, Elapsed: now - e.at})
				}
			}
			g.HandleTimer(now, 1)
		}
		if n := len(r.ofKind("reject", "k")) + len(r.ofKind("fail", "k")); n != 1 {
			t.Errorf("seed %d: %d final answers", seed, n)
		}
	}
}
