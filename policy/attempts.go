package policy

// Attempts: their start and end, further tries, and copies beside an attempt in doubt.

import (
	"slices"
)

// Times are in seconds.
const (
	clockUncertainty = 0.05 // added to a verdict's age
)

// Times are in seconds.
const (
	hedgeLatencies         = 4.0   // and others after so many mean latencies
	silentLatencies        = 6.0   // a server that answers nothing for so many mean latencies is in doubt
	hedgeObjectiveFraction = 0.4   // of the aim: an attempt in doubt this old is tried elsewhere
	deadlineMargin         = 0.004 // margin on deadlines
)

type attempt struct {
	endpoint        *endpoint
	group           group // of the server as it was sent there
	sentAt          float64
	done            bool
	cancelled       bool // cancelled by us
	silenceRecorded bool // its silence was taken in
}

// group is where a server stands among those that drop the repeats of the same key.
type group struct {
	zone string
	cell int
}

func (s *endpoint) group() group { return group{s.Zone, s.Cell} }

// sameGroup tells whether the servers of two groups drop the repeats of the same key.
func sameGroup(scope DedupScope, a, b group) bool {
	return scope == DedupFleet || a.zone == b.zone && (scope == DedupZone || a.cell == b.cell)
}

// mayHaveRun notes the first attempt that may have run.
func (r *request) recordFirstExecuted(a *attempt) {
	if r.firstExecuted == nil {
		r.firstExecuted, r.firstExecutedGroup, r.firstExecutedAt = a.endpoint, a.group, a.sentAt
	}
}

// drops tells whether a server drops the request if it has run already. The group of the one where it may
// have counts as it was then, and as it is by now: a list may change it.
func (r *request) deduplicates(s *endpoint) bool {
	return r.firstExecuted == nil || r.class.Idempotency != IdempotencyKey ||
		sameGroup(r.class.DedupScope, r.firstExecutedGroup, s.group()) && sameGroup(r.class.DedupScope, r.firstExecuted.group(), s.group())
}

// begin counts an attempt as out.
func (g *Gateway) startAttempt(r *request, s *endpoint) {
	s.startAttempt(g.clock.now, g.settings.ConnectionIdleTimeout)
	g.inFlight++
	r.inFlight++
	g.lastSentAt = g.clock.now
	g.adjustInFlight(r, 1)
	r.attempts = append(r.attempts, attempt{endpoint: s, group: s.group(), sentAt: g.clock.now})
}

// ended finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) endAttempt(o Outcome) (*request, *attempt) {
	r := g.requests[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.endpoint.endAttempt(o.Status == OK || o.Status == Error || o.Status == Rejected)
	g.inFlight--
	r.inFlight--
	g.adjustInFlight(r, -1)
	return r, a
}

func (g *Gateway) sendAttempt(r *request, s *endpoint) {
	s.observeSend(g.clock.now, r.class.meanLatency)
	g.startAttempt(r, s)
	if g.warmUpFraction(s) < 1 {
		s.slowStartCredit -= g.relativeCost(r)
	}
	whole := 0.0
	if r.firstExecuted != nil && r.class.Idempotency == IdempotencyKey {
		whole = max(r.idempotencyWindowEnd()-g.clock.now, deadlineMargin) // what is sent once a dial is up must keep the window too
	}
	g.actions.Send(r.ID, s.ID, max(r.lastUsefulAt()-g.clock.now, deadlineMargin), whole)
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

// endAt is when an answer is no longer worth the servers' work: after the aim, for
// the share of the time left in which it still earns something.
func (r *request) lastUsefulAt() float64 {
	return r.objectiveAt + r.class.LateWeightFraction*max(r.Deadline-r.objectiveAt, 0)
}

// mayRetry tells whether another attempt is allowed and worth it.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= max(1, g.settings.MaxAttempts) || g.clock.now+r.class.meanLatency > r.lastUsefulAt() ||
		!r.written && g.clock.now > r.firstWriteBy {
		return false
	}
	return r.firstExecuted == nil || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotencyKey && g.clock.now <= r.idempotencyWindowEnd()
}

// whyNoRetry tells why mayRetry does not hold.
func (g *Gateway) retryRefusal(r *request) Reason {
	if len(r.attempts) > 0 && g.clock.now+r.class.meanLatency <= r.lastUsefulAt() {
		return AttemptsExhausted
	}
	return DeadlineTooClose
}

// windowEnd is when the servers that may have run a keyed request cease to drop its repeats.
func (r *request) idempotencyWindowEnd() float64 {
	return r.firstExecutedAt + r.class.IdempotencyWindow - clockUncertainty
}

// watch looks at the attempts that are out: a server that leaves a class unanswered for long is sick
// for it, and what waits is tried elsewhere where allowed.
func (g *Gateway) watchAttempts() {
	g.openRequests = slices.DeleteFunc(g.openRequests, func(r *request) bool { return r.done && r.inFlight == 0 })
	for _, r := range g.openRequests {
		if r.awaitingOwner && g.clock.now+timerInterval > min(r.lastUsefulAt()-r.class.meanLatency, r.firstWriteBy) {
			g.reject(r, OwnerUnreachable)
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.done && !a.silenceRecorded && g.clock.since(a.sentAt) > max(silentLatencies*r.class.meanLatency, minGossipInterval) &&
				a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
				a.silenceRecorded = true
				g.outliers.recordFailure(a.endpoint, r.class.index, silenceScore)
			}
		}
		if r.done || r.streaming || r.inFlight != 1 || r.class.Idempotency == NonIdempotent {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		age, ill := g.clock.since(a.sentAt), g.outliers.score(a.endpoint, r.class.index) > suspectScore
		early := !ill && (!g.settings.Hedging || age < hedgeLatencies*r.class.meanLatency || len(g.dispatchQueue) > 0)
		if early || a.done || a.cancelled || age < hedgeObjectiveFraction*r.class.LatencyObjective {
			continue
		}
		ran := r.firstExecuted
		r.recordFirstExecuted(a)
		s := (*endpoint)(nil)
		if g.mayRetry(r) {
			s = g.pickEndpoint(r)
		}
		switch {
		case s == nil || s == a.endpoint:
			r.firstExecuted = ran
		case g.settings.Hedging:
			g.sendAttempt(r, s)
		case g.settings.Cancellation:
			a.cancelled = true
			g.actions.Cancel(r.ID, len(r.attempts)-1)
		}
	}
	g.updateLoadEstimates()
}
