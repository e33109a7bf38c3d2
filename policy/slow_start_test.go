package policy

import (
	"fmt"
	"math"
	"testing"
)

func TestWarmingEndpointGetsFewerAttemptsThanWarmOnes(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	request := func(number int, now Seconds) (endpoint string) {
		id := fmt.Sprint("q", number)
		sendRequest(g, now, id, "read", "wide", 1)
		sent := r.ofKind("send", id)
		endpoint = sent[len(sent)-1].endpoint
		g.HandleOutcome(now+0.01, Outcome{RequestID: id, Endpoint: endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
		g.HandleTimer(now+0.01, 1)
		return endpoint
	}
	for i := range 300 {
		request(i, 100+float64(i)*0.02)
	}
	g.HandleEndpoints(106, []Endpoint{{ID: "s1", Zone: "a", Cell: 1, StartedAt: 105.9}}, false)
	warming, warm := 0, 0
	for i := range 50 {
		if request(1000+i, 106+float64(i)*0.02) == "s1" {
			warming++
		} else {
			warm++
		}
	}
	if warming > warm/2 {
		t.Fatalf("the warming endpoint got %d attempts and the two warm ones got %d, want at most half as many", warming, warm)
	}
}

// TestWarmingEndpointsServeTheLoadAlone checks that requests are still sent after a rollout has replaced all
// endpoints. With no warm endpoint left, the credits of the warming ones must suffice for the load.
func TestWarmingEndpointsServeTheLoadAlone(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	replaceEndpoints := func(now Seconds, name string) {
		var all []Endpoint
		for i := range 8 {
			all = append(all, Endpoint{ID: fmt.Sprint(name, i), Zone: "a", StartedAt: now})
		}
		g.HandleEndpoints(now, all, true)
	}
	due := map[int][]action{} // attempts by the step at which their reply arrives, 0.1 s after they were sent
	seen := 0
	sendFor := func(from, until Seconds) (sent int) {
		for i := int(from * 50); i < int(until*50); i++ {
			now := float64(i) / 50
			sendRequest(g, now, fmt.Sprint("q", i), "read", "wide", 1)
			for _, a := range due[i] {
				g.HandleOutcome(now, Outcome{RequestID: a.id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
			}
			g.HandleTimer(now, 1)
			for all := r.ofKind("send", ""); seen < len(all); seen++ {
				sent++
				due[i+5] = append(due[i+5], all[seen])
			}
		}
		return sent
	}
	replaceEndpoints(50, "old") // fully warm by 100
	if n := sendFor(100, 106); n < 290 {
		t.Fatalf("%d of 300 requests were sent to warm endpoints, want at least 290", n)
	}
	replaceEndpoints(106, "new")
	if n := sendFor(106, 111); n < 240 {
		t.Errorf("%d of 250 requests were sent while all endpoints were warming, want at least 240", n)
	}
}

// TestWarmingEndpointsGetTheirShareFromEveryGateway checks the fraction of its attempts that a gateway sends
// to warming endpoints, at a low and at a high request rate. If the fraction fell with the request rate,
// gateways with little traffic would leave warming endpoints almost idle.
func TestWarmingEndpointsGetTheirShareFromEveryGateway(t *testing.T) {
	for _, rate := range []int{10, 50} {
		g, r := newLargeFleetGateway(t)
		list := largeFleetEndpoints()
		for i := range 30 {
			list[i].StartedAt = 100 // warming up from now on
		}
		g.HandleEndpoints(100, list, true)
		warming, all := 0, 0
		fraction := 0.0
		// In each round, the warming endpoints age from 5 s to 6 s, and their capacity grows from 0.6 to 0.68 of
		// the capacity of a warm endpoint.
		for round := range 2000 / rate {
			for i := range rate {
				now := 105 + float64(i)/float64(rate)
				id := fmt.Sprint(round, "-", i)
				g.clock.now = now
				g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
				sendUnlimited(g, now, id)
				sent := r.ofKind("send", id)
				if len(sent) != 1 {
					t.Fatalf("request %s was not sent", id)
				}
				e := g.endpoints.byID[sent[0].endpoint]
				if all++; e.StartedAt > 0 {
					warming++
				}
				fraction = g.slowStart.warmUpFraction(g.endpoints.byID["s00"])
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: e.ID, Status: OK, RequestDone: true, Elapsed: 0.1})
				r.actions = nil
			}
		}
		capacityFraction := 30 * fraction / (30*fraction + 30)
		if got := float64(warming) / float64(all); got < 0.4*capacityFraction || got > 0.9*capacityFraction {
			t.Errorf("at %d requests per second, warming endpoints get %.3f of the attempts with %.3f of the capacity, want 0.4 to 0.9 times their fraction of the capacity", rate, got, capacityFraction)
		}
	}
}

// In a large fleet, an endpoint that has just started gets less work in proportion to its capacity than one
// that is almost warm, because random variation could overload it. It gets no non-idempotent requests.
func TestNewlyStartedEndpointsGetAReducedShare(t *testing.T) {
	count := func(class string, age float64) (n int) {
		g, _ := newLargeFleetGateway(t)
		list := largeFleetEndpoints()
		list[0].StartedAt = 100 - age
		g.HandleEndpoints(100, list, true)
		g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
		g.slowStart.completedWork = 1e9 // more than the offered work
		for range 60000 {
			req := &request{class: g.classes.byName[class]}
			g.slowStart.accrueCredits(req, g.endpoints.listed)
			if e := g.picker.pickWarming(req); e != nil {
				g.slowStart.spendCredit(e, req.class) // as attemptSender.send does
				n++
			}
		}
		return n
	}
	if young, old := float64(count("read", 0.5))/0.24, float64(count("read", 8))/0.84; young > 0.6*old || young == 0 {
		t.Errorf("attempts relative to capacity: %.0f at a new endpoint and %.0f at an older one, want some but at most 0.6 times as many", young, old)
	}
	if young, old := count("pay", 0.5), count("pay", 8); young > 0 || old == 0 {
		t.Errorf("non-idempotent attempts: %d at a new endpoint and %d at an older one, want none and some", young, old)
	}
}

func newTestSlowStart(gateways int) *slowStart {
	settings := testSettings()
	settings.GatewayCount = gateways
	return newSlowStart(settings, &eventClock{now: 100})
}

func TestWarmUpFractionGrowsWithAge(t *testing.T) {
	s := newTestSlowStart(1)
	for name, tc := range map[string]struct {
		startedAt Seconds
		want      float64
	}{
		"just started":           {100, 0.2},
		"starts in the future":   {101, 0.2}, // clocks of hosts may differ
		"half-way":               {95, 0.6},
		"at the end":             {90, 1},
		"long ago":               {10, 1},
		"at a time not reported": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := s.warmUpFraction(&endpoint{Endpoint: Endpoint{StartedAt: tc.startedAt}}); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("the fraction is %v, want %v", got, tc.want)
			}
		})
	}
}

