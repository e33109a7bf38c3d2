package policy

// minAttemptTimeout is the least timeout of an attempt, and the least time to write it in.
const minAttemptTimeout Seconds = 0.004

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	group           dedupGroup // of the endpoint when the attempt was sent
	sentAt          Seconds
	done            bool
	cancelled       bool // by this gateway
	noReplyRecorded bool // see attemptWatcher.recordNoReply
}

// replied tells whether the attempt ended with a reply of the endpoint.
func (s AttemptStatus) replied() bool { return s == OK || s == Error || s == Rejected }

// written tells whether bytes of the attempt may have reached the endpoint.
func (s AttemptStatus) written() bool { return s != ConnectFailed && s != NotSent }

// mayHaveExecuted tells whether the attempt may have executed.
func (s AttemptStatus) mayHaveExecuted() bool { return s != Rejected && s.written() }

// attemptSender sends, counts and cancels attempts.
type attemptSender struct {
	clock        *eventClock
	actions      Actions
	requests     *requestTable
	limiter      *concurrencyLimiter
	slowStart    *slowStart
	idleTimeout  Seconds // of connections
	cancellation bool    // whether attempts can be cancelled
	// adjustInFlight adds to the count of attempts in flight of the request's customer.
	adjustInFlight func(r *request, change int)
}

// send sends the request's next attempt to an endpoint. It times out when a reply is no longer useful.
func (s *attemptSender) send(r *request, e *endpoint) {
	e.observeSend(s.clock.now, r.class.meanLatency)
	s.start(r, e)
	s.slowStart.spendCredit(e, r.class)
	timeout := max(r.lastUsefulReplyAt()-s.clock.now, minAttemptTimeout)
	s.actions.Send(r.ID, e.ID, timeout, r.writeWithin(s.clock.now))
}

// start counts a new attempt as in flight. It is a step of send.
func (s *attemptSender) start(r *request, e *endpoint) {
	e.startAttempt(s.clock.now, s.idleTimeout)
	s.limiter.startAttempt()
	r.inFlight++
	s.adjustInFlight(r, 1)
	r.attempts = append(r.attempts, attempt{endpoint: e, group: e.dedupGroup(), sentAt: s.clock.now})
}

// end counts the attempt that ended with an outcome as no longer in flight. It returns nil if no such
// attempt is in flight.
func (s *attemptSender) end(outcome Outcome) (*request, *attempt) {
	r := s.requests.find(outcome.RequestID)
	if r == nil || outcome.Attempt < 0 || outcome.Attempt >= len(r.attempts) {
		return nil, nil
	}
	a := &r.attempts[outcome.Attempt]
	if a.done {
		return nil, nil
	}
	a.done = true
	a.endpoint.endAttempt(outcome.Status.replied())
	s.limiter.endAttempt()
	r.inFlight--
	s.adjustInFlight(r, -1)
	return r, a
}

// cancelAll cancels all attempts of a request that are in flight, if attempts can be cancelled.
func (s *attemptSender) cancelAll(r *request) {
	if !s.cancellation {
		return
	}
	for index := range r.attempts {
		if a := &r.attempts[index]; !a.done && !a.cancelled {
			s.cancel(r, index)
		}
	}
}

// cancel cancels one attempt. Its outcome follows.
func (s *attemptSender) cancel(r *request, index int) {
	r.attempts[index].cancelled = true
	s.actions.Cancel(r.ID, index)
}

// writeWithin is the time within which an attempt that is sent now must be written, 0 for at any time. A
// repeat may have to wait for a connection, and must not be written after the end of its idempotency
// window.
func (r *request) writeWithin(now Seconds) Seconds {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return 0
	}
	return max(r.idempotencyWindowEnd()-now, minAttemptTimeout)
}

// recordStatus notes what the end of an attempt tells of the request: whether it was written, and whether
// it may have executed.
func (r *request) recordStatus(a *attempt, status AttemptStatus) {
	r.written = r.written || status.written()
	if status.mayHaveExecuted() {
		r.recordPossibleExecution(a)
	}
}
