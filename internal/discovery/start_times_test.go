package discovery

import (
	"fmt"
	"math"
	"testing"

	"reedlead/policy"
)

// steppedClock is a wall clock that is stepped at given event times.
type steppedClock struct {
	start float64             // wall clock minus event time before any step
	steps map[float64]float64 // size of each step in seconds, by its event time
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

// unixMS returns the start time that the endpoint list states for a start at a given event time.
func (c steppedClock) unixMS(at float64) int64 { return int64(math.Round(c.wall(at) * 1000)) }

// stepCase holds the size of a step of the wall clock in seconds, and the event times of the step and of an endpoint's
// start.
type stepCase struct {
	step, stepAt, startAt float64
}

const (
	listedAt  = 105.0 // event time at which the endpoint is first listed
	restartAt = 111.0 // event time at which the endpoint restarts
)

// TestStartTimesAcrossClockSteps checks the event time of an endpoint's start if the wall clock is stepped. The step
// comes before or after the start, and before or after the endpoint is first listed.
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
		t.Errorf("got the start time %v, want %v", got, want)
	}
	for now := listedAt; now < restartAt+1; now++ {
		starts.Sample(now, clock.wall(now))
	}
	if later := starts.EventTime("a", unixMS); later != got {
		t.Errorf("the start time changed from %v to %v", got, later)
	}
	if restart := starts.EventTime("a", clock.unixMS(restartAt)); restart != restartAt {
		t.Errorf("after a restart at %v: got the start time %v", restartAt, restart)
	}
}

// want returns the expected start time. If the wall clock may have shown the stated start time twice, the later
// occurrence is expected, as a start time that is too early could overload the endpoint.
func (tc stepCase) want() float64 {
	shownAgainAt := tc.startAt - tc.step
	shownTwice := tc.step < 0 && tc.startAt < tc.stepAt && shownAgainAt >= tc.stepAt-1 && shownAgainAt <= listedAt
	if shownTwice {
		return shownAgainAt
	}
	return tc.startAt
}

// TestStartTimesAfterProcessRestart checks that a stated start in the future is taken for the time at which EventTime
// is first called for it. The stated start is in the future if the wall clock was set back after the start, and this
// process started after that step. With the future time, the endpoint would have its minimum capacity until then.
func TestStartTimesAfterProcessRestart(t *testing.T) {
	var starts StartTimes
	starts.Sample(100, 1e9)
	if got := starts.EventTime("a", 1e12+3_600_000); got != 100 {
		t.Errorf("listed start one hour ahead: got the start time %v, want 100", got)
	}
	starts.Sample(120, 1e9+20)
	if got := starts.EventTime("a", 1e12+3_600_000); got != 100 {
		t.Errorf("20 s later: got the start time %v, want 100", got)
	}
	if got := starts.EventTime("b", 0); got != 0 {
		t.Errorf("unknown start: got the start time %v, want 0", got)
	}
	starts.RemoveUnlisted(func(id string) bool { return id == "b" })
	if len(starts.translated) != 0 {
		t.Errorf("the start times of %d unlisted endpoints are kept", len(starts.translated))
	}
}

// attemptCounter is a policy.Actions that counts attempts, and records a successful outcome for each of them.
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

// attemptCounts counts the attempts on a joining endpoint in three periods of 2 s: directly after it is listed, after
// its slow start, and directly after it is listed with a new start time.
type attemptCounts struct{ warmingUp, warm, restarted int }

// count adds attempts to the count of the period that contains the given time, if there is one.
func (counts *attemptCounts) count(now float64, attempts int) {
	switch {
	case now >= 10.5 && now < 12.5:
		counts.warmingUp += attempts
	case now >= 30 && now < 32:
		counts.warm += attempts
	case now >= 40.5 && now < 42.5:
		counts.restarted += attempts
	}
}

// slowStartSimulation simulates a gateway with a joining endpoint while the wall clock is stepped.
type slowStartSimulation struct {
	clock   steppedClock
	gateway *policy.Gateway
	counter *attemptCounter
	starts  StartTimes
}

