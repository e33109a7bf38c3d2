package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestRetriesMustBeWrittenWithinTheIdempotencyWindow checks the time within which a retry with an idempotency
// key must be written. The retry may wait for a connection, but endpoints drop it as a duplicate only until
// the end of the idempotency window. The window starts with the first attempt that may have executed.
func TestRetriesMustBeWrittenWithinTheIdempotencyWindow(t *testing.T) {
	const window Seconds = 2 // IdempotencyWindow of class "put"
	remaining := func(now, first Seconds) Seconds { return first + window - clockUncertainty - now }
	for name, tc := range map[string]struct {
		class  string
		events func(g *Gateway)
		want   []float64 // writeWithin of each send; 0 means that there is no limit
	}{
		"after a reset": {"put", func(g *Gateway) {
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, remaining(100.3, 100)}},
		"after a failed connection and an error": {"put", func(g *Gateway) {
			g.HandleOutcome(100.2, Outcome{RequestID: "k", Attempt: 0, Status: ConnectFailed})
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 1, Status: Error})
		}, []float64{0, 0, remaining(100.3, 100.2)}},
		"hedge": {"put", func(g *Gateway) {
			for i := range 13 { // hedged after hedgeLatencyMultiple mean latencies
				g.HandleTimer(100+0.05*float64(i+1), 1)
			}
		}, []float64{0, remaining(100.65, 100)}},
		"idempotent": {"read", func(g *Gateway) {
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
		}, []float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			g, recorded := newTestGateway(t, withSingleGateway)
			g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "a"}, {ID: "s3", Zone: "a"}}, true)
			sendRequest(g, 100, "k", tc.class, "wide", 1)
			tc.events(g)
			sends := recorded.ofKind("send", "k")
			if len(sends) != len(tc.want) {
				t.Fatalf("%d sends, want %d", len(sends), len(tc.want))
			}
			for i, want := range tc.want {
				if got := sends[i].writeWithin; got < want-1e-9 || got > want+1e-9 {
					t.Errorf("send %d has a writeWithin of %v, want %v", i, got, want)
				}
			}
		})
	}
}

// An endpoint list update may move the endpoint of the first attempt to another dedup group. It is unknown
// whether the idempotency keys recorded there move along, so a retry needs an endpoint that belongs to both
// the old group and the new one.
func TestNoRetryOutsideTheDedupGroupAfterAnEndpointMoves(t *testing.T) {
	for name, moved := range map[string]Endpoint{
		"to another zone": {ID: "s1", Zone: "b", Cell: 1},
		"to another cell": {ID: "s1", Zone: "a", Cell: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, recorded := newTestGateway(t, withSingleGateway)
			g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", Cell: 1}}, true)
			sendRequest(g, 100, "k", "cell", "wide", 1)
			g.HandleEndpoints(100.1, []Endpoint{moved, {ID: "s2", Zone: "a", Cell: 1}, {ID: "s3", Zone: moved.Zone, Cell: moved.Cell}}, true)
			g.HandleOutcome(100.2, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
			for now := 100.22; now < 102; now += timerInterval {
				g.HandleTimer(now, 1)
			}
			if sends := recorded.ofKind("send", "k"); len(sends) != 1 {
				t.Errorf("the request was retried at %s, which is not in both dedup groups", sends[1].endpoint)
			}
			if len(recorded.ofKind("fail", "k")) != 1 {
				t.Error("the request did not fail")
			}
		})
	}
}

// TestNoRequestExecutesTwice runs requests of random classes with random outcomes, write delays, idempotency
// windows and endpoint list updates. It checks that no attempt can execute a request a second time. It also
// checks that a request is not rejected if a client retry could execute it a second time.
func TestNoRequestExecutesTwice(t *testing.T) {
	for seed := range uint64(400) {
		newRetryScenario(t, seed).run()
	}
}

// recordedAttempt is an attempt for which the gateway called Send.
type recordedAttempt struct {
	endpoint  string
	group     dedupGroup // when the attempt was sent; the endpoint may move later
	writtenAt Seconds    // time at which the last byte is written
	status    AttemptStatus
	done      bool
}

// end marks the attempt as ended with the status.
func (a *recordedAttempt) end(status AttemptStatus) { a.status, a.done = status, true }

// mayHaveExecuted reports whether the attempt may have executed, or may still do so.
func (a *recordedAttempt) mayHaveExecuted() bool {
	return !a.done || a.status != Rejected && a.status != ConnectFailed && a.status != NotSent
}

