package policy

// retryPolicy decides whether an attempt of a request may be sent: the first one, a retry or a hedge.
type retryPolicy struct {
	maxAttempts int // per request
	clock       *eventClock
}

// newRetryPolicy returns the policy for the settings. A Settings.MaxAttempts below 1 counts as 1.
func newRetryPolicy(settings Settings, clock *eventClock) *retryPolicy {
	return &retryPolicy{maxAttempts: max(1, settings.MaxAttempts), clock: clock}
}

// allowsAttempt reports whether an attempt of the request may be sent. endpointPicker decides which endpoint,
// if any, receives it.
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

// inTime reports whether an attempt sent now is expected to get a useful reply; see lastUsefulReplyAt.
func (p *retryPolicy) inTime(r *request) bool {
	return p.clock.now+r.class.meanLatency <= r.lastUsefulReplyAt()
}

// rejectionReason returns the reason for rejecting a request after allowsAttempt has returned false.
func (p *retryPolicy) rejectionReason(r *request) Reason {
	if len(r.attempts) > 0 && p.inTime(r) {
		return AttemptsExhausted
	}
	return DeadlineTooClose
}
