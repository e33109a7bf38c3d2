package policy

const (
	// noReplyLatencyMultiple is how many mean latencies an attempt may take before its endpoint counts as failing for
	// the class, unless it replies to others.
	noReplyLatencyMultiple = 6.0
	// minNoReplyDuration is the least time without a reply after which an attempt counts as a failure of its endpoint.
	minNoReplyDuration Seconds = 0.2
	// hedgeLatencyMultiple is how many mean latencies an attempt may take before it is hedged.
	hedgeLatencyMultiple = 4.0
	// hedgeObjectiveFraction is the fraction of the latency objective before which no attempt is hedged, not
	// even at an endpoint under suspicion.
	hedgeObjectiveFraction = 0.4
)

// attemptWatcher looks, at each timer tick, at the requests that have not ended for what no event reports: an
// owner that does not grant, an endpoint that does not reply, an attempt to hedge.
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
		if w.rejectOnGrantTimeout(r) {
			continue
		}
		w.recordNoReply(r)
		if slow := w.attemptToHedge(r); slow != nil {
			w.hedge(r, slow)
		}
	}
}

// rejectOnGrantTimeout rejects a request whose owner has not granted it by the last moment at which it
// could be sent, and reports whether it did.
func (w *attemptWatcher) rejectOnGrantTimeout(r *request) bool {
	sendBy := min(r.lastUsefulReplyAt()-r.class.meanLatency, r.firstWriteBy)
	if !r.awaitingOwner || w.clock.now+timerInterval <= sendBy {
		return false
	}
	w.replies.reject(r, OwnerUnreachable)
	return true
}

// recordNoReply records a failure for each endpoint that has not replied to an attempt for long, and not
// to any later one of the class either. It does so once an attempt.
func (w *attemptWatcher) recordNoReply(r *request) {
	noReplyDuration := max(noReplyLatencyMultiple*r.class.meanLatency, minNoReplyDuration)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || a.noReplyRecorded || w.clock.since(a.sentAt) <= noReplyDuration {
			continue
		}
		if a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
			a.noReplyRecorded = true
			w.outliers.recordFailure(a.endpoint, r.class.index, noReplyScore)
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
	if !w.hedging || age < hedgeLatencyMultiple*r.class.meanLatency || !w.queue.isEmpty() {
		return nil
	}
	return last
}

// hedge sends a hedged request beside a slow attempt. Where the settings allow no hedged requests, it cancels
// the slow attempt, whose outcome leads to a retry. It does nothing if no attempt is allowed, or no other
// endpoint has capacity.
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
