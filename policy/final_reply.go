package policy

// reject ends a request that gets no reply from an endpoint, and notes that its customer was rejected, which
// makes retries of its clients likely.
func (g *Gateway) reject(r *request, why Reason) {
	if r.done {
		return
	}
	if r.customer != nil {
		r.customer.rejectedAt = g.clock.now
	}
	g.replyUnserved(r, why)
}

// replyUnserved gives the final reply to a request that gets none from an endpoint: a rejection if the client
// may send it again, a failure otherwise. It cancels what is in flight.
func (g *Gateway) replyUnserved(r *request, why Reason) {
	if r.clientMayRepeat() {
		g.actions.Reject(r.ID, g.settings.MaxRetryAfter, why)
	} else {
		g.actions.Fail(r.ID, why)
	}
	if g.settings.Cancellation {
		g.cancelAttempts(r)
	}
	g.finishRequest(r)
}

// finishRequest notes that a request needs no final reply any more, and forgets it once no attempt is in flight.
// A request that was never sent is not charged.
func (g *Gateway) finishRequest(r *request) {
	r.done = true
	if r.charged && len(r.attempts) == 0 {
		r.charged = false
		g.charge(r.customer, -r.Units)
	}
	if r.inFlight == 0 {
		g.requests.remove(r)
	}
}
