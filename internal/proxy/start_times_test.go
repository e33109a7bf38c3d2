package proxy

import (
	"fmt"
	"math"
	"testing"

	"reedlead/policy"
)

// steppedClock is a wall clock that is stepped at times of the process.
type steppedClock struct {
	start float64             // of the wall clock less the process's time
	steps map[float64]float64 // by how much, by when
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

// ms is what discovery tells of a start at a time of the process.
func (c steppedClock) ms(at float64) int64 { return int64(math.Round(c.wall(at) * 1000)) }

// TestStartTimesAcrossSteps guards the age of a backend against a wall clock that is stepped, before or after the
// start, and before or after it is heard of.
func TestStartTimesAcrossSteps(t *testing.T) {
	const heard = 105.0
	for _, step := range []float64{-3600, -90, -2, 2, 90, 3600} {
		for _, started := range []float64{60, 102.5, 104.5} {
			for _, stepped := range []float64{101, 103.4, 104.8, 107} {
				c := steppedClock{start: 1e9, steps: map[float64]float64{stepped: step}}
				var s startTimes
				for now := 100.0; now < heard; now++ {
					s.sample(now, c.wall(now))
				}
				s.sample(heard, c.wall(heard))
				ms := c.ms(started)
				got := s.of("a", ms)
				// Where the wall clock showed the same time twice, the later one is the safe one.
				want := started
				if again := started - step; step < 0 && started < stepped && again >= stepped-1 && again <= heard {
					want = again
				}
				if math.Abs(got-want) > 0.01 {
					t.Errorf("step of %v at %v, start at %v: taken for %v", step, stepped, started, got)
				}
				for now := heard; now < 112; now++ {
					s.sample(now, c.wall(now))
				}
				if later := s.of("a", ms); later != got {
					t.Errorf("step of %v at %v: the start moved from %v to %v", step, stepped, got, later)
				}
				if again := s.of("a", c.ms(111)); again != 111 {
					t.Errorf("step of %v at %v: a restart at 111 is taken for %v", step, stepped, again)
				}
			}
		}
	}
}

// TestStartTimesOfANewProcess guards a process that starts after a step back: what was started before it lies in the
// future, and must not stay cold until that has come.
func TestStartTimesOfANewProcess(t *testing.T) {
	var s startTimes
	s.sample(100, 1e9)
	if got := s.of("a", 1e12+3_600_000); got != 100 {
		t.Errorf("a start in an hour is taken for %v", got)
	}
	s.sample(120, 1e9+20)
	if got := s.of("a", 1e12+3_600_000); got != 100 {
		t.Errorf("later it is taken for %v", got)
	}
	if got := s.of("b", 0); got != 0 {
		t.Errorf("a start of long ago is taken for %v", got)
	}
	s.forget(func(id string) bool { return id == "b" })
	if len(s.known) != 0 {
		t.Errorf("%d starts are kept of backends that are gone", len(s.known))
	}
}

// sendCounter carries out what a decision module asks for, and answers each send at once.
type sendCounter struct {
	sent []policy.Outcome
	to   map[string]int
}

func (c *sendCounter) Send(id, server string, _, _ float64) {
	c.to[server]++
	c.sent = append(c.sent, policy.Outcome{RequestID: id, Endpoint: server, Status: policy.OK, RequestDone: true, Elapsed: 0.02})
}
func (c *sendCounter) Reject(string, float64, policy.Reason) {}
func (c *sendCounter) Fail(string, policy.Reason)            {}
func (c *sendCounter) Cancel(string, int)                    {}
func (c *sendCounter) SetTimer(uint64, float64)              {}
func (c *sendCounter) HealthCheck(string)                    {}
func (c *sendCounter) SendToPeer(int, []byte)                {}
func (c *sendCounter) Log(string)                            {}

// sendsToJoining plays a backend that joins at 10, is heard of at 10.5 and starts anew at 40, and counts what it gets
// in the first 2 s of its age, when it is warm, and in the first 2 s after its restart.
func sendsToJoining(t *testing.T, c steppedClock) (cold, warm, again int) {
	t.Helper()
	const coldS, perSecond = 14, 200
	s := policy.Settings{
		GatewayCount: 1, MaxAttempts: 1, SlowStartMinCapacity: 0.15, SlowStartDuration: coldS, OverloadMultiple: 2.5, OverloadWindow: 1,
		Classes: []policy.Class{{Name: "look", LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, Idempotency: policy.Idempotent}},
	}
	counter := &sendCounter{to: map[string]int{}}
	gate, err := policy.New(s, 7, 0, counter)
	if err != nil {
		t.Fatal(err)
	}
	var starts startTimes
	list := func(now float64, entries map[string]float64) {
		starts.sample(now, c.wall(now))
		var servers []policy.Endpoint
		for id, at := range entries {
			server := policy.Endpoint{ID: id, Weight: 1}
			if at > 0 {
				server.StartedAt = starts.of(id, c.ms(at))
			}
			servers = append(servers, server)
		}
		gate.HandleEndpoints(now, servers, false)
	}
	starts.sample(0, c.wall(0))
	list(0, map[string]float64{"a": 0, "b": 0, "c": 0})
	counted := func(from, to, now float64, n *int, before int) {
		if now >= from && now < to {
			*n += counter.to["new"] - before
		}
	}
	for i := range 45 * perSecond {
		now := float64(i) / perSecond
		switch i {
		case 10.5 * perSecond:
			list(now, map[string]float64{"new": 10})
		case 40.5 * perSecond:
			list(now, map[string]float64{"new": 40})
		}
		if i%perSecond == 0 {
			starts.sample(now, c.wall(now))
		}
		before := counter.to["new"]
		gate.HandleRequest(now, policy.Request{ID: fmt.Sprint("q", i), Class: "look", Deadline: now + 2, GatewayCount: 1, Units: 1})
		if i%4 == 0 {
			gate.HandleTimer(now, 1)
		}
		counted(10.5, 12.5, now, &cold, before)
		counted(30, 32, now, &warm, before)
		counted(40.5, 42.5, now, &again, before)
		for _, o := range counter.sent {
			gate.HandleOutcome(now+0.004, o)
		}
		counter.sent = counter.sent[:0]
	}
	return cold, warm, again
}

// TestSlowStartUnderASteppedClock guards against backends that are not spared, or spared for good, as the wall clock
// was stepped: what a joining backend gets is the same within a third, whatever the step and whenever it came.
func TestSlowStartUnderASteppedClock(t *testing.T) {
	cold, warm, again := sendsToJoining(t, steppedClock{start: 1e9})
	if cold == 0 || warm < 2*cold {
		t.Fatalf("no step: %d sends while it is cold, %d when it is warm", cold, warm)
	}
	near := func(n, want int) bool { return 3*n >= 2*want && 3*n <= 4*want }
	for _, step := range []float64{-3600, -5, 5, 3600} {
		for _, at := range []float64{9.2, 10.2, 11, 20, 40.2} {
			c, w, a := sendsToJoining(t, steppedClock{start: 1e9, steps: map[float64]float64{at: step}})
			if !near(c, cold) || !near(w, warm) || !near(a, again) {
				t.Errorf("step of %v at %v: %d, %d and %d sends while cold, when warm and after a restart; %d, %d and %d without",
					step, at, c, w, a, cold, warm, again)
			}
		}
	}
}

// TestAListAfterAStepOfTheWallClock guards the way from discovery's list to the module.
func TestAListAfterAStepOfTheWallClock(t *testing.T) {
	for _, step := range []float64{-3600, 3600} {
		r := startProxy(t, testConfig(), nil)
		receive(t, r.decider.lists)
		now, at := 0.0, 0.0
		r.onLoop(func() {
			wall := r.proxy.clock.wall
			r.proxy.clock.wall = func() float64 { return wall() + step }
			now = r.proxy.clock.now()
			at = wall() + step // a start before the step has the old time
			r.proxy.takeList(targets{Servers: []target{{ID: "s", Addr: "127.0.0.1:1", State: "in_service", StartedMS: int64(at * 1000)}}})
		})
		if got := receive(t, r.decider.lists)[0].StartedAt; math.Abs(got-now) > 0.1 {
			t.Errorf("step of %v: a start of now is taken for %.1f s from now", step, got-now)
		}
	}
}
