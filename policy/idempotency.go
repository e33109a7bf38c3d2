package policy

// dedupGroup is the place of an endpoint among those that drop repeats of an idempotency key together.
type dedupGroup struct {
	zone string
	cell int
}

func (e *endpoint) dedupGroup() dedupGroup { return dedupGroup{e.Zone, e.Cell} }

// sameDedupGroup tells whether the endpoints of two groups drop each other's repeats.
func sameDedupGroup(scope DedupScope, a, b dedupGroup) bool {
	return scope == DedupFleet || a.zone == b.zone && (scope == DedupZone || a.cell == b.cell)
}

// possibleExecution is an attempt that may have executed, as the rules on repeats need to know it. Its zero
// value stands for none.
type possibleExecution struct {
	endpoint *endpoint
	group    dedupGroup // of the endpoint when the attempt was sent
	sentAt   Seconds
}

// mayHaveExecuted tells whether an attempt that has ended, or is in doubt, may have executed.
func (r *request) mayHaveExecuted() bool { return r.firstExecution.endpoint != nil }

// recordPossibleExecution notes that an attempt may have executed, if it is the first one.
func (r *request) recordPossibleExecution(a *attempt) {
	if !r.mayHaveExecuted() {
		r.firstExecution = possibleExecution{endpoint: a.endpoint, group: a.group, sentAt: a.sentAt}
	}
}

// deduplicates tells whether an endpoint drops the request if it has executed already, where that is
// needed. An endpoint list may move the endpoint of the first execution to another group, and nothing
// tells whether its memory of keys moved along: so both its group then and its group now must agree.
func (r *request) deduplicates(e *endpoint) bool {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return true
	}
	scope, group := r.class.DedupScope, e.dedupGroup()
	return sameDedupGroup(scope, r.firstExecution.group, group) &&
		sameDedupGroup(scope, r.firstExecution.endpoint.dedupGroup(), group)
}

// idempotencyWindowEnd is the point in time at which the endpoints that may have executed the request
// cease to drop its repeats.
func (r *request) idempotencyWindowEnd() Seconds {
	return r.firstExecution.sentAt + r.class.IdempotencyWindow - clockUncertainty
}

// mayBeRetriedAt tells whether the request may be sent at a point in time although it may have executed.
func (r *request) mayBeRetriedAt(now Seconds) bool {
	switch {
	case !r.mayHaveExecuted(), r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotencyKey:
		return now <= r.idempotencyWindowEnd()
	}
	return false
}

// clientMayRetry tells whether the client may send the request again: no attempt can have executed, or the
// repeat does no harm wherever it arrives.
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
