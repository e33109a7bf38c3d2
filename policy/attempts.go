package policy

// Attempts: their start and end, further tries, and copies beside an attempt in doubt.

import (
	"math"
)

const deadlineMargin = 0.004 // margin on deadlines, in seconds

type attempt struct {
	endpoint        *endpoint
	group           dedupGroup // of the server as it was sent there
	sentAt          float64
	done            bool
	cancelled       bool // cancelled by us
	silenceRecorded bool // its silence was taken in
}

// begin counts an attempt as out.
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

// ended finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) endAttempt(o Outcome) (*request, *attempt) {
	r := g.requests[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.endpoint.inFlight--
	if o.Status != OK && o.Status != Error && o.Status != Rejected {
		a.endpoint.connections = max(a.endpoint.connections-1, 0) // what is given up takes its connection with it
	}
	g.inFlight--
	r.inFlight--
	g.adjustInFlight(r, -1)
	return r, a
}

func (g *Gateway) sendAttempt(r *request, s *endpoint) {
	s.meanInFlight = s.meanInFlight*math.Exp((s.lastSentAt-g.clock.now)/inFlightTimeConstant) + min(s.latencyFactor*r.class.meanLatency/inFlightTimeConstant, 1)
	g.startAttempt(r, s)
	if g.warmUpFraction(s) < 1 {
		s.slowStartCredit -= g.relativeCost(r)
	}
	whole := 0.0
	if r.firstExecuted != nil && r.class.Idempotency == IdempotencyKey {
		whole = max(r.idempotencyWindowEnd()-g.clock.now, deadlineMargin) // what is sent once a dial is up must keep the window too
	}
	g.actions.Send(r.ID, s.ID, max(r.lastUsefulReplyAt()-g.clock.now, deadlineMargin), whole)
}

// Outcome takes the end of an attempt.
func (g *Gateway) HandleOutcome(now float64, o Outcome) {
	g.clock.advance(now)
	r, a := g.endAttempt(o)
	if r == nil {
		return
	}
	g.recordLoadReport(a.endpoint, o.Load)
	g.recordOutcome(r, a, o)
	r.written = r.written || o.Status != ConnectFailed && o.Status != NotSent
	if o.Status != Rejected && o.Status != ConnectFailed && o.Status != NotSent {
		r.recordFirstExecuted(a)
	}
	if o.Status == OK && g.settings.ActualUnitsInReply && r.charged && o.ActualUnits > 0 {
		g.charge(r.customer, o.ActualUnits-r.Units)
	}
	if r.done || o.RequestDone || o.Status == OK {
		g.finishRequest(r)
	} else if r.inFlight == 0 && !r.streaming {
		g.dispatch(r)
	}
	g.dispatchQueued()
	g.retryQueued()
}