// retryScenario runs one request of a random class against endpoints with random list updates and outcomes.
type retryScenario struct {
	t                 *testing.T
	seed              uint64
	rng               *rand.Rand
	idempotencyWindow Seconds
	gateway           *Gateway
	recorder          *recorder
	class             Class
	groups            map[string]dedupGroup // by endpoint, as last listed
	attempts          []*recordedAttempt
	observed          int // number of recorded actions that were processed
}

const retryScenarioRequest = "k"

func newRetryScenario(t *testing.T, seed uint64) *retryScenario {
	t.Helper()
	s := &retryScenario{t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), groups: map[string]dedupGroup{}}
	s.idempotencyWindow = []Seconds{0.02, clockUncertainty, 0.1, 0.3, 1, 3}[s.rng.IntN(6)]
	s.gateway, s.recorder = newTestGateway(t, func(settings *Settings) {
		settings.GatewayCount = 1
		settings.MaxAttempts = 2 + s.rng.IntN(6)
		settings.Hedging = s.rng.IntN(2) == 0
		settings.Classes = retryScenarioClasses(s.idempotencyWindow)
	})
	s.listEndpoints(100)
	s.class = s.gateway.settings.Classes[s.rng.IntN(4)]
	sendRequest(s.gateway, 100, retryScenarioRequest, s.class.Name, "wide", 1)
	return s
}

// retryScenarioClasses returns a class with idempotency keys for each scope, and a non-idempotent class.
func retryScenarioClasses(idempotencyWindow Seconds) []Class {
	classes := []Class{
		{Name: "all", Idempotency: IdempotencyKey, DedupScope: DedupFleet},
		{Name: "zone", Idempotency: IdempotencyKey, DedupScope: DedupZone},
		{Name: "cell", Idempotency: IdempotencyKey, DedupScope: DedupCell},
		{Name: "unsafe", Idempotency: NonIdempotent},
	}
	for i := range classes {
		classes[i].LatencyObjective, classes[i].Timeout = 2, 4
		classes[i].PriorityWeight, classes[i].LateWeightFraction = 1, 0.5
		classes[i].IdempotencyWindow = idempotencyWindow
	}
	return classes
}

// listEndpoints passes the gateway a list of eight endpoints in random groups. Each of them is draining with
// a probability of 1/8.
func (s *retryScenario) listEndpoints(now Seconds) {
	var list []Endpoint
	for i := range 8 {
		entry := Endpoint{
			ID:    fmt.Sprint("s", i),
			Zone:  string(rune('a' + s.rng.IntN(2))),
			Cell:  s.rng.IntN(3),
			State: EndpointState(s.rng.IntN(8) / 7),
		}
		s.groups[entry.ID] = dedupGroup{entry.Zone, entry.Cell}
		list = append(list, entry)
	}
	s.gateway.HandleEndpoints(now, list, true)
}

// run runs the scenario until after the deadline, and checks that the request got one final reply.
func (s *retryScenario) run() {
	s.t.Helper()
	for now := 100.0; now < 104.5; now += 0.02 {
		s.observeActions(now)
		if s.rng.IntN(20) == 0 {
			s.listEndpoints(now)
		}
		s.endSomeAttempts(now)
		s.gateway.HandleTimer(now, 1)
	}
	rejections := s.recorder.ofKind("reject", retryScenarioRequest)
	failures := s.recorder.ofKind("fail", retryScenarioRequest)
	if n := len(rejections) + len(failures); n != 1 {
		s.t.Errorf("seed %d: %d final replies, want 1", s.seed, n)
	}
}

// observeActions carries out the sends and cancellations that the gateway requested since the last call, and
// checks its sends and rejections.
func (s *retryScenario) observeActions(now Seconds) {
	s.t.Helper()
	for ; s.observed < len(s.recorder.actions); s.observed++ {
		switch observed := s.recorder.actions[s.observed]; observed.kind {
		case "send":
			s.observeSend(now, observed)
		case "reject":
			s.checkRejection()
		case "cancel":
			if cancelled := s.attempts[observed.attempt]; !cancelled.done {
				cancelled.end(Cancelled)
				s.gateway.HandleOutcome(now, Outcome{RequestID: retryScenarioRequest, Attempt: observed.attempt, Status: Cancelled})
			}
		}
	}
}

