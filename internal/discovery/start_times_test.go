package discovery

import (
	"fmt"
	"math"
	"testing"

	"reedlead/policy"
)

// steppedClock is a wall clock that is stepped at some event times.
type steppedClock struct {
	start float64             // of the wall clock less event time
	steps map[float64]float64 // the size of each step by its event time
}

func (c steppedClock) wall(now float64) float64 {
	wall := now + c.start
	for at, by := range c.steps {
		if now >= at {
			wall += by
		}
	}
	return wall
}

// unixMS is what discovery gives for a start at an event time.
func (c steppedClock) unixMS(at float64) int64 { return int64(math.Round(c.wall(at) * 1000)) }

// stepCase is one step of the wall clock and one start of an endpoint, all in event time.
type stepCase struct {
	step, stepAt, startAt float64
}

const (
	listedAt  = 105.0 // when the start is listed
	restartAt = 111.0
)

// TestStartTimesAcrossClockSteps guards the age of an endpoint against a wall clock that is stepped, before or after
// the start, and before or after it is listed.
func TestStartTimesAcrossClockSteps(t *testing.T) {
	for _, step := range []float64{-3600, -90, -2, 2, 90, 3600} {
		for _, startAt := range []float64{60, 102.5, 104.5} {
			for _, stepAt := range []float64{101, 103.4, 104.8, 107} {
				tc := stepCase{step, stepAt, startAt}
				t.Run(fmt.Sprintf("%+v", tc), tc.test)
			}
		}
	}
}

func (tc stepCase) test(t *testing.T) {
	clock := steppedClock{start: 1e9, steps: map[float64]float64{tc.stepAt: tc.step}}
	var starts StartTimes
	for now := 100.0; now <= listedAt; now++ {
		starts.Sample(now, clock.wall(now))
	}
	unixMS := clock.unixMS(tc.startAt)
	got := starts.EventTime("a", unixMS)
	if want := tc.want(); math.Abs(got-want) > 0.01 {
		t.Errorf("the start is taken for %v, want %v", got, want)
	}
	for now := listedAt; now < restartAt+1; now++ {
		starts.Sample(now, clock.wall(now))
	}
	if later := starts.EventTime("a", unixMS); later != got {
		t.Errorf("the start moved from %v to %v", got, later)
	}
	if restart := starts.EventTime("a", clock.unixMS(restartAt)); restart != restartAt {
		t.Errorf("a restart at %v is taken for %v", restartAt, restart)
	}
}

// want is the start that is to be found. Where the wall clock showed the same time twice, the later one is safe.
func (tc stepCase) want() float64 {
	shownAgainAt := tc.startAt - tc.step
	shownTwice := tc.step < 0 && tc.startAt < tc.stepAt && shownAgainAt >= tc.stepAt-1 && shownAgainAt <= listedAt
	if shownTwice {
		return shownAgainAt
	}
	return tc.startAt
}

// TestStartTimesAfterProcessRestart guards a process that starts after a step back: what was started before it lies in
// the future, and must not keep its endpoint warming up until that has come.
func TestStartTimesAfterProcessRestart(t *testing.T) {
	var starts StartTimes
	starts.Sample(100, 1e9)
	if got := starts.EventTime("a", 1e12+3_600_000); got != 100 {
		t.Errorf("a start in an hour is taken for %v", got)
	}
	starts.Sample(120, 1e9+20)
	if got := starts.EventTime("a", 1e12+3_600_000); got != 100 {
		t.Errorf("later it is taken for %v", got)
	}
	if got := starts.EventTime("b", 0); got != 0 {
		t.Errorf("a start of long ago is taken for %v", got)
	}
	starts.RemoveUnlisted(func(id string) bool { return id == "b" })
	if len(starts.translated) != 0 {
		t.Errorf("%d starts are kept of endpoints that are gone", len(starts.translated))
	}
}

// attemptCounter stands in for the network side: each attempt succeeds at once.
type attemptCounter struct {
	outcomes []policy.Outcome
	attempts map[string]int // by endpoint
}

func (c *attemptCounter) Send(id, endpoint string, _, _ float64) {
	c.attempts[endpoint]++
	c.outcomes = append(c.outcomes, policy.Outcome{
		RequestID: id, Endpoint: endpoint, Status: policy.OK, RequestDone: true, Elapsed: 0.02,
	})
}
func (c *attemptCounter) Reject(string, float64, policy.Reason) {}
func (c *attemptCounter) Fail(string, policy.Reason)            {}
func (c *attemptCounter) Cancel(string, int)                    {}
func (c *attemptCounter) SetTimer(uint64, float64)              {}
func (c *attemptCounter) HealthCheck(string)                    {}
func (c *attemptCounter) SendToPeer(int, []byte)                {}

// attemptCounts counts the attempts on an endpoint that joins: in the first 2 s after it is listed, while it warms
// up, when it is warm, and in the first 2 s after it is listed again, which is after a restart.
type attemptCounts struct{ warmingUp, warm, restarted int }

