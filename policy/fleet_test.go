package policy

import (
	"fmt"
	"testing"
)

// What many gateways do that is harmless alone.

// large returns one gateway of a fleet of 80, with 60 servers in three zones of four cells each.
func large(t *testing.T) (*Gateway, *recorder) {
	t.Helper()
	s, r := testSettings(), &recorder{}
	s.GatewayCount = 80
	g, err := New(s, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.HandleEndpoints(100, manyServers(60), true)
	return g, r
}

func manyServers(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	return list
}

// at has a request come that no quota holds.
func at(g *Gateway, now float64, id, class string) {
	g.HandleRequest(now, Request{ID: id, Class: class, Deadline: now + g.classes[class].Timeout, GatewayCount: 1, Units: 1})
}

// A limit of two attempts made requests of a small cluster wait while most of the fleet idled.
func TestFewRequestsAtOnceDoNotWaitForAPartOfTheLimit(t *testing.T) {
	g, r := large(t)
	if g.concurrencyLimit >= 3 {
		t.Fatalf("the part of the limit is %.2f: the test needs one under what comes", g.concurrencyLimit)
	}
	g.latencyRatio = 2 * highLatencyRatio // while answers are slow as well
	for i := range 5 {
		at(g, 100, fmt.Sprint("q", i), "read")
	}
	if n := len(r.of("send", "")); n != 5 {
		t.Fatalf("%d of 5 sent at once", n)
	}
	for i := range 60 {
		at(g, 100, fmt.Sprint("more", i), "read")
	}
	if n := len(r.of("send", "")); n > 15 {
		t.Fatalf("%d attempts out: nothing bounds a gateway any more", n)
	}
}

// Where a gateway sees a good part of all requests its limit stays what it was.
func TestFewGatewaysKeepToTheirLimit(t *testing.T) {
	g, r := gateway(t, nil)
	g.latencyRatio = 2 * highLatencyRatio
	for i := range 60 {
		at(g, 100, fmt.Sprint("q", i), "read")
	}
	if n := len(r.of("send", "")); float64(n) > g.concurrencyLimit {
		t.Fatalf("%d attempts out over a limit of %.2f", n, g.concurrencyLimit)
	}
}

// A refusal for want of a slot sent clients away for a second, past the aims of most classes.
func TestWhatWaitsForASlotIsBoundedAndEndsWithItsAim(t *testing.T) {
	g, r := gateway(t, alone)
	for i := range 6 {
		ask(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	if sent, refused := len(r.of("send", "")), len(r.of("refuse", "")); sent != 2 || refused != 2 {
		t.Fatalf("with two slots %d sent and %d refused of 6, want 2 and 2: two may wait", sent, refused)
	}
	end := 0.0
	for now := 100.0; now < 102; now += timerInterval {
		g.HandleTimer(now, 1)
		if end == 0 && len(r.of("refuse", "")) == 4 {
			end = now
		}
	}
	if aim := 101.0; end == 0 || end > aim {
		t.Fatalf("what waited was refused at %.2f, want an answer as soon as its aim at %.0f is lost", end, aim)
	}
}

// A dearer request takes the place of a cheaper one that waits, which is answered at once.
func TestDearestWaitForASlot(t *testing.T) {
	g, r := gateway(t, alone)
	for i := range 4 {
		ask(g, 100, fmt.Sprint("q", i), "read", "open", 1)
	}
	ask(g, 100, "dear", "pay", "open", 1)
	if len(r.of("refuse", "q3")) != 1 || len(r.of("refuse", "")) != 1 {
		t.Fatalf("want the last cheap one refused, got %v", r.acts)
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "q0", Endpoint: r.of("send", "q0")[0].server, Status: OK, RequestDone: true, Elapsed: 0.1})
	if len(r.of("send", "dear")) != 1 {
		t.Fatal("the dearest does not go first")
	}
}

// asMemberOfParallel is asMember of a plan with two slots.
func asMemberOfParallel(t *testing.T) (*Gateway, *recorder, func(now float64, id string, units float64) *customer) {
	t.Helper()
	return asMember(t, func(s *Settings) { s.GatewayCount, s.Plans[0].MaxConcurrent = 100, 2 })
}

// Members kept the end of an attempt to themselves until the next batch, while others waited for the slot.
func TestFreeSlotIsToldAtOnce(t *testing.T) {
	g, r, send := asMemberOfParallel(t)
	c := send(100, "q", 1)
	from, b := verdictOf(t, r, 1, func(v *usageRecord) { v.Total++; v.Remaining = 7; v.InFlight = 1 })
	g.HandlePeerMessage(100.03, from, b)
	if len(r.of("send", "q")) != 1 || c.othersInFlight != 1 {
		t.Fatalf("not sent on a grant: %v", r.acts)
	}
	g.HandleTimer(100.06, 1)
	told := len(r.of("tell", ""))
	g.reportTokens = 1 // too few for a report that can wait
	g.HandleOutcome(100.07, Outcome{RequestID: "q", Endpoint: r.of("send", "q")[0].server, Status: OK, RequestDone: true, Elapsed: 0.04})
	g.HandleTimer(100.08, 1)
	if len(r.of("tell", "")) != told+1 {
		t.Fatal("the owner does not hear of the free slot")
	}
}

// A member that is told of no free slot asks again, after a pause, and sends on the grant.
func TestMemberAsksAgainForASlot(t *testing.T) {
	g, r, send := asMemberOfParallel(t)
	send(100, "q", 1)
	from, b := verdictOf(t, r, 1, func(v *usageRecord) { v.Remaining = 7; v.InFlight = 2 })
	g.HandlePeerMessage(100.03, from, b)
	if len(r.of("refuse", "q")) != 0 {
		t.Fatal("refused with room in its quota and time for its aim")
	}
	told := len(r.of("tell", ""))
	now := 100.03
	for ; len(r.of("tell", "")) == told && now < 101; now += timerInterval {
		g.HandleTimer(now, 1)
	}
	if now > 100.3 || now < 100.04 {
		t.Fatalf("asked again at %.2f, want a short pause", now)
	}
	from, b = verdictOf(t, r, 2, func(v *usageRecord) { v.Total++; v.Remaining = 6; v.InFlight = 1 })
	g.HandlePeerMessage(now+0.03, from, b)
	if len(r.of("send", "q")) != 1 {
		t.Fatalf("not sent on the grant: %v", r.acts)
	}
}

// Seldom heard peers were taken for silent whenever two answers were lost by chance, and a stand-in that
// knew nothing of the customer granted for them.
func TestTwoLostAnswersDoNotSilenceAnOwner(t *testing.T) {
	g, r, ask := asMember(t, fleet(100))
	c := ask(100, "q", 2)
	owner := r.of("tell", "")[0].to
	for now := 100.0; now < 100+3*grantTimeout; now += timerInterval / 2 {
		g.HandleTimer(now, 1)
		if tells := r.of("tell", ""); len(tells) == 3 {
			if tells[1].to != owner || tells[2].to != owner || g.owner(c) != owner {
				t.Fatalf("told %v, the owner is %d", tells, owner)
			}
			from, b := verdictOf(t, r, 1, func(v *usageRecord) { v.Total += 2; v.Remaining = 6 })
			g.HandlePeerMessage(now, from, b)
			if len(r.of("send", "q")) != 1 || g.peers[owner].unanswered != 0 {
				t.Fatal("the answer to the third report is not taken")
			}
			return
		}
	}
	t.Fatal("the owner is not asked three times")
}

// One missing answer, told to all, made the whole fleet leave a server for seconds and flood the next.
func TestManyGatewaysLeaveAServerByTheShareItLeavesUnanswered(t *testing.T) {
	g, _ := large(t)
	cls, s := g.classes["read"], g.endpoints["s00"]
	attempt := func(now float64, id string, st AttemptStatus) {
		req := &request{Request: Request{ID: id}, class: cls}
		g.requests[id] = req
		g.now = now
		g.startAttempt(req, s)
		g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: "s00", Status: st, RequestDone: true, Elapsed: 0.1})
	}
	attempt(100, "a", Timeout)
	if x := g.outlierScore(s, cls); x <= 0 || x >= suspectScore {
		t.Fatalf("sickness is %.2f after one attempt without answer: all others would leave too", x)
	}
	for i := range 12 {
		attempt(100.2+float64(i)*0.1, fmt.Sprint("b", i), Timeout)
	}
	high := g.outlierScore(s, cls)
	if high < 0.8 {
		t.Fatalf("sickness is %.2f after thirteen attempts without answer", high)
	}
	g.gossip = nil
	attempt(101.5, "c", OK)
	if x := g.outlierScore(s, cls); x >= high || x < suspectScore {
		t.Fatalf("one answer takes sickness from %.2f to %.2f, want a part of it off", high, x)
	}
	if len(g.gossip) != 1 || g.gossip[0].value >= high {
		t.Fatalf("the others are not told that it serves again: %v", g.gossip)
	}
}

