package policy

import "slices"

// dispatchQueue holds the admitted requests that wait for an endpoint with capacity.
type dispatchQueue struct {
	requests []*request
}

func (q *dispatchQueue) isEmpty() bool { return len(q.requests) == 0 }

func (q *dispatchQueue) add(r *request) { q.requests = append(q.requests, r) }

// dequeueFunc calls dequeue for each request, from the highest to the lowest priority, and removes the
// requests for which dequeue returns true.
func (q *dispatchQueue) dequeueFunc(dequeue func(*request) bool) {
	if q.isEmpty() {
		return
	}
	slices.SortStableFunc(q.requests, byPriority)
	q.requests = slices.DeleteFunc(q.requests, dequeue)
}

// dispatcher sends admitted requests to endpoints, and queues those for which no endpoint has capacity.
type dispatcher struct {
	clock   *eventClock
	queue   dispatchQueue
	retries *retryPolicy
	picker  *endpointPicker
	sender  *attemptSender
	replies *finalReplier
}

// requestActions implements requestHandler for the quotaController.
type requestActions struct {
	*dispatcher
	*finalReplier
}

// dispatch sends an admitted request to an endpoint, queues it if no endpoint has capacity, or rejects it if
// no further attempt is allowed.
func (d *dispatcher) dispatch(r *request) {
	if !d.retries.allowsAttempt(r) {
		d.replies.reject(r, d.retries.rejectionReason(r))
		return
	}
	if !d.trySend(r) {
		d.queue.add(r)
	}
}

// dispatchQueued sends the queued requests for which an endpoint has capacity. It removes requests that are
// done, and rejects those that are not expected to get a reply within their objective or for which no further
// attempt is allowed.
func (d *dispatcher) dispatchQueued() {
	d.queue.dequeueFunc(func(r *request) bool {
		if r.done || d.clock.now+r.class.meanLatency > r.objectiveAt || !d.retries.allowsAttempt(r) {
			d.replies.reject(r, NoEndpointInTime)
			return true
		}
		return d.trySend(r)
	})
}

// trySend sends a request if an endpoint has capacity for it, and reports whether it did.
func (d *dispatcher) trySend(r *request) bool {
	e := d.picker.pick(r)
	if e == nil {
		return false
	}
	d.sender.send(r, e)
	return true
}

// finishOrRetry finishes a request that needs no reply or whose attempt succeeded. It dispatches any other
// request again, which may reject it, unless another attempt is in flight or the reply is being streamed.
func (d *dispatcher) finishOrRetry(r *request, outcome Outcome) {
	if r.done || outcome.RequestDone || outcome.Status == OK {
		d.replies.finish(r)
	} else if r.inFlight == 0 && !r.streaming {
		d.dispatch(r)
	}
}
