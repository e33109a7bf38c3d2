package policy

import "testing"

func TestHealthCheckGoesToTheEndpointLeastRecentlyKnown(t *testing.T) {
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
			t.Fatalf("checked is %v, want %s", e, want)
		}
	}
	clock.now = 200
	if e := checker.next(table.listed); e != nil {
		t.Errorf("%s is checked after the credits of many requests are spent", e.ID)
	}
}
