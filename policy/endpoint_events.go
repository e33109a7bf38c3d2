package policy

// This file contains helpers of Gateway's event methods that concern endpoints.

// sendHealthCheck sends a health check if one is due.
func (g *Gateway) sendHealthCheck() {
	if e := g.healthChecks.next(g.endpoints.listed); e != nil {
		g.actions.HealthCheck(e.ID)
	}
}

// recordLoadReport records the utilization in a load report, if there is any, and adds it to the gossip.
func (g *Gateway) recordLoadReport(e *endpoint, report *LoadReport) {
	if report == nil || report.Utilization < 0 {
		return
	}
	e.setUtilization(report.Utilization, g.clock.now)
	g.gossip.publish(healthUpdate{
		endpointHash: e.hash, class: loadUpdate, value: report.Utilization, at: g.clock.now,
	})
}

// recordOutcome updates the state of the endpoint, the class, the slow start and the concurrency limit after
// an attempt.
func (g *Gateway) recordOutcome(r *request, a *attempt, o Outcome) {
	e, requestClass := a.endpoint, r.class
	// The concurrency limit covers all endpoints, so a timeout at a suspected outlier does not count against
	// it.
	representative := o.Status == OK ||
		o.Status == Timeout && g.outliers.score(e, requestClass.index) < suspectScore
	e.observeLatency(o.Status, o.Elapsed/requestClass.meanLatency)
	g.outliers.recordOutcome(e, requestClass.index, o.Status)
	if o.Status == OK {
		g.slowStart.recordSuccess(requestClass)
		requestClass.recordLatency(o.Elapsed)
	}
	if representative {
		utilization, known := g.endpoints.meanUtilization(g.clock.now)
		spareCapacity := known && utilization < lowUtilization
		g.limiter.observe(o.Elapsed, requestClass.LatencyObjective, o.Status == Timeout, spareCapacity)
	}
}
