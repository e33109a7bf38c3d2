package policy

import "slices"

// dispatchQueue holds the admitted requests that wait until an endpoint has capacity.
type dispatchQueue struct {
	requests []*request
}

func (q *dispatchQueue) isEmpty() bool { return len(q.requests) == 0 }

func (q *dispatchQueue) add(r *request) { q.requests = append(q.requests, r) }

// dequeueFunc offers each request to dequeue, those of the highest priority first, and keeps those for which it
// returns false.
func (q *dispatchQueue) dequeueFunc(dequeue func(*request) bool) {
	if q.isEmpty() {
		return
	}
	slices.SortStableFunc(q.requests, byPriority)
	q.requests = slices.DeleteFunc(q.requests, dequeue)
}

// dispatcher sends admitted requests to endpoints, as soon as one has capacity.
type dispatcher struct {
	clock   *eventClock
	queue   dispatchQueue
	retries *retryPolicy
	picker  *endpointPicker
	sender  *attemptSender
	replies *finalReplier
}

// requestActions is the requestHandler of quotaController.
type requestActions struct {
	*dispatcher
	*finalReplier
}

// dispatch sends an admitted request to an endpoint, queues it if none has capacity, or rejects it if no
// attempt is allowed any more.
func (d *dispatcher) dispatch(r *request) {
	if !d.retries.allowsAttempt(r) {
		d.replies.reject(r, d.retries.rejectionReason(r))
		return
	}
	if !d.trySend(r) {
		d.queue.add(r)
	}
}

// dispatchQueued sends the queued requests for which an endpoint has capacity now, and rejects those that
// can't be replied to within their objective any more.
func (d *dispatcher) dispatchQueued() {
	d.queue.dequeueFunc(func(r *request) bool {
		if r.done || d.clock.now+r.class.meanLatency > r.objectiveAt || !d.retries.allowsAttempt(r) {
			d.replies.reject(r, NoEndpointInTime)
			return true
		}
		return d.trySend(r)
	})
}

// trySend sends a request if an endpoint has capacity for it, and tells whether one had.
func (d *dispatcher) trySend(r *request) bool {
	e := d.picker.pick(r)
	if e == nil {
		return false
	}
	d.sender.send(r, e)
	return true
}

// finishOrRetry ends a request whose attempt was the last one needed, and retries it if no other attempt
// is in flight.
func (d *dispatcher) finishOrRetry(r *request, outcome Outcome) {
	if r.done || outcome.RequestDone || outcome.Status == OK {
		d.replies.finish(r)
	} else if r.inFlight == 0 && !r.streaming {
		d.dispatch(r)
	}
}
