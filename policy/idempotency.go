package policy

import "slices"

// dedupGroup is the zone and cell of an endpoint. Together with a DedupScope, they determine which endpoints
// drop each other's duplicates.
type dedupGroup struct {
	zone string
	cell int
}

func (e *endpoint) dedupGroup() dedupGroup { return dedupGroup{e.Zone, e.Cell} }

// sameDedupGroup reports whether endpoints of the two groups drop each other's duplicates within the scope.
func sameDedupGroup(scope DedupScope, a, b dedupGroup) bool {
	return scope == DedupFleet || a.zone == b.zone && (scope == DedupZone || a.cell == b.cell)
}

// possibleExecution describes an attempt that may have executed. The zero value means that there is none.
type possibleExecution struct {
	endpoint *endpoint
	sentAt   Seconds
}

// mayHaveExecuted reports whether any attempt is recorded as possibly executed.
func (r *request) mayHaveExecuted() bool { return r.firstExecution.endpoint != nil }

// recordPossibleExecution records an attempt that may have executed as the first execution. It does nothing
// if one is recorded already.
func (r *request) recordPossibleExecution(a *attempt) {
	if !r.mayHaveExecuted() {
		r.firstExecution = possibleExecution{endpoint: a.endpoint, sentAt: a.sentAt}
	}
}

// deduplicates reports whether the endpoint would drop the request as a duplicate of each attempt that may
// have executed. It also returns true if no execution is recorded, or if the class has no idempotency keys:
// mayBeRetriedAt decides whether a request of such a class is retried.
//
// An endpoint list update may move the endpoint of an attempt to another group. It is unknown whether the
// keys recorded there move along, so the endpoint must share both the old group and the current one. The
// update may also tell that another process has taken over the address. It is unknown which of the two has
// executed the attempt, so the endpoint must share the group of both.
func (r *request) deduplicates(e *endpoint) bool {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if (a.mayHaveExecuted || !a.done) && !a.isDeduplicatedBy(e, r.class.DedupScope) {
			return false
		}
	}
	return true
}

// isDeduplicatedBy reports whether an endpoint would drop a duplicate of the attempt.
func (a *attempt) isDeduplicatedBy(e *endpoint, scope DedupScope) bool {
	group := e.dedupGroup()
	if !sameDedupGroup(scope, a.group, group) || !sameDedupGroup(scope, a.endpoint.dedupGroup(), group) {
		return false
	}
	return !slices.ContainsFunc(a.otherGroups, func(other dedupGroup) bool {
		return !sameDedupGroup(scope, other, group)
	})
}

// recordOther records the group of an endpoint, which may be nil, if it is another process that may have
// received the attempt: one at the same address that had started when the attempt was sent.
func (a *attempt) recordOther(e *endpoint) {
	if e == nil || e == a.endpoint || e.Address != a.address || e.StartedAt > a.sentAt+clockUncertainty {
		return
	}
	if group := e.dedupGroup(); !slices.Contains(a.otherGroups, group) {
		a.otherGroups = append(a.otherGroups, group)
	}
}

// recordOther records an endpoint that is new, or has moved to another address, for the attempts of all open
// requests; see attempt.recordOther.
func (t *requestTable) recordOther(e *endpoint) {
	if e.Address == "" {
		return
	}
	for _, r := range t.byID {
		for i := range r.attempts {
			r.attempts[i].recordOther(e)
		}
	}
}

// idempotencyWindowEnd returns the time until which endpoints drop duplicates of the first execution, less
// clockUncertainty as a safety margin.
func (r *request) idempotencyWindowEnd() Seconds {
	return r.firstExecution.sentAt + r.class.IdempotencyWindow - clockUncertainty
}

// mayBeRetriedAt reports whether the request may be sent at the given time without the risk of a harmful
// second execution.
func (r *request) mayBeRetriedAt(now Seconds) bool {
	switch {
	case !r.mayHaveExecuted(), r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotencyKey:
		return now <= r.idempotencyWindowEnd()
	}
	return false
}

// clientMayRetry reports whether the client may safely send the request again: no attempt can have executed,
// the class is idempotent, or all endpoints drop duplicates of its key.
func (r *request) clientMayRetry() bool {
	if !r.mayHaveExecuted() && r.inFlight == 0 {
		return true
	}
	switch r.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotencyKey:
		return r.class.DedupScope == DedupFleet
	}
	return true
}