const (
	requestsPerSecond = 200
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
	simulation := &slowStartSimulation{clock: clock, counter: &attemptCounter{attempts: map[string]int{}}}
	var err error
	if simulation.gateway, err = policy.New(settings, 7, 0, simulation.counter); err != nil {
		t.Fatal(err)
	}
	return simulation
}

// sample records a reading of both clocks.
func (simulation *slowStartSimulation) sample(now float64) {
	simulation.starts.Sample(now, simulation.clock.wall(now))
}

// list applies a change of the endpoint list. entries maps the ids of endpoints to their start times in event time; 0
// stands for an unknown start.
func (simulation *slowStartSimulation) list(now float64, entries map[string]float64) {
	simulation.sample(now)
	var endpoints []policy.Endpoint
	for id, startAt := range entries {
		endpoint := policy.Endpoint{ID: id, Weight: 1}
		if startAt > 0 {
			endpoint.StartedAt = simulation.starts.EventTime(id, simulation.clock.unixMS(startAt))
		}
		endpoints = append(endpoints, endpoint)
	}
	simulation.gateway.HandleEndpoints(now, endpoints, false)
}

// request simulates request number i, whose attempts succeed, and returns how many attempts the joining endpoint got.
func (simulation *slowStartSimulation) request(now float64, i int) (attempts int) {
	before := simulation.counter.attempts["new"]
	simulation.gateway.HandleRequest(now, policy.Request{
		ID: fmt.Sprint("q", i), Class: "look", Deadline: now + 2, GatewayCount: 1, Units: 1,
	})
	if i%4 == 0 {
		simulation.gateway.HandleTimer(now, 1)
	}
	attempts = simulation.counter.attempts["new"] - before
	for _, outcome := range simulation.counter.outcomes {
		simulation.gateway.HandleOutcome(now+0.004, outcome)
	}
	simulation.counter.outcomes = simulation.counter.outcomes[:0]
	return attempts
}

// simulateSlowStart simulates an endpoint that starts at 10 s and restarts at 40 s. It is listed 0.5 s after each
// start.
func simulateSlowStart(t *testing.T, clock steppedClock) (attempts attemptCounts) {
	t.Helper()
	simulation := newSlowStartSimulation(t, clock)
	simulation.list(0, map[string]float64{"a": 0, "b": 0, "c": 0})
	for i := range simulatedSeconds * requestsPerSecond {
		now := float64(i) / requestsPerSecond
		switch i {
		case 10.5 * requestsPerSecond:
			simulation.list(now, map[string]float64{"new": 10})
		case 40.5 * requestsPerSecond:
			simulation.list(now, map[string]float64{"new": 40})
		}
		if i%requestsPerSecond == 0 {
			simulation.sample(now)
		}
		attempts.count(now, simulation.request(now, i))
	}
	return attempts
}

// TestSlowStartAcrossClockSteps checks that a step of the wall clock neither skips nor prolongs the slow start of an
// endpoint. In each period of attemptCounts, the number of attempts on the joining endpoint must be within a third of
// the number without a step.
func TestSlowStartAcrossClockSteps(t *testing.T) {
	want := simulateSlowStart(t, steppedClock{start: 1e9})
	if want.warmingUp == 0 || want.warm < 2*want.warmingUp {
		t.Fatalf("no slow start without a step of the clock: attempts are %+v", want)
	}
	near := func(n, want int) bool { return 3*n >= 2*want && 3*n <= 4*want }
	for _, step := range []float64{-3600, -5, 5, 3600} {
		for _, stepAt := range []float64{9.2, 10.2, 11, 20, 40.2} {
			got := simulateSlowStart(t, steppedClock{start: 1e9, steps: map[float64]float64{stepAt: step}})
			if !near(got.warmingUp, want.warmingUp) || !near(got.warm, want.warm) || !near(got.restarted, want.restarted) {
				t.Errorf("step of %v at %v: attempts are %+v, want about %+v as without a step", step, stepAt, got, want)
			}
		}
	}
}