// count adds the attempts of an event at a time.
func (j *attemptCounts) count(now float64, attempts int) {
	switch {
	case now >= 10.5 && now < 12.5:
		j.warmingUp += attempts
	case now >= 30 && now < 32:
		j.warm += attempts
	case now >= 40.5 && now < 42.5:
		j.restarted += attempts
	}
}

// slowStartSimulation is a gateway with an endpoint that joins, under a wall clock that is stepped.
type slowStartSimulation struct {
	clock   steppedClock
	gateway *policy.Gateway
	counter *attemptCounter
	starts  StartTimes
}

const (
	requestsPerSecond = 200 // requests
	simulatedSeconds  = 45
)

func newSlowStartSimulation(t *testing.T, clock steppedClock) *slowStartSimulation {
	t.Helper()
	settings := policy.Settings{
		GatewayCount: 1, MaxAttempts: 1, SlowStartMinCapacity: 0.15, SlowStartDuration: 14,
		OverloadMultiple: 2.5, OverloadWindow: 1,
		Classes: []policy.Class{
			{Name: "look", LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
		},
	}
	p := &slowStartSimulation{clock: clock, counter: &attemptCounter{attempts: map[string]int{}}}
	var err error
	if p.gateway, err = policy.New(settings, 7, 0, p.counter); err != nil {
		t.Fatal(err)
	}
	return p
}

// sample has the start times follow the clocks.
func (p *slowStartSimulation) sample(now float64) { p.starts.Sample(now, p.clock.wall(now)) }

// list applies a change of the endpoint list: entries by their id, with their start in event time or 0.
func (p *slowStartSimulation) list(now float64, entries map[string]float64) {
	p.sample(now)
	var endpoints []policy.Endpoint
	for id, startAt := range entries {
		endpoint := policy.Endpoint{ID: id, Weight: 1}
		if startAt > 0 {
			endpoint.StartedAt = p.starts.EventTime(id, p.clock.unixMS(startAt))
		}
		endpoints = append(endpoints, endpoint)
	}
	p.gateway.HandleEndpoints(now, endpoints, false)
}

// request plays request number i, whose attempts succeed, and returns how many of them went to the joining endpoint.
func (p *slowStartSimulation) request(now float64, i int) (attempts int) {
	before := p.counter.attempts["new"]
	p.gateway.HandleRequest(now, policy.Request{
		ID: fmt.Sprint("q", i), Class: "look", Deadline: now + 2, GatewayCount: 1, Units: 1,
	})
	if i%4 == 0 {
		p.gateway.HandleTimer(now, 1)
	}
	attempts = p.counter.attempts["new"] - before
	for _, outcome := range p.counter.outcomes {
		p.gateway.HandleOutcome(now+0.004, outcome)
	}
	p.counter.outcomes = p.counter.outcomes[:0]
	return attempts
}

// simulateSlowStart plays an endpoint that joins at 10, is listed at 10.5 and restarts at 40.
func simulateSlowStart(t *testing.T, clock steppedClock) (attempts attemptCounts) {
	t.Helper()
	p := newSlowStartSimulation(t, clock)
	p.list(0, map[string]float64{"a": 0, "b": 0, "c": 0})
	for i := range simulatedSeconds * requestsPerSecond {
		now := float64(i) / requestsPerSecond
		switch i {
		case 10.5 * requestsPerSecond:
			p.list(now, map[string]float64{"new": 10})
		case 40.5 * requestsPerSecond:
			p.list(now, map[string]float64{"new": 40})
		}
		if i%requestsPerSecond == 0 {
			p.sample(now)
		}
		attempts.count(now, p.request(now, i))
	}
	return attempts
}

// TestSlowStartAcrossClockSteps guards against endpoints that are not spared, or spared for good, as the wall clock was
// stepped: what a joining endpoint gets is the same within a third, whatever the step and whenever it came.
func TestSlowStartAcrossClockSteps(t *testing.T) {
	want := simulateSlowStart(t, steppedClock{start: 1e9})
	if want.warmingUp == 0 || want.warm < 2*want.warmingUp {
		t.Fatalf("no step: %+v", want)
	}
	near := func(n, want int) bool { return 3*n >= 2*want && 3*n <= 4*want }
	for _, step := range []float64{-3600, -5, 5, 3600} {
		for _, stepAt := range []float64{9.2, 10.2, 11, 20, 40.2} {
			got := simulateSlowStart(t, steppedClock{start: 1e9, steps: map[float64]float64{stepAt: step}})
			if !near(got.warmingUp, want.warmingUp) || !near(got.warm, want.warm) || !near(got.restarted, want.restarted) {
				t.Errorf("step of %v at %v: attempts of %+v; %+v without", step, stepAt, got, want)
			}
		}
	}
}
