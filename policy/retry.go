package policy

// retryPolicy decides whether an attempt of a request is allowed, and expected to bring a reply in time: the
// first one as well as retries and hedges.
type retryPolicy struct {
	maxAttempts int // of one request
	clock       *eventClock
}

// newRetryPolicy returns the policy of the settings, which allows one attempt at least.
func newRetryPolicy(settings Settings, clock *eventClock) *retryPolicy {
	return &retryPolicy{maxAttempts: max(1, settings.MaxAttempts), clock: clock}
}

// allowsAttempt tells whether the request may have another attempt, as far as that does not depend on the
// endpoint; see request.deduplicates for what does.
func (p *retryPolicy) allowsAttempt(r *request) bool {
	switch {
	case len(r.attempts) >= p.maxAttempts:
		return false
	case !p.inTime(r):
		return false
	case !r.written && p.clock.now > r.firstWriteBy:
		return false
	}
	return r.mayBeRetriedAt(p.clock.now)
}

// inTime tells whether a reply to an attempt sent now is expected while it is useful.
func (p *retryPolicy) inTime(r *request) bool {
	return p.clock.now+r.class.meanLatency <= r.lastUsefulReplyAt()
}

// rejectionReason tells why allowsAttempt does not hold.
func (p *retryPolicy) rejectionReason(r *request) Reason {
	if len(r.attempts) > 0 && p.inTime(r) {
		return AttemptsExhausted
	}
	return DeadlineTooClose
}
