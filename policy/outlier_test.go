package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// TestRejectingOrBrokenEndpointsAreEjected checks that only a few attempts are sent to an endpoint that
// rejects all attempts, or refuses or loses all connections. Such an endpoint is ejected, and gets another
// attempt only after the ejection period.
func TestRejectingOrBrokenEndpointsAreEjected(t *testing.T) {
	const maxSent = 24
	for _, status := range []AttemptStatus{Rejected, Reset, ConnectFailed} {
		g, r := newTestGateway(t, withSingleGateway)
		sent := map[string]int{}
		for i := range 400 {
			now := 100 + float64(i)*0.02
			id := fmt.Sprint("q", i)
			sendRequest(g, now, id, "read", "wide", 1)
			for n := 0; ; n++ {
				list := r.ofKind("send", id)
				if len(list) == n {
					break
				}
				e := list[n].endpoint
				sent[e]++
				o := Outcome{RequestID: id, Endpoint: e, Attempt: n, Status: OK, RequestDone: true, Elapsed: 0.1}
				if e == "s1" {
					o.Status, o.RequestDone = status, false
				}
				g.HandleOutcome(now, o)
			}
			g.HandleTimer(now, 1)
		}
		if sent["s1"] < 1 || sent["s1"] > maxSent || sent["s2"] < 100 {
			t.Errorf("all attempts at s1 end with %v: attempts by endpoint are %v, want 1 to 24 at s1 and at least 100 at s2", status, sent)
		}
	}
}

// A single lost connection may not be the endpoint's fault, so the endpoint is ejected only after two in a
// row.
func TestTwoConsecutiveConnectionFailuresEject(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a"}}, true)
	sendRequest(g, 100, "a", "pay", "wide", 1)
	g.HandleOutcome(100.1, Outcome{RequestID: "a", Endpoint: "s1", Status: Reset})
	if sendRequest(g, 100.2, "b", "pay", "wide", 1); len(r.ofKind("send", "b")) != 1 {
		t.Error("the endpoint is ejected after one lost connection")
	}
	g.HandleOutcome(100.3, Outcome{RequestID: "b", Endpoint: "s1", Status: Reset})
	if sendRequest(g, 100.4, "c", "pay", "wide", 1); len(r.ofKind("send", "c")) != 0 {
		t.Error("the endpoint is not ejected after two lost connections in a row")
	}
}

// An endpoint may stop replying to one class while it serves the others. New attempts of that class must
// avoid it, and the other classes must still use it.
func TestOutlierForOneClassServesTheOthers(t *testing.T) {
	g, r := newTestGateway(t, withSingleGateway)
	for _, requestClass := range g.classes.ordered {
		requestClass.meanLatency, requestClass.successes = 0.05, 100
	}
	outlier := g.endpoints.byID["s1"]
	sendRequest(g, 100, "q", "read", "wide", 1)
	r.actions = nil
	g.requests.byID["q"].attempts[0].endpoint = outlier
	for now := 100.02; now < 100.5; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if score := g.outliers.score(outlier, g.classes.byName["read"].index); score < 0.9 {
		t.Fatalf("the score for the class without replies is %.2f, want at least 0.9", score)
	}
	if score := g.outliers.score(outlier, g.classes.byName["pay"].index); score > 0 {
		t.Fatalf("the score for another class is %.2f, want 0", score)
	}
	if a := r.ofKind("send", "q"); len(a) != 1 || a[0].endpoint == "s1" {
		t.Fatalf("the attempt without a reply was not hedged at another endpoint: %v", a)
	}
	pays := 0
	for i := range 40 {
		for _, class := range []string{"read", "pay"} {
			id := fmt.Sprint(class, i)
			sendRequest(g, 100.5, id, class, "wide", 1)
			at := r.ofKind("send", id)[0].endpoint
			if g.HandleOutcome(100.5, Outcome{RequestID: id, Status: OK, RequestDone: true, Elapsed: 0.05}); at == "s1" && class == "read" {
				t.Fatal("a request was sent to an outlier for its class")
			} else if at == "s1" {
				pays++
			}
		}
	}
	if pays == 0 {
		t.Fatal("an outlier for one class gets no requests of other classes")
	}
}