// observeSend writes an attempt at once or after a random delay. An attempt that would be written later than
// its writeWithin allows ends at once with the status NotSent.
func (s *retryScenario) observeSend(now Seconds, send action) {
	s.t.Helper()
	sent := &recordedAttempt{endpoint: send.endpoint, group: s.groups[send.endpoint], writtenAt: now + s.rng.Float64()*0.5}
	if s.rng.IntN(2) == 0 {
		sent.writtenAt = now
	}
	if send.writeWithin > 0 && sent.writtenAt > now+send.writeWithin {
		sent.end(NotSent)
		s.gateway.HandleOutcome(now, Outcome{RequestID: retryScenarioRequest, Attempt: len(s.attempts), Status: NotSent})
	} else {
		s.checkRetry(sent)
	}
	s.attempts = append(s.attempts, sent)
}

// checkRetry fails the test if an attempt could execute the request a second time. The idempotency window
// starts when the first attempt that may have executed is written.
func (s *retryScenario) checkRetry(sent *recordedAttempt) {
	s.t.Helper()
	for _, earlier := range s.attempts {
		if !earlier.mayHaveExecuted() {
			continue
		}
		if s.class.Idempotency == NonIdempotent || !sameDedupGroup(s.class.DedupScope, earlier.group, sent.group) ||
			sent.writtenAt > earlier.writtenAt+s.idempotencyWindow {
			s.t.Fatalf("seed %d: %+v is sent after %+v, class %s, window %v",
				s.seed, sent, earlier, s.class.Name, s.idempotencyWindow)
		}
		return
	}
}

// checkRejection fails the test if the gateway rejects the request although a client retry could execute it a
// second time.
func (s *retryScenario) checkRejection() {
	s.t.Helper()
	for _, earlier := range s.attempts {
		if earlier.mayHaveExecuted() && (s.class.Idempotency == NonIdempotent || s.class.DedupScope != DedupFleet) {
			s.t.Fatalf("seed %d: rejected after %+v, class %s", s.seed, earlier, s.class.Name)
		}
	}
}

// endSomeAttempts ends a random choice of the written attempts in flight, with any status except OK and
// NotSent.
func (s *retryScenario) endSomeAttempts(now Seconds) {
	for i, sent := range s.attempts {
		if !sent.done && now >= sent.writtenAt && s.rng.IntN(10) == 0 {
			sent.end(AttemptStatus(1 + s.rng.IntN(6)))
			s.gateway.HandleOutcome(now, Outcome{RequestID: retryScenarioRequest, Attempt: i, Status: sent.status, Elapsed: now - sent.writtenAt})
		}
	}
}

func TestRetriesWithAKeyStayInDedupScopeAndWindow(t *testing.T) {
	zone := map[string]string{"s1": "a", "s2": "a", "s3": "b"}
	for seed := range 20 {
		g, recorded := newTestGateway(t, withSingleGateway)
		id := fmt.Sprint("k", seed)
		sendRequest(g, 100, id, "put", "wide", 1)
		first := recorded.ofKind("send", id)[0].endpoint
		recorded.actions = nil
		g.HandleOutcome(100.2, Outcome{RequestID: id, Endpoint: first, Status: Reset, Elapsed: 0.2})
		for _, a := range recorded.ofKind("send", id) {
			if zone[a.endpoint] != zone[first] {
				t.Fatalf("the request was retried at %s in another zone, after %s", a.endpoint, first)
			}
		}
	}
	g, recorded := newTestGateway(t, withSingleGateway)
	sendRequest(g, 100, "c", "cell", "wide", 1)
	first := recorded.ofKind("send", "c")[0].endpoint
	g.HandleOutcome(100.2, Outcome{RequestID: "c", Endpoint: first, Status: Error, Elapsed: 0.2})
	for _, a := range recorded.ofKind("send", "c") {
		if a.endpoint != first {
			t.Fatalf("the request was retried at %s in another cell", a.endpoint)
		}
	}
	g, recorded = newTestGateway(t, withSingleGateway)
	sendRequest(g, 100, "t", "any", "wide", 1)
	first = recorded.ofKind("send", "t")[0].endpoint
	g.HandleOutcome(100.6, Outcome{RequestID: "t", Endpoint: first, Status: Error, Elapsed: 0.6})
	if len(recorded.ofKind("send", "t")) != 1 || len(recorded.ofKind("reject", "t")) != 1 {
		t.Fatalf("after the idempotency window: want a rejection and no retry, got %v", recorded.actions)
	}
}

