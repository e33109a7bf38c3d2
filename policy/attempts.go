package policy

// minAttemptTimeout is the minimum timeout of an attempt, and the minimum time allowed for writing it.
const minAttemptTimeout Seconds = 0.004

// attempt is one transmission of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	group           dedupGroup // of the endpoint at sentAt; the endpoint may move later
	address         string     // of the endpoint at sentAt
	sentAt          Seconds
	done            bool
	mayHaveExecuted bool         // set when the attempt ends
	otherGroups     []dedupGroup // of other processes that may have received the attempt at address
	cancelled       bool         // whether this gateway has requested its cancellation
	noReplyRecorded bool         // set by attemptWatcher.recordNoReply
}

// replied reports whether the attempt ended with a reply from the endpoint.
func (s AttemptStatus) replied() bool { return s == OK || s == Error || s == Rejected }

// written reports whether the attempt may have been completely written to the endpoint.
func (s AttemptStatus) written() bool { return s != ConnectFailed && s != NotSent }

// mayHaveExecuted reports whether the endpoint may have executed the attempt.
func (s AttemptStatus) mayHaveExecuted() bool { return s != Rejected && s.written() }

// attemptSender sends, counts and cancels attempts.
type attemptSender struct {
	clock        *eventClock
	actions      Actions
	requests     *requestTable
	limiter      *concurrencyLimiter
	slowStart    *slowStart
	endpoints    *endpointTable
	idleTimeout  Seconds // time after which endpoints close idle connections
	cancellation bool    // whether attempts can be cancelled
	// adjustInFlight adds change to the number of attempts in flight of the request's customer.
	adjustInFlight func(r *request, change int)
}

// send sends the next attempt of a request to an endpoint. The attempt times out at lastUsefulReplyAt, but
// minAttemptTimeout after now at the earliest.
func (s *attemptSender) send(r *request, e *endpoint) {
	e.observeSend(s.clock.now, r.class.meanLatency)
	s.start(r, e)
	s.slowStart.spendCredit(e, r.class)
	timeout := max(r.lastUsefulReplyAt()-s.clock.now, minAttemptTimeout)
	s.actions.Send(r.ID, e.ID, timeout, r.writeWithin(s.clock.now))
}

// start adds an attempt to the request and counts it as in flight.
func (s *attemptSender) start(r *request, e *endpoint) {
	e.startAttempt(s.clock.now, s.idleTimeout)
	s.limiter.startAttempt()
	r.inFlight++
	s.adjustInFlight(r, 1)
	a := attempt{endpoint: e, group: e.dedupGroup(), address: e.Address, sentAt: s.clock.now}
	a.recordOther(s.endpoints.latestAt(e.Address))
	r.attempts = append(r.attempts, a)
}

// end marks the attempt of an outcome as ended, and returns it with its request. It returns nil, nil if no
// such attempt is in flight.
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

// cancelAll cancels the attempts of a request that are in flight, if attempts can be cancelled.
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

// cancel requests the cancellation of an attempt. The attempt stays in flight until HandleOutcome reports its
// end.
func (s *attemptSender) cancel(r *request, index int) {
	r.attempts[index].cancelled = true
	s.actions.Cancel(r.ID, index)
}

// writeWithin returns the time within which an attempt sent now must be written, or 0 for no limit. If a
// request with an idempotency key may have executed, its next attempt must be written before
// idempotencyWindowEnd, because endpoints no longer drop it as a duplicate afterwards. In this case the
// result is at least minAttemptTimeout.
func (r *request) writeWithin(now Seconds) Seconds {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return 0
	}
	return max(r.idempotencyWindowEnd()-now, minAttemptTimeout)
}

// recordStatus records whether an attempt may have been written and whether it may have executed.
func (r *request) recordStatus(a *attempt, status AttemptStatus) {
	r.written = r.written || status.written()
	a.mayHaveExecuted = status.mayHaveExecuted()
	if a.mayHaveExecuted {
		r.recordPossibleExecution(a)
	}
}
