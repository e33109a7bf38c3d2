package policy

const healthCheckInterval Seconds = 1.0

// healthChecker holds the budget of health checks.
type healthChecker struct {
	healthCheckCredits float64 // that may be sent
}

// probe asks servers for their load where that comes with probes alone: the longest unheard of
// first, and no more than a share of the requests. A cold server has no room for the probes of all gateways.
func (g *Gateway) healthCheckNext() {
	if !g.settings.HealthChecks || !g.settings.LoadReportInHealthCheck || g.healthCheckCredits < 1 {
		return
	}
	next, oldest := (*endpoint)(nil), g.clock.now-healthCheckInterval
	for _, s := range g.endpoints.listed {
		if at := max(s.healthCheckedAt, s.utilizationAt); s.State == InService && at <= oldest && g.warmUpFraction(s) == 1 {
			next, oldest = s, at
		}
	}
	if next != nil {
		next.healthCheckedAt = g.clock.now
		g.healthCheckCredits--
		g.actions.HealthCheck(next.ID)
	}
}
