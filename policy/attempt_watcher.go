package policy

const (
	// noReplyLatencyMultiple is the number of mean latencies after which an attempt without a reply counts as a
	// failure of its endpoint, unless another attempt of the class has succeeded there in the meantime.
	noReplyLatencyMultiple = 6.0
	// minNoReplyDuration is the minimum time without a reply after which an attempt counts as a failure, for
	// classes with short latencies.
	minNoReplyDuration Seconds = 0.2
	// hedgeLatencyMultiple is the number of mean latencies after which an attempt at an endpoint that is not a
	// suspected outlier may be hedged.
	hedgeLatencyMultiple = 4.0
	// hedgeObjectiveFraction is the fraction of the latency objective for which an attempt must have been in
	// flight before it is hedged, even if its endpoint is a suspected outlier.
	hedgeObjectiveFraction = 0.4
)

// attemptWatcher checks the open requests at each timer tick for conditions that no event reports: an owner
// that sends no grant in time, an endpoint that does not reply, and an attempt that is slow enough to hedge.
type attemptWatcher struct {
	clock    *eventClock
	requests *requestTable
	retries  *retryPolicy
	outliers *outlierDetector
	picker   *endpointPicker
	sender   *attemptSender
	replies  *finalReplier
	queue    *dispatchQueue
	// hedging is set if hedged requests are allowed, cancellation if attempts can be cancelled.
	hedging, cancellation bool
}

// watch rejects requests whose grant is late, records endpoints that do not reply, and hedges or cancels slow
// attempts.
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

// rejectOnGrantTimeout rejects a request that waits for a grant from the owner if the next tick would be too
// late to send it. It reports whether it rejected the request.
func (w *attemptWatcher) rejectOnGrantTimeout(r *request) bool {
	sendBy := min(r.lastUsefulReplyAt()-r.class.meanLatency, r.firstWriteBy)
	if !r.awaitingOwner || w.clock.now+timerInterval <= sendBy {
		return false
	}
	w.replies.reject(r, OwnerUnreachable)
	return true
}

// recordNoReply records a failure for the endpoint of each attempt that has gone without a reply for too
// long, unless the endpoint has succeeded for the class since the attempt was sent. It records at most one
// failure per attempt.
func (w *attemptWatcher) recordNoReply(r *request) {
	noReplyDuration := max(noReplyLatencyMultiple*r.class.meanLatency, minNoReplyDuration)
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || a.noReplyRecorded || w.clock.since(a.sentAt) <= noReplyDuration {
			continue
		}
		if a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
			a.noReplyRecorded = true
			w.outliers.recordFailure(a.endpoint, r.class.index, noReplySeverity)
		}
	}
}

// attemptToHedge returns the attempt of the request that is slow enough to hedge, or nil if there is none. A
// request that is done, non-idempotent or streaming its reply has none. For any other request, only the last
// attempt is considered, and only if it is the only one in flight and was not cancelled.
//
// The attempt must have been in flight for hedgeObjectiveFraction of the latency objective. That is enough at
// a suspected outlier. At any other endpoint, the attempt must also have been in flight for
// hedgeLatencyMultiple mean latencies, hedged requests must be allowed, and the dispatch queue must be empty.
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

// hedge sends a hedged request to another endpoint in addition to a slow attempt. If only cancellation is
// allowed, it cancels the slow attempt instead, so that the request can be retried. It does neither if both
// are disabled, retryPolicy allows no attempt, or the picker returns no other endpoint.
func (w *attemptWatcher) hedge(r *request, slow *attempt) {
	before := r.firstExecution
	r.recordPossibleExecution(slow) // so that retries and picker treat the hedge like a retry
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
