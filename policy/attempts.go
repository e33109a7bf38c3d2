package policy

import "math"

// deadlineMargin is the least timeout of an attempt, and the least time to write it in.
const deadlineMargin Seconds = 0.004

// attempt is one send of a request to an endpoint.
type attempt struct {
	endpoint        *endpoint
	group           dedupGroup // of the endpoint when the attempt was sent
	sentAt          Seconds
	done            bool
	cancelled       bool // by this gateway
	silenceRecorded bool // see Gateway.recordSilence
}

// replied tells whether the attempt ended with a reply of the endpoint.
func (s AttemptStatus) replied() bool { return s == OK || s == Error || s == Rejected }

// written tells whether bytes of the attempt may have reached the endpoint.
func (s AttemptStatus) written() bool { return s != ConnectFailed && s != NotSent }

// mayHaveExecuted tells whether the attempt may have executed.
func (s AttemptStatus) mayHaveExecuted() bool { return s != Rejected && s.written() }

// sendAttempt sends the request's next attempt to an endpoint. It times out when a reply is no longer useful.
func (g *Gateway) sendAttempt(r *request, s *endpoint) {
	s.meanInFlight = s.meanInFlight*math.Exp((s.lastSentAt-g.clock.now)/inFlightTimeConstant) + min(s.latencyFactor*r.class.meanLatency/inFlightTimeConstant, 1)
	g.startAttempt(r, s)
	if g.warmUpFraction(s) < 1 {
		s.slowStartCredit -= g.relativeCost(r)
	}
	timeout := max(r.lastUsefulReplyAt()-g.clock.now, deadlineMargin)
	g.actions.Send(r.ID, s.ID, timeout, r.writeWithin(g.clock.now))
}

// writeWithin is the time within which an attempt that is sent now must be written, 0 for at any time. A repeat
// may have to wait for a connection, and must not be written after the end of its idempotency window.
func (r *request) writeWithin(now Seconds) Seconds {
	if !r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey {
		return 0
	}
	return max(r.idempotencyWindowEnd()-now, deadlineMargin)
}

// startAttempt counts a new attempt as in flight.
func (g *Gateway) startAttempt(r *request, s *endpoint) {
	if g.clock.now-s.lastSentAt > reusableIdleFraction*g.settings.ConnectionIdleTimeout {
		s.connections = s.inFlight
	}
	s.inFlight++
	s.connections = max(s.connections, s.inFlight)
	g.inFlight++
	r.inFlight++
	g.lastSentAt, s.lastSentAt = g.clock.now, g.clock.now
	g.adjustInFlight(r, 1)
	r.attempts = append(r.attempts, attempt{endpoint: s, group: s.dedupGroup(), sentAt: g.clock.now})
}

// endAttempt counts the attempt that ended with an outcome as no longer in flight. It returns nil if no such
// attempt is in flight.
func (g *Gateway) endAttempt(outcome Outcome) (*request, *attempt) {
	r := g.requests.find(outcome.RequestID)
	if r == nil || outcome.Attempt < 0 || outcome.Attempt >= len(r.attempts) || r.attempts[outcome.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[outcome.Attempt]
	a.done = true
	a.endpoint.inFlight--
	if !outcome.Status.replied() {
		a.endpoint.connections = max(a.endpoint.connections-1, 0) // what is given up takes its connection with it
	}
	g.inFlight--
	r.inFlight--
	g.adjustInFlight(r, -1)
	return r, a
}

// recordStatus notes what the end of an attempt tells of the request: whether it was written, and whether it may
// have executed.
func (r *request) recordStatus(a *attempt, status AttemptStatus) {
	r.written = r.written || status.written()
	if status.mayHaveExecuted() {
		r.recordPossibleExecution(a)
	}
}

// chargeActualUnits replaces the estimate of a request's units, which it was charged, by the actual ones that
// its reply brought.
func (g *Gateway) chargeActualUnits(r *request, outcome Outcome) {
	if outcome.Status == OK && g.settings.ActualUnitsInReply && r.charged && outcome.ActualUnits > 0 {
		g.charge(r.customer, outcome.ActualUnits-r.Units)
	}
}

// finishOrRetry ends a request whose attempt was the last one needed, and retries it if no other attempt is in
// flight.
func (g *Gateway) finishOrRetry(r *request, outcome Outcome) {
	if r.done || outcome.RequestDone || outcome.Status == OK {
		g.finishRequest(r)
	} else if r.inFlight == 0 && !r.streaming {
		g.dispatch(r)
	}
}

// cancelAttempts cancels all attempts of a request that are in flight.
func (g *Gateway) cancelAttempts(r *request) {
	for index := range r.attempts {
		if a := &r.attempts[index]; !a.done && !a.cancelled {
			g.cancelAttempt(r, index)
		}
	}
}

// cancelAttempt cancels one attempt. Its outcome follows.
func (g *Gateway) cancelAttempt(r *request, index int) {
	r.attempts[index].cancelled = true
	g.actions.Cancel(r.ID, index)
}