// A few gateways see enough themselves: one answer shows that a server is well.
func TestFewGatewaysTrustOneAnswer(t *testing.T) {
	g, _ := gateway(t, nil)
	cls, s := g.classes["read"], g.endpoints["s1"]
	g.recordFailure(s, cls, errorScore)
	g.recordSuccess(s, cls)
	if x := g.outlierScore(s, cls); x != 0 {
		t.Fatalf("sickness is %.2f after an answer", x)
	}
}

// Each of many gateways met every server in turn, each time by a new connection.
func TestServersWithAConnectionArePreferredByThePriceOfANewOne(t *testing.T) {
	for _, price := range []float64{0, 0.08} {
		s, r := testSettings(), &recorder{}
		s.GatewayCount, s.ConnectionIdleTimeout, s.HandshakeCost = 80, 30, price
		g, err := New(s, 7, 100, r)
		if err != nil {
			t.Fatal(err)
		}
		g.HandleEndpoints(100, manyServers(60), true)
		used := map[string]bool{}
		for i := range 100 {
			now := 100 + float64(i)*0.2
			id := fmt.Sprint("q", i)
			at(g, now, id, "read")
			sent := r.of("send", id)
			if len(sent) != 1 {
				t.Fatalf("request %d was not sent", i)
			}
			used[sent[0].server] = true
			g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: sent[0].server, Status: OK, RequestDone: true, Elapsed: 0.1})
		}
		if n := len(used); price == 0 && n < 40 || price > 0 && (n > 30 || n < 4) {
			t.Errorf("with a price of %v %d of 60 servers were used by 100 requests", price, n)
		}
	}
}

