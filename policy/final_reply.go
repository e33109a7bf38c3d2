package policy

// finalReplier gives the final reply to requests that get none from an endpoint, and finishes requests.
type finalReplier struct {
	clock         *eventClock
	actions       Actions
	requests      *requestTable
	sender        *attemptSender
	charge        func(c *customer, units float64)
	maxRetryAfter Seconds
}

// reject gives the final reply to a request that gets none from an endpoint, unless the request is done. It
// also records the rejection for the customer, whose clients are now likely to retry.
func (f *finalReplier) reject(r *request, reason Reason) {
	if r.done {
		return
	}
	if r.customer != nil {
		r.customer.rejectedAt = f.clock.now
	}
	f.rejectOrFail(r, reason)
}

// rejectOrFail rejects a request if the client may safely send it again, and fails it otherwise. In both
// cases it finishes the request. If attempts can be cancelled, it also cancels those in flight.
func (f *finalReplier) rejectOrFail(r *request, reason Reason) {
	if r.clientMayRetry() {
		f.actions.Reject(r.ID, f.maxRetryAfter, reason)
	} else {
		f.actions.Fail(r.ID, reason)
	}
	f.sender.cancelAll(r)
	f.finish(r)
}

// finish marks a request as done and removes it if no attempt is in flight. It refunds the units of a
// request that was never sent.
func (f *finalReplier) finish(r *request) {
	if !r.done && r.customer != nil {
		r.customer.openRequests--
	}
	r.done = true
	if r.charged && len(r.attempts) == 0 {
		r.charged = false
		f.charge(r.customer, -r.Units)
	}
	if r.inFlight == 0 {
		f.requests.remove(r)
	}
}
