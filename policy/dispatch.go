package policy

import (
	"cmp"
	"slices"
)

// place sends the request on, or queues it when no server has room.
func (g *Gateway) dispatch(r *request) {
	if len(r.attempts) == 0 {
		g.admittedWork += r.class.meanLatency / demandTimeConstant
	}
	if !g.mayRetry(r) {
		g.reject(r, g.retryRejectionReason(r))
	} else if s := g.pickEndpoint(r); s != nil {
		g.sendAttempt(r, s)
	} else {
		g.dispatchQueue = append(g.dispatchQueue, r)
	}
}

// drain sends what waits, dearest per work first, and drops what can't make its aim.
func (g *Gateway) dispatchQueued() {
	if len(g.dispatchQueue) == 0 {
		return
	}
	slices.SortStableFunc(g.dispatchQueue, func(a, b *request) int { return cmp.Compare(b.priority, a.priority) })
	g.dispatchQueue = slices.DeleteFunc(g.dispatchQueue, func(r *request) bool {
		if !r.done && g.clock.now+r.class.meanLatency <= r.objectiveAt && g.mayRetry(r) {
			s := g.pickEndpoint(r)
			if s != nil {
				g.sendAttempt(r, s)
			}
			return s != nil
		}
		g.reject(r, NoEndpointInTime)
		return true
	})
}

// refuse ends the request with the mildest answer that is true.
func (g *Gateway) reject(r *request, why Reason) {
	if r.done {
		return
	}
	if r.customer != nil {
		r.customer.rejectedAt = g.clock.now
	}
	may := r.firstExecuted != nil || r.inFlight > 0
	if may && (r.class.Idempotency == NonIdempotent || r.class.Idempotency == IdempotencyKey && r.class.DedupScope != DedupFleet) {
		g.actions.Fail(r.ID, why)
	} else {
		g.actions.Reject(r.ID, g.settings.MaxRetryAfter, why)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; g.settings.Cancellation && !a.done && !a.cancelled {
			a.cancelled = true
			g.actions.Cancel(r.ID, i)
		}
	}
	g.finishRequest(r)
}