func TestSameDedupGroup(t *testing.T) {
	here := dedupGroup{zone: "a", cell: 1}
	for name, tc := range map[string]struct {
		other             dedupGroup
		fleet, zone, cell bool
	}{
		"the same cell":                      {here, true, true, true},
		"another cell of the zone":           {dedupGroup{"a", 2}, true, true, false},
		"a cell of another zone":             {dedupGroup{"b", 2}, true, false, false},
		"the same cell number, another zone": {dedupGroup{"b", 1}, true, false, false},
		"a zone and cell not listed":         {dedupGroup{}, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			for scope, want := range map[DedupScope]bool{DedupFleet: tc.fleet, DedupZone: tc.zone, DedupCell: tc.cell} {
				if got := sameDedupGroup(scope, here, tc.other); got != want {
					t.Errorf("scope %s: %v, want %v", scope, got, want)
				}
			}
		})
	}
}

// TestClientMayRetry checks that clientMayRetry returns false if a retry by the client could cause a harmful
// second execution. Clients may retry after a rejection, so the gateway must not reject such a request.
func TestClientMayRetry(t *testing.T) {
	inFlight := func(r *request) { r.inFlight = 1 }
	for name, tc := range map[string]struct {
		class  Class
		change func(*request)
		want   bool
	}{
		"nothing sent":                        {Class{Idempotency: NonIdempotent}, func(*request) {}, true},
		"not idempotent, executed":            {Class{Idempotency: NonIdempotent}, executedOnce, false},
		"not idempotent, in flight":           {Class{Idempotency: NonIdempotent}, inFlight, false},
		"idempotent, executed":                {Class{Idempotency: Idempotent}, executedOnce, true},
		"key of all endpoints, executed":      {Class{Idempotency: IdempotencyKey, DedupScope: DedupFleet}, executedOnce, true},
		"key of a zone, executed":             {Class{Idempotency: IdempotencyKey, DedupScope: DedupZone}, executedOnce, false},
		"key of a cell, in flight":            {Class{Idempotency: IdempotencyKey, DedupScope: DedupCell}, inFlight, false},
		"key of a cell, nothing sent":         {Class{Idempotency: IdempotencyKey, DedupScope: DedupCell}, func(*request) {}, true},
		"key of all endpoints, one in flight": {Class{Idempotency: IdempotencyKey, DedupScope: DedupFleet}, inFlight, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &request{class: &class{Class: tc.class}}
			tc.change(r)
			if got := r.clientMayRetry(); got != tc.want {
				t.Errorf("clientMayRetry = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestNoRetryOutsideTheGroupOfTheProcessAtAnAddress guards against a second execution after another process, of another
// dedup group, has taken over the address of an endpoint, and may have received an attempt that was meant for that one.
func TestNoRetryOutsideTheGroupOfTheProcessAtAnAddress(t *testing.T) {
	for name, tc := range map[string]struct {
		startedAt Seconds // of the process that takes over
		cell      int
		before    bool // it is listed before the attempt is sent
		want      int  // attempts
	}{
		"started before the attempt":         {startedAt: 99, cell: 2, want: 1},
		"started at an unknown time":         {cell: 2, want: 1},
		"listed before the attempt":          {startedAt: 99, cell: 2, before: true, want: 1},
		"started after the attempt":          {startedAt: 100.2, cell: 2, want: 2},
		"of the same group":                  {startedAt: 99, cell: 1, want: 2},
		"of the same group, listed earlier ": {startedAt: 99, cell: 1, before: true, want: 2},
	} {
		t.Run(name, func(t *testing.T) {
			g, recorded := newTestGateway(t, withSingleGateway)
			g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", Cell: 1, Address: "x"}}, true)
			takeOver := func(now Seconds) {
				g.HandleEndpoints(now, []Endpoint{{ID: "new", Zone: "a", Cell: tc.cell, Address: "x", StartedAt: tc.startedAt, State: Draining}}, false)
			}
			if tc.before {
				takeOver(100)
			}
			sendRequest(g, 100, "k", "cell", "wide", 1)
			if !tc.before {
				takeOver(100.3)
			}
			g.HandleEndpoints(100.3, []Endpoint{{ID: "other", Zone: "a", Cell: 1, Address: "y"}}, false)
			g.HandleOutcome(100.3, Outcome{RequestID: "k", Attempt: 0, Status: Reset})
			if sends := recorded.ofKind("send", "k"); len(sends) != tc.want {
				t.Errorf("%d attempts were sent, want %d", len(sends), tc.want)
			}
		})
	}
}
