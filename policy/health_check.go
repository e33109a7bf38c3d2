package policy

const (
	// healthCheckInterval is the least time between two load reports of an endpoint, if health checks have to
	// ask for them.
	healthCheckInterval Seconds = 1.0

	healthChecksPerRequest = 0.25 // bounds the load that health checks add
	maxHealthCheckCredits  = 2.0
)

// healthChecker sends health checks where endpoints report their load with these alone.
type healthChecker struct {
	clock     *eventClock
	slowStart *slowStart
	enabled   bool
	credits   float64 // health checks that may be sent
}

func newHealthChecker(settings Settings, clock *eventClock, slowStart *slowStart) *healthChecker {
	return &healthChecker{
		clock:     clock,
		slowStart: slowStart,
		enabled:   settings.HealthChecks && settings.LoadReportInHealthCheck,
	}
}

// accrueCredit adds the credit that a request brings.
func (h *healthChecker) accrueCredit() {
	h.credits = min(h.credits+healthChecksPerRequest, maxHealthCheckCredits)
}

// next returns the endpoint that is checked now, or nil: the one whose load is known for the longest time. A
// warming endpoint has no capacity for the health checks of all gateways.
func (h *healthChecker) next(endpoints []*endpoint) *endpoint {
	if !h.enabled || h.credits < 1 {
		return nil
	}
	var next *endpoint
	oldest := h.clock.now - healthCheckInterval
	for _, e := range endpoints {
		checkedAt := max(e.healthCheckedAt, e.utilizationAt)
		if e.State == InService && checkedAt <= oldest && h.slowStart.warmUpFraction(e) == 1 {
			next, oldest = e, checkedAt
		}
	}
	if next != nil {
		next.healthCheckedAt = h.clock.now
		h.credits--
	}
	return next
}