// What is given up takes its connection along, and what idles for long is not counted on.
func TestConnectionsAreCountedOnWhileTheyLast(t *testing.T) {
	g, r := large(t)
	g.settings.ConnectionIdleTimeout = 10
	at(g, 100, "a", "read")
	s := g.endpoints[r.of("send", "a")[0].server]
	if g.hasIdleConnection(s) {
		t.Fatal("its one connection is in use")
	}
	g.HandleOutcome(100.1, Outcome{RequestID: "a", Endpoint: s.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
	if !g.hasIdleConnection(s) {
		t.Fatal("the connection is free again")
	}
	if g.now = 100.1 + 10; g.hasIdleConnection(s) {
		t.Fatal("the server may have closed it")
	}
	g.now = 100.2
	req := &request{Request: Request{ID: "b"}, class: g.classes["read"]}
	g.requests["b"] = req
	g.startAttempt(req, s)
	g.HandleOutcome(100.5, Outcome{RequestID: "b", Endpoint: s.ID, Status: Timeout, RequestDone: true, Elapsed: 0.3})
	if g.hasIdleConnection(s) {
		t.Fatal("the connection went with what was given up on it")
	}
}

// Warm servers drowned while cold ones, that had half of their capacity by then, idled: what a cold one got
// went with the square of the requests that a gateway sees.
func TestColdServersGetTheirPartWhateverAGatewaySees(t *testing.T) {
	for _, perS := range []float64{1, 10} {
		g, r := large(t)
		list := manyServers(60)
		for i := range 30 {
			list[i].StartedAt = 100 // cold from now on
		}
		g.HandleEndpoints(100, list, true)
		cold, all := 0, 0
		share := 0.0
		// Around the age at which they have some 0.6 of their capacity, over and over.
		for round := range 40 {
			for i := range 50 {
				now := 105 + float64(i)/50
				id := fmt.Sprint(round, "-", i)
				g.now = now
				g.admittedWork = perS * g.classes["read"].meanLatency
				g.updateLoadEstimates()
				at(g, now, id, "read")
				sent := r.of("send", id)
				if len(sent) != 1 {
					t.Fatalf("request %s was not sent", id)
				}
				s := g.endpoints[sent[0].server]
				if all++; s.StartedAt > 0 {
					cold++
				}
				share = g.warmUpFraction(g.endpoints["s00"])
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: s.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
				r.acts = nil
			}
		}
		part := 30 * share / (30*share + 30)
		if got := float64(cold) / float64(all); got < 0.4*part || got > 0.9*part {
			t.Errorf("at %v requests a second cold servers get %.3f of all, with %.3f of the capacity", perS, got, part)
		}
	}
}

// A server that has just started gets less than its part, as chance alone could push it over.
func TestColdestServersGetLeast(t *testing.T) {
	count := func(class string, age float64) (n int) {
		g, _ := large(t)
		list := manyServers(60)
		list[0].StartedAt = 100 - age
		g.HandleEndpoints(100, list, true)
		g.updateLoadEstimates()
		g.completedWork = 1e9 // all that was offered
		for range 60000 {
			req := &request{class: g.classes[class]}
			g.accrueCredits(req)
			if s := g.pickWarmingEndpoint(req); s != nil {
				s.slowStartCredit -= g.relativeCost(req) // as when it is sent
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

// Members of a parallel plan sent on news half a second old, in which others had taken the slots.
func TestOldNewsOfSlotsAreNotSplit(t *testing.T) {
	for _, age := range []float64{0.05, 0.3} {
		g, r, send := asMemberOfParallel(t)
		send(100, "first", 1)
		from, b := verdictOf(t, r, 1, func(v *usageRecord) { v.Total++; v.Remaining = 800; v.Demand = 0 })
		g.HandlePeerMessage(100.03, from, b)
		first := r.of("send", "first")
		if len(first) != 1 {
			t.Fatalf("not sent on a grant: %v", r.acts)
		}
		g.HandleOutcome(100.04, Outcome{RequestID: "first", Endpoint: first[0].server, Status: OK, RequestDone: true, Elapsed: 0.01})
		g.HandleTimer(100.03+age, 1)
		send(100.03+age, "next", 1)
		if sent := len(r.of("send", "next")) == 1; sent != (age < slotFreshness) {
			t.Errorf("with news %.2f s old: sent is %v", age, sent)
		}
	}
}

// After half a second in which a gateway itself stood still it sent a copy, while the answer waited in its
// own socket: the copy went out beside the final answer.
func TestOwnGapSendsNoCopy(t *testing.T) {
	wait := func(from, to float64, gap bool) int {
		g, r := large(t)
		at(g, 100, "q", "read")
		for now := 100.0; now < to; now += timerInterval {
			if !gap || now < from {
				g.HandleTimer(now, 1)
			}
		}
		g.HandleTimer(to, 1)
		return len(r.of("send", "q"))
	}
	if n := wait(100.3, 100.75, false); n != 2 {
		t.Fatalf("%d attempts without a gap: the test proves nothing", n)
	}
	if n := wait(100.3, 100.75, true); n != 1 {
		t.Fatalf("%d attempts as the gap ends", n)
	}
}