// TestInitialCreditsAreSpreadOverTheGateways checks that the initial credits of the gateways are spread
// evenly. With equal credits, all gateways could send to a warming endpoint at the same time.
func TestInitialCreditsAreSpreadOverTheGateways(t *testing.T) {
	const gateways = 100
	var credits [10]int // number of gateways by tenth of a credit
	for self := range gateways {
		s := newTestSlowStart(gateways)
		s.self = self
		credits[int(10*s.initialCredit(4711))]++
	}
	for tenth, count := range credits {
		if count < 8 || count > 12 {
			t.Errorf("%d of 100 gateways have an initial credit in the tenth from 0.%d, want 8 to 12; all tenths: %v", count, tenth, credits)
		}
	}
}

func TestCreditsAccrueOncePerFirstAttempt(t *testing.T) {
	s := newTestSlowStart(1)
	classes := []*class{newClass(testSettings().Classes[0], 0)}
	warming := &endpoint{Endpoint: Endpoint{ID: "w", StartedAt: 95}}
	endpoints := []*endpoint{warming, {Endpoint: Endpoint{ID: "a"}}, {Endpoint: Endpoint{ID: "b"}}}
	s.updateEstimates(classes, endpoints)
	first := &request{class: classes[0]}
	s.accrueCredits(first, endpoints)
	credit := warming.slowStartCredit
	// The credit is 0.6 (warm-up fraction) × 3 (OverloadMultiple) / 3 (endpoints) × 0.5 (minCompletedFraction).
	if math.Abs(credit-0.3) > 1e-9 {
		t.Fatalf("a request adds a credit of %v, want 0.3", credit)
	}
	s.accrueCredits(first, endpoints)
	s.accrueCredits(&request{class: classes[0], likelyRetry: true}, endpoints)
	if warming.slowStartCredit != credit {
		t.Errorf("retries changed the credit from %v to %v", credit, warming.slowStartCredit)
	}
	for range 10 {
		s.accrueCredits(&request{class: classes[0]}, endpoints)
	}
	if warming.slowStartCredit != 1 || !s.creditAvailable(warming) {
		t.Errorf("the credit is %v after 11 requests, want 1", warming.slowStartCredit)
	}
	if s.spendCredit(warming, classes[0]); s.creditAvailable(warming) {
		t.Error("the credit is available after it was spent")
	}
}

// TestUnspentCreditsExpire checks that a credit expires if it is not spent within the overload window.
// If old credits stayed valid, many gateways could spend them at the same time and overload the endpoint.
func TestUnspentCreditsExpire(t *testing.T) {
	s := newTestSlowStart(1)
	classes := []*class{newClass(testSettings().Classes[0], 0)}
	warming := &endpoint{Endpoint: Endpoint{StartedAt: 99}, slowStartCredit: 1, slowStartCreditAt: 100}
	if !s.creditAvailable(warming) {
		t.Fatal("a new credit is not available")
	}
	s.clock.now += s.overloadWindow + 0.1
	if s.creditAvailable(warming) {
		t.Error("a credit is available after the overload window")
	}
	s.accrueCredits(&request{class: classes[0]}, []*endpoint{warming})
	if warming.slowStartCredit >= 1 {
		t.Error("an expired credit is renewed by one request")
	}
}
