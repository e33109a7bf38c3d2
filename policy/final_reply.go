package policy

// finalReplier gives the final replies to requests that get none from an endpoint, and closes requests.
type finalReplier struct {
	clock         *eventClock
	actions       Actions
	requests      *requestTable
	sender        *attemptSender
	charge        func(c *customer, units float64)
	maxRetryAfter Seconds
}

// reject ends a request that gets no reply from an endpoint, and notes that its customer was rejected, which
// makes retries of its clients likely.
func (f *finalReplier) reject(r *request, reason Reason) {
	if r.done {
		return
	}
	if r.customer != nil {
		r.customer.rejectedAt = f.clock.now
	}
	f.rejectOrFail(r, reason)
}

// rejectOrFail gives the final reply to a request that gets none from an endpoint: a rejection if the client
// may send it again, a failure otherwise. It cancels what is in flight.
func (f *finalReplier) rejectOrFail(r *request, reason Reason) {
	if r.clientMayRetry() {
		f.actions.Reject(r.ID, f.maxRetryAfter, reason)
	} else {
		f.actions.Fail(r.ID, reason)
	}
	f.sender.cancelAll(r)
	f.finish(r)
}

// finish notes that a request needs no final reply any more, and forgets it once no attempt is in flight. A
// request that was never sent is not charged.
func (f *finalReplier) finish(r *request) {
	r.done = true
	if r.charged && len(r.attempts) == 0 {
		r.charged = false
		f.charge(r.customer, -r.Units)
	}
	if r.inFlight == 0 {
		f.requests.remove(r)
	}
}
