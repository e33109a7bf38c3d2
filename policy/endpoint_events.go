package policy

// The events of Gateway that concern endpoints: the endpoint list, health checks and the ends of attempts.

// sendHealthCheck sends a health check if one is due.
func (g *Gateway) sendHealthCheck() {
	if e := g.healthChecks.next(g.endpoints.listed); e != nil {
		g.actions.HealthCheck(e.ID)
	}
}

// recordLoadReport takes in an endpoint's load report, if there is one, and publishes it.
func (g *Gateway) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil || report.Utilization < 0 {
		return
	}
	e.setUtilization(report.Utilization, g.clock.now)
	g.gossip.publish(healthUpdate{
		endpointHash: e.hash, class: loadUpdate, value: report.Utilization, at: g.clock.now,
	})
}

// recordOutcome takes from the end of an attempt what it tells of its endpoint, and of all.
func (g *Gateway) recordOutcome(r *request, a *attempt, o Outcome) {
	e, cls := a.endpoint, r.class
	// A timeout at an endpoint that may be an outlier says nothing of the others.
	representative := o.Status == OK || o.Status == Timeout && g.outliers.score(e, cls.index) < suspectScore
	e.observeLatency(o.Status, o.Elapsed/cls.meanLatency)
	g.outliers.recordOutcome(e, cls.index, o.Status)
	if o.Status == OK {
		g.slowStart.recordSuccess(cls)
		cls.recordLatency(o.Elapsed)
	}
	if representative {
		utilization, known := g.endpoints.meanUtilization(g.clock.now)
		spareCapacity := known && utilization < lowUtilization
		g.limiter.observe(o.Elapsed, cls.LatencyObjective, o.Status == Timeout, spareCapacity)
	}
}
