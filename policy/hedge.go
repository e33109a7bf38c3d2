package policy

const (
	// silentLatencies is how many mean latencies an attempt may take before its endpoint counts as failing for
	// the class, unless it replies to others.
	silentLatencies = 6.0
	// hedgeLatencies is how many mean latencies an attempt may take before it is hedged.
	hedgeLatencies = 4.0
	// hedgeObjectiveFraction is the fraction of the latency objective before which no attempt is hedged, not
	// even at an endpoint under suspicion.
	hedgeObjectiveFraction = 0.4
)

// watchOpenRequests looks at all requests that have not ended: it gives up those whose owner did not grant them
// in time, records the silence of endpoints, and hedges or moves attempts that take long.
func (g *Gateway) watchOpenRequests() {
	for _, r := range g.requests.open() {
		if g.rejectStaleOwnerWait(r) {
			continue
		}
		g.recordSilence(r)
		if slow := g.attemptToHedge(r); slow != nil {
			g.hedge(r, slow)
		}
	}
	g.updateLoadEstimates()
}

// rejectStaleOwnerWait rejects a request that has waited for its owner for as long as it could still be sent,
// and tells whether it did.
func (g *Gateway) rejectStaleOwnerWait(r *request) bool {
	sendBy := min(r.lastUsefulReplyAt()-r.class.meanLatency, r.firstWriteBy)
	if !r.awaitingOwner || g.clock.now+timerInterval <= sendBy {
		return false
	}
	g.reject(r, OwnerUnreachable)
	return true
}

// recordSilence records a failure for each endpoint that has not replied to an attempt for long, and not to any
// later one of the class either. It does so once an attempt.
func (g *Gateway) recordSilence(r *request) {
	patience := max(silentLatencies*r.class.meanLatency, minGossipInterval)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || a.silenceRecorded || g.clock.since(a.sentAt) <= patience {
			continue
		}
		if a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
			a.silenceRecorded = true
			g.recordFailure(a.endpoint, r.class, 1)
		}
	}
}

// attemptToHedge returns the attempt of the request that has taken so long that another endpoint is to be tried,
// nil if there is none. That is an attempt at an endpoint under suspicion, or, where hedged requests are
// possible and no request is queued, any attempt that takes several mean latencies.
func (g *Gateway) attemptToHedge(r *request) *attempt {
	if r.done || r.streaming || r.inFlight != 1 || r.class.Idempotency == NonIdempotent {
		return nil
	}
	last := &r.attempts[len(r.attempts)-1]
	age := g.clock.since(last.sentAt)
	if last.done || last.cancelled || age < hedgeObjectiveFraction*r.class.LatencyObjective {
		return nil
	}
	if g.outlierScore(last.endpoint, r.class) > suspectScore {
		return last
	}
	if !g.settings.Hedging || age < hedgeLatencies*r.class.meanLatency || !g.dispatchQueue.isEmpty() {
		return nil
	}
	return last
}

// hedge sends a hedged request beside a slow attempt. Where there are none it cancels the slow attempt, so that
// its outcome leads to a retry. Neither happens if no other endpoint is allowed and has capacity.
func (g *Gateway) hedge(r *request, slow *attempt) {
	before := r.firstExecution
	r.recordPossibleExecution(slow) // the choice of the endpoint depends on it
	var other *endpoint
	if g.retries.allowsAttempt(r) {
		other = g.pickEndpoint(r)
	}
	switch {
	case other == nil || other == slow.endpoint:
		r.firstExecution = before
	case g.settings.Hedging:
		g.sendAttempt(r, other)
	case g.settings.Cancellation:
		g.cancelAttempt(r, len(r.attempts)-1)
	}
}
