package policy

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
	group    dedupGroup // of the endpoint at sentAt; the endpoint may move later
	sentAt   Seconds
}

// mayHaveExecuted reports whether any attempt is recorded as possibly executed.
func (r *request) mayHaveExecuted() bool { return r.firstExecution.endpoint != nil }

// recordPossibleExecution records an attempt that may have executed as the first execution. It does nothing
// if one is recorded already.
func (r *request) recordPossibleExecution(a *attempt) {
	if !r.mayHaveExecuted() {
		r.firstExecution = possibleExecution{endpoint: a.endpoint, group: a.group, sentAt: a.sentAt}
	}
}

// deduplicates reports whether the endpoint would drop the request as a duplicate of its first execution. It
// also returns true if no execution is recorded, or if the class has no idempotency keys: mayBeRetriedAt
// decides whether a request of such a class is retried.
//
// An endpoint list update may move the endpoint of the first execution to another group. It is unknown
// whether the keys recorded there move along, so the endpoint must share both the old group and the current
// one.
func (r *request) deduplicates(e *endpoint) bool {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return true
	}
	scope, group := r.class.DedupScope, e.dedupGroup()
	return sameDedupGroup(scope, r.firstExecution.group, group) &&
		sameDedupGroup(scope, r.firstExecution.endpoint.dedupGroup(), group)
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
