package policy

import (
	"fmt"
	"testing"
)

func TestWarmingEndpointKeepsToItsFractionOverAnyWindow(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	at := func(id string) string { s := r.ofKind("send", id); return s[len(s)-1].endpoint }
	step := func(i int, now float64) string {
		id := fmt.Sprint("q", i)
		sendRequest(g, now, id, "read", "wide", 1)
		s := at(id)
		g.HandleOutcome(now+0.01, Outcome{RequestID: id, Endpoint: s, Status: OK, RequestDone: true, Elapsed: 0.1})
		g.HandleTimer(now+0.01, 1)
		return s
	}
	for i := range 300 {
		step(i, 100+float64(i)*0.02)
	}
	g.HandleEndpoints(106, []Endpoint{{ID: "s1", Zone: "a", Cell: 1, StartedAt: 105.9}}, false)
	cold, warm := 0, 0
	for i := range 50 {
		if step(1000+i, 106+float64(i)*0.02) == "s1" {
			cold++
		} else {
			warm++
		}
	}
	if cold > warm/2 {
		t.Fatalf("a cold server got %d sends, two warm ones %d", cold, warm)
	}
}

// Guards against a standstill in a release: with every server replaced by a cold one nothing was sent
// to warm ones any more, so that the share of it that a cold one may have went to nothing.
func TestWarmingEndpointsAloneCarryTheLoad(t *testing.T) {
	g, r := newTestGateway(t, singleGateway)
	list := func(now float64, name string) {
		var all []Endpoint
		for i := range 8 {
			all = append(all, Endpoint{ID: fmt.Sprint(name, i), Zone: "a", StartedAt: now})
		}
		g.HandleEndpoints(now, all, true)
	}
	due := map[int][]action{} // by the step at which the answer comes, 0.1 s after the send
	seen := 0
	sent := func(from, until float64) (n int) {
		for i := int(from * 50); i < int(until*50); i++ {
			now := float64(i) / 50
			sendRequest(g, now, fmt.Sprint("q", i), "read", "wide", 1)
			for _, a := range due[i] {
				g.HandleOutcome(now, Outcome{RequestID: a.id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
			}
			g.HandleTimer(now, 1)
			for all := r.ofKind("send", ""); seen < len(all); seen++ {
				n++
				due[i+5] = append(due[i+5], all[seen])
			}
		}
		return n
	}
	list(50, "old") // long warm by now
	if n := sent(100, 106); n < 290 {
		t.Fatalf("%d of 300 sent to warm servers", n)
	}
	list(106, "new")
	if n := sent(106, 111); n < 240 {
		t.Errorf("%d of 250 sent while all servers were cold", n)
	}
}

// Warm servers drowned while cold ones, that had half of their capacity by then, idled: what a cold one got
// went with the square of the requests that a gateway sees.
func TestWarmingEndpointsGetTheirShareFromEveryGateway(t *testing.T) {
	for _, perS := range []int{10, 50} {
		g, r := largeFleet(t)
		list := largeFleetEndpoints()
		for i := range 30 {
			list[i].StartedAt = 100 // cold from now on
		}
		g.HandleEndpoints(100, list, true)
		cold, all := 0, 0
		share := 0.0
		// Around the age at which they have some 0.6 of their capacity, over and over.
		for round := range 2000 / perS {
			for i := range perS {
				now := 105 + float64(i)/float64(perS)
				id := fmt.Sprint(round, "-", i)
				g.clock.now = now
				g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
				sendUnlimited(g, now, id)
				sent := r.ofKind("send", id)
				if len(sent) != 1 {
					t.Fatalf("request %s was not sent", id)
				}
				s := g.endpoints.byID[sent[0].endpoint]
				if all++; s.StartedAt > 0 {
					cold++
				}
				share = g.slowStart.warmUpFraction(g.endpoints.byID["s00"])
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: s.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
				r.actions = nil
			}
		}
		part := 30 * share / (30*share + 30)
		if got := float64(cold) / float64(all); got < 0.4*part || got > 0.9*part {
			t.Errorf("at %v requests a second cold servers get %.3f of all, with %.3f of the capacity", perS, got, part)
		}
	}
}

// A server that has just started gets less than its part, as chance alone could push it over.
func TestColdestEndpointsGetLeast(t *testing.T) {
	count := func(class string, age float64) (n int) {
		g, _ := largeFleet(t)
		list := largeFleetEndpoints()
		list[0].StartedAt = 100 - age
		g.HandleEndpoints(100, list, true)
		g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
		g.slowStart.completedWork = 1e9 // all that was offered
		for range 60000 {
			req := &request{class: g.classes.byName[class]}
			g.slowStart.accrueCredits(req, g.endpoints.listed)
			if s := g.picker.pickWarming(req); s != nil {
				g.slowStart.spendCredit(s, req.class) // as when it is sent
				n++
			}
		}
		return n
	}
	if young, old := float64(count("read", 0.5))/0.24, float64(count("read", 8))/0.84; young > 0.6*old || young == 0 {
		t.Errorf("for its capacity a young server gets %.0f, an older one %.0f", young, old)
	}
	if young, old := count("pay", 0.5), count("pay", 8); young > 0 || old == 0 {
		t.Errorf("of what must not run twice a young server gets %d, an older one %d", young, old)
	}
}
