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

// attemptWatcher looks at the requests that have not ended for what no event brings: silence.
type attemptWatcher struct {
	clock    *eventClock
	requests *requestTable
	retries  *retryPolicy
	outliers *outlierDetector
	picker   *endpointPicker
	sender   *attemptSender
	replies  *finalReplier
	queue    *dispatchQueue
	// hedging and cancellation tell whether there are hedged requests, and whether attempts can be cancelled.
	hedging, cancellation bool
}

// watch gives up the requests whose owner did not grant them in time, records the silence of endpoints, and
// hedges or moves attempts that take long.
func (w *attemptWatcher) watch() {
	for _, r := range w.requests.open() {
		if w.rejectStaleOwnerWait(r) {
			continue
		}
		w.recordSilence(r)
		if slow := w.attemptToHedge(r); slow != nil {
			w.hedge(r, slow)
		}
	}
}

// rejectStaleOwnerWait rejects a request that has waited for its owner for as long as it could still be sent,
// and tells whether it did.
func (w *attemptWatcher) rejectStaleOwnerWait(r *request) bool {
	sendBy := min(r.lastUsefulReplyAt()-r.class.meanLatency, r.firstWriteBy)
	if !r.awaitingOwner || w.clock.now+timerInterval <= sendBy {
		return false
	}
	w.replies.reject(r, OwnerUnreachable)
	return true
}

// recordSilence records a failure for each endpoint that has not replied to an attempt for long, and not
// to any later one of the class either. It does so once an attempt.
func (w *attemptWatcher) recordSilence(r *request) {
	patience := max(silentLatencies*r.class.meanLatency, minGossipInterval)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || a.silenceRecorded || w.clock.since(a.sentAt) <= patience {
			continue
		}
		if a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
			a.silenceRecorded = true
			w.outliers.recordFailure(a.endpoint, r.class.index, silenceScore)
		}
	}
}

// attemptToHedge returns the attempt of the request that has taken so long that another endpoint is to be
// tried, nil if there is none. That is an attempt at an endpoint under suspicion, or, where hedged
// requests are possible and no request is queued, any attempt that takes several mean latencies.
func (w *attemptWatcher) attemptToHedge(r *request) *attempt {
	if r.done || r.streaming || r.inFlight != 1 || r.class.Idempotency == NonIdempotent {
		return nil
	}
	last := &r.attempts[len(r.attempts)-1]
	age := w.clock.since(last.sentAt)
	if last.done || last.cancelled || age < hedgeObjectiveFraction*r.class.LatencyObjective {
		return nil
	}
	if w.outliers.score(last.endpoint, r.class.index) > suspectScore {
		return last
	}
	if !w.hedging || age < hedgeLatencies*r.class.meanLatency || !w.queue.isEmpty() {
		return nil
	}
	return last
}

// hedge sends a hedged request beside a slow attempt. Where there are none it cancels the slow attempt, so
// that its outcome leads to a retry. Neither happens if no other endpoint is allowed and has capacity.
func (w *attemptWatcher) hedge(r *request, slow *attempt) {
	before := r.firstExecution
	r.recordPossibleExecution(slow) // the choice of the endpoint depends on it
	var other *endpoint
	if w.retries.allowsAttempt(r) {
		other = w.picker.pick(r)
	}
	switch {
	case other == nil || other == slow.endpoint:
		r.firstExecution = before
	case w.hedging:
		w.sender.send(r, other)
	case w.cancellation:
		w.sender.cancel(r, len(r.attempts)-1)
	}
}
