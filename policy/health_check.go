package policy

const (
	// healthCheckInterval is the minimum time from the last load report or health check of an endpoint to the
	// next health check.
	healthCheckInterval Seconds = 1.0

	healthChecksPerRequest = 0.25 // credits per request; keeps the checks in proportion to the traffic
	maxHealthCheckCredits  = 2.0
)

// healthChecker selects the endpoints to check. It is enabled if the settings allow health checks, and
// endpoints report their load only in replies to them.
type healthChecker struct {
	clock     *eventClock
	slowStart *slowStart
	enabled   bool
	credits   float64 // number of health checks that may be sent
}

func newHealthChecker(settings Settings, clock *eventClock, slowStart *slowStart) *healthChecker {
	return &healthChecker{
		clock:     clock,
		slowStart: slowStart,
		enabled:   settings.HealthChecks && settings.LoadReportInHealthCheck,
	}
}

// accrueCredit adds the credit for one request.
func (h *healthChecker) accrueCredit() {
	h.credits = min(h.credits+healthChecksPerRequest, maxHealthCheckCredits)
}

// next returns the endpoint to check now and spends a credit, or returns nil. Of the endpoints that are due,
// it selects the one whose last load report or health check is oldest. Warming endpoints are not checked,
// because the checks of all gateways together could exceed their capacity.
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
