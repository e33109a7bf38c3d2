package policy

// Slow start: what cold servers get of the work, by turns of the gateways.

import (
	"math"
)

// slowStart holds the estimates from which warming endpoints get their share.
type slowStart struct {
	admittedWork    float64 // a second that quotas let in
	admittedWorkAt  float64
	warmedCapacity  float64 // of their capacity that the servers have by now, in sum
	inServiceCount  float64 // so many of them
	warmingCapacity float64 // of them those that are cold
	offeredWork     float64 // first tries' work, and what was answered, over about the time of a cold start
	completedWork   float64 // first tries' work, and what was answered, over about the time of a cold start
	meanLatency     float64 // of the attempts, which stands for their mean work
}

// Times are in seconds.
const (
	minCompletedFraction   = 0.5  // of what is offered, taken for carried: a gateway that is new has carried nothing yet
	minSlowStartShare      = 0.15 // of its part of all work, that a cold server gets from many gateways,
	slowStartShareRise     = 0.65 // and so much more by the share of its capacity that it has
	minNonIdempotentWarmUp = 0.35 // with less of that it gets nothing that must not run twice
)

// coldShare is the least part of its capacity that the server must have by now.
func (g *Gateway) warmUpFraction(s *endpoint) float64 {
	age := g.clock.now - s.StartedAt
	if s.StartedAt <= 0 || age >= g.settings.SlowStartDuration || g.settings.SlowStartDuration <= 0 {
		return 1
	}
	return g.settings.SlowStartMinCapacity + (1-g.settings.SlowStartMinCapacity)*max(age, 0)/g.settings.SlowStartDuration
}

// inMeans is an attempt's work in that of a mean one.
func (g *Gateway) relativeCost(r *request) float64 {
	if g.meanLatency <= 0 {
		return 1
	}
	return r.class.meanLatency / g.meanLatency
}

// firstTurn is where this gateway's turns at a server begin: those of all gateways are spread evenly.
func (g *Gateway) initialCredit(s *endpoint) float64 {
	_, at := math.Modf(float64(g.settings.Self)*math.Phi + float64(s.hash)/(1<<16))
	return at
}

// weigh brings the work that is asked for, and what the servers can do, up to now.
func (g *Gateway) updateLoadEstimates() {
	g.admittedWork *= math.Exp((g.admittedWorkAt - g.clock.now) / demandTimeConstant)
	fade := math.Exp((g.admittedWorkAt - g.clock.now) / max(g.settings.SlowStartDuration, demandTimeConstant))
	g.offeredWork, g.completedWork = g.offeredWork*fade, g.completedWork*fade
	tries, sum := 0.0, 0.0
	for _, c := range g.classes.ordered {
		tries, sum = tries+c.firstAttempts, sum+c.firstAttempts*c.meanLatency
	}
	g.meanLatency = sum / max(tries, 1)
	g.admittedWorkAt, g.warmedCapacity, g.warmingCapacity, g.inServiceCount = g.clock.now, 0, 0, 0
	for _, s := range g.endpointOrder {
		if s.State == InService { // also those left alone for a moment: others must not get their part as well
			share := g.warmUpFraction(s)
			g.inServiceCount++
			if g.warmedCapacity += share; share < 1 {
				g.warmingCapacity += share
			}
		}
	}
}

// turns gives each cold server its part of a request: what it may have of all work by what it can do. The
// work of a whole one is a turn, and from then on one attempt may go there. Gateways begin at other points
// of it, by their numbers, so that their turns follow each other: all together send what the parts add up
// to, whatever each sees. That never goes above a share of what the settings allow, not even where most
// servers are cold and what is asked for is more than they can do: what finds no turn waits. Further
// attempts, and later tries of clients, take turns but bring none, as there are most of them where servers
// are overloaded.
func (g *Gateway) accrueCredits(r *request) {
	if r.creditsAccrued || r.likelyRetry {
		return
	}
	r.creditsAccrued = true
	r.class.firstAttempts++
	g.offeredWork += r.class.meanLatency
	for _, s := range g.endpointOrder {
		if share := g.warmUpFraction(s); share < 1 && s.State == InService && g.clock.now >= s.ejectedUntil {
			if s.slowStartCredit >= 1 && g.clock.now-s.slowStartCreditAt > g.settings.OverloadWindow {
				s.slowStartCredit = 0 // turns that many could not take must not all be taken at once
			}
			if s.slowStartCredit < 1 {
				s.slowStartCredit, s.slowStartCreditAt = min(s.slowStartCredit+g.creditPerRequest(share)*g.relativeCost(r), 1), g.clock.now
			}
		}
	}
}

// coldPart is the part of this gateway's work that a cold server may have. A warm one can do at least what
// it has carried, so what the settings allow a cold one is a multiple of its part of that. The less it can
// do, the more its load swings: from many gateways, which can't see that, it gets less as long as others
// can take the rest.
func (g *Gateway) creditPerRequest(share float64) float64 {
	most := share * g.settings.OverloadMultiple / max(g.inServiceCount, 1) * min(max(g.completedWork/max(g.offeredWork, 1e-9), minCompletedFraction), 1)
	if g.settings.GatewayCount <= smallFleetSize {
		return most
	}
	all := max(g.warmedCapacity, share)
	return min(most, max(share*(minSlowStartShare+slowStartShareRise*share)/all, most*math.Pow(g.warmingCapacity/all, 2)))
}

// turnDue tells that it is this gateway's turn at a cold server.
func (g *Gateway) creditAvailable(s *endpoint) bool {
	return s.slowStartCredit >= 1 && g.clock.now-s.slowStartCreditAt <= g.settings.OverloadWindow && s.inFlight < 2
}

// coldTurn picks the cold server of many gateways whose turn it is, nil if there is none for this request.
func (g *Gateway) pickWarmingEndpoint(r *request) *endpoint {
	for _, s := range g.endpointOrder {
		share := g.warmUpFraction(s)
		if share < 1 && s.State == InService && g.clock.now >= s.ejectedUntil && g.creditAvailable(s) &&
			g.outlierScore(s, r.class) < suspectScore && (share >= minNonIdempotentWarmUp || r.class.Idempotency != NonIdempotent) &&
			(!r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey) {
			return s
		}
	}
	return nil
}