// TestLargeFleetScoresByAttemptWeight checks that in a large fleet a single timeout does not raise the
// score to suspectScore, and a single success does not reset it. If one timeout raised it that far, gossip
// could make all gateways leave the endpoint at once and overload the others.
func TestLargeFleetScoresByAttemptWeight(t *testing.T) {
	g, _ := newLargeFleetGateway(t)
	requestClass, e := g.classes.byName["read"], g.endpoints.byID["s00"]
	attempt := func(now Seconds, id string, status AttemptStatus) {
		req := &request{Request: Request{ID: id}, class: requestClass}
		g.requests.byID[id] = req
		g.clock.now = now
		g.sender.start(req, e)
		g.HandleOutcome(now+0.1, Outcome{RequestID: id, Endpoint: "s00", Status: status, RequestDone: true, Elapsed: 0.1})
	}
	attempt(100, "a", Timeout)
	if score := g.outliers.score(e, requestClass.index); score <= 0 || score >= suspectScore {
		t.Fatalf("the score is %.2f after one timeout, want a score above 0 and below suspectScore", score)
	}
	for i := range 12 {
		attempt(100.2+float64(i)*0.1, fmt.Sprint("b", i), Timeout)
	}
	high := g.outliers.score(e, requestClass.index)
	if high < 0.8 {
		t.Fatalf("the score is %.2f after thirteen timeouts, want at least 0.8", high)
	}
	g.gossip.updates = nil
	attempt(101.5, "c", OK)
	if score := g.outliers.score(e, requestClass.index); score >= high || score < suspectScore {
		t.Fatalf("one reply lowers the score from %.2f to %.2f, want a lower score of at least suspectScore", high, score)
	}
	if len(g.gossip.updates) != 1 || g.gossip.updates[0].value >= high {
		t.Fatalf("the lower score is not published: %v", g.gossip.updates)
	}
}

// A gateway of a small fleet has enough traffic to judge an endpoint, so one success resets the score.
func TestSmallFleetTrustsOneReply(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	requestClass, e := g.classes.byName["read"], g.endpoints.byID["s1"]
	g.outliers.recordFailure(e, requestClass.index, errorSeverity)
	g.outliers.recordSuccess(e, requestClass.index)
	if score := g.outliers.score(e, requestClass.index); score != 0 {
		t.Fatalf("the score is %.2f after a reply, want 0", score)
	}
}

func newTestDetector(gatewayCount int) (*outlierDetector, *endpoint) {
	clock := &eventClock{now: 100}
	detector := newOutlierDetector(gatewayCount, clock, rand.New(rand.NewPCG(1, 2)), &gossipBuffer{})
	return detector, newEndpoint(1, 2, 0)
}

func TestConsecutiveRejectionsDoubleTheBackoff(t *testing.T) {
	detector, e := newTestDetector(1)
	for _, want := range []Seconds{0.05, 0.1, 0.2, 0.4, 0.8, 0.8} {
		detector.recordOutcome(e, 0, Rejected)
		if got := e.ejectedUntil - detector.clock.now; math.Abs(got-want) > 1e-9 {
			t.Errorf("ejected for %.3f s, want %.3f s", got, want)
		}
	}
	detector.recordOutcome(e, 0, OK)
	detector.clock.now = 101
	detector.recordOutcome(e, 0, Rejected)
	if got := e.ejectedUntil - detector.clock.now; math.Abs(got-minRejectionBackoff) > 1e-9 {
		t.Errorf("ejected for %.3f s after a success, want %.3f s", got, minRejectionBackoff)
	}
}

func TestOutlierScoreByOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		gateways int
		outcomes []AttemptStatus
		want     [2]float64 // by class; the attempts are of class 0
	}{
		"an error":                      {1, []AttemptStatus{Error}, [2]float64{errorSeverity, 0}},
		"two errors in a row":           {1, []AttemptStatus{Error, Error}, [2]float64{0.95, 0}},
		"an error and a success":        {1, []AttemptStatus{Error, OK}, [2]float64{0, 0}},
		"a timeout":                     {1, []AttemptStatus{Timeout}, [2]float64{errorSeverity, 0}},
		"a timeout in a large fleet":    {100, []AttemptStatus{Timeout}, [2]float64{minAttemptWeight, 0}},
		"a lost connection":             {1, []AttemptStatus{Reset}, [2]float64{0.1, 0.1}},
		"two lost connections in a row": {1, []AttemptStatus{Reset, ConnectFailed}, [2]float64{0.55, 0.55}},
		"a rejection":                   {1, []AttemptStatus{Rejected}, [2]float64{0, 0}},
		"cancelled or unsent":           {1, []AttemptStatus{Cancelled, NotSent}, [2]float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			detector, e := newTestDetector(tc.gateways)
			for _, status := range tc.outcomes {
				detector.recordOutcome(e, 0, status)
			}
			for class, want := range tc.want {
				if got := detector.score(e, class); math.Abs(got-want) > 1e-9 {
					t.Errorf("the score for class %d is %.3f, want %.3f", class, got, want)
				}
			}
		})
	}
}
