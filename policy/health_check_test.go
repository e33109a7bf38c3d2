package policy

import (
	"fmt"
	"testing"
)

func TestHealthCheckGoesToTheEndpointWithTheOldestReport(t *testing.T) {
	settings := testSettings()
	settings.HealthChecks, settings.LoadReportInHealthCheck = true, true
	clock := &eventClock{now: 100}
	checker := newHealthChecker(settings, clock, newSlowStart(settings, clock))
	table := newTestTable(
		Endpoint{ID: "recent"}, Endpoint{ID: "older"}, Endpoint{ID: "oldest"},
		Endpoint{ID: "draining", State: Draining}, Endpoint{ID: "warming", StartedAt: 99})
	table.byID["recent"].setUtilization(0.5, 99.5)
	table.byID["older"].setUtilization(0.5, 98)
	table.byID["oldest"].setUtilization(0.5, 97)
	if e := checker.next(table.listed); e != nil {
		t.Errorf("%s is checked without a credit", e.ID)
	}
	for range 100 {
		checker.accrueCredit()
	}
	for _, want := range []string{"oldest", "older"} {
		if e := checker.next(table.listed); e == nil || e.ID != want {
			t.Fatalf("next returned %v, want %s", e, want)
		}
	}
	clock.now = 200
	if e := checker.next(table.listed); e != nil {
		t.Errorf("%s is checked after maxHealthCheckCredits are spent", e.ID)
	}
}

// The health checks of all gateways together could exceed the load that slow start allows for a warming
// endpoint, so such an endpoint must get none.
func TestWarmingEndpointsGetNoHealthChecks(t *testing.T) {
	g, r := newTestGateway(t, func(s *Settings) { s.HealthChecks, s.LoadReportInHealthCheck = true, true })
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", StartedAt: 99}, {ID: "s2", Zone: "a"}}, true)
	for i := range 200 {
		now := 100 + float64(i)*0.04
		sendUnlimited(g, now, fmt.Sprint("q", i))
		g.HandleTimer(now+0.01, 1)
	}
	checked := map[string]int{}
	for _, a := range r.ofKind("health_check", "") {
		checked[a.endpoint]++
	}
	if checked["s1"] > 0 || checked["s2"] == 0 {
		t.Errorf("health checks by endpoint are %v, want none at s1 and some at s2", checked)
	}
}
