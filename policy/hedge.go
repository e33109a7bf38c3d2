package policy

import "slices"

const (
	hedgeLatencies         = 4.0 // and others after so many mean latencies
	silentLatencies        = 6.0 // a server that answers nothing for so many mean latencies is in doubt
	hedgeObjectiveFraction = 0.4 // of the aim: an attempt in doubt this old is tried elsewhere
)

// watch looks at the attempts that are out: a server that leaves a class unanswered for long is sick
// for it, and what waits is tried elsewhere where allowed.
func (g *Gateway) watchOpenRequests() {
	g.openRequests = slices.DeleteFunc(g.openRequests, func(r *request) bool { return r.done && r.inFlight == 0 })
	for _, r := range g.openRequests {
		if r.awaitingOwner && g.clock.now+timerInterval > min(r.lastUsefulReplyAt()-r.class.meanLatency, r.firstWriteBy) {
			g.reject(r, OwnerUnreachable)
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.done && !a.silenceRecorded && g.clock.since(a.sentAt) > max(silentLatencies*r.class.meanLatency, minGossipInterval) &&
				a.endpoint.lastSuccessAt[r.class.index] < a.sentAt {
				a.silenceRecorded = true
				g.recordFailure(a.endpoint, r.class, 1)
			}
		}
		if r.done || r.streaming || r.inFlight != 1 || r.class.Idempotency == NonIdempotent {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		age, ill := g.clock.since(a.sentAt), g.outlierScore(a.endpoint, r.class) > suspectScore
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
