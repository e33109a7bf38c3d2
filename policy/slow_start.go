package policy

// Slow start: what cold servers get of the work, by turns of the gateways.

import (
	"math"
)

// Times are in seconds.
const (
	minCarried = 0.5  // of what is offered, taken for carried: a gateway that is new has carried nothing yet
	turnMin    = 0.15 // of its part of all work, that a cold server gets from many gateways,
	turnRise   = 0.65 // and so much more by the share of its capacity that it has
	turnUnsafe = 0.35 // with less of that it gets nothing that must not run twice
)

// coldShare is the least part of its capacity that the server must have by now.
func (g *Gateway) coldShare(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt <= 0 || age >= g.s.SlowStartDuration || g.s.SlowStartDuration <= 0 {
		return 1
	}
	return g.s.SlowStartMinCapacity + (1-g.s.SlowStartMinCapacity)*max(age, 0)/g.s.SlowStartDuration
}

// inMeans is an attempt's work in that of a mean one.
func (g *Gateway) inMeans(r *request) float64 {
	if g.meanLat <= 0 {
		return 1
	}
	return r.cls.lat / g.meanLat
}

// firstTurn is where this gateway's turns at a server begin: those of all gateways are spread evenly.
func (g *Gateway) firstTurn(s *server) float64 {
	_, at := math.Modf(float64(g.s.Self)*math.Phi + float64(s.hash)/(1<<16))
	return at
}

// weigh brings the work that is asked for, and what the servers can do, up to now.
func (g *Gateway) weigh() {
	g.work *= math.Exp((g.workAt - g.now) / demandTauS)
	fade := math.Exp((g.workAt - g.now) / max(g.s.SlowStartDuration, demandTauS))
	g.offered, g.carried = g.offered*fade, g.carried*fade
	tries, sum := 0.0, 0.0
	for _, c := range g.classList {
		tries, sum = tries+c.tries, sum+c.tries*c.lat
	}
	g.meanLat = sum / max(tries, 1)
	g.workAt, g.shares, g.coldShares, g.up = g.now, 0, 0, 0
	for _, s := range g.order {
		if s.State == InService { // also those left alone for a moment: others must not get their part as well
			share := g.coldShare(s)
			g.up++
			if g.shares += share; share < 1 {
				g.coldShares += share
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
func (g *Gateway) turns(r *request) {
	if r.counted || r.later {
		return
	}
	r.counted = true
	r.cls.tries++
	g.offered += r.cls.lat
	for _, s := range g.order {
		if share := g.coldShare(s); share < 1 && s.State == InService && g.now >= s.downUntil {
			if s.slowStartTurn >= 1 && g.now-s.slowStartTurnAt > g.s.OverloadWindow {
				s.slowStartTurn = 0 // turns that many could not take must not all be taken at once
			}
			if s.slowStartTurn < 1 {
				s.slowStartTurn, s.slowStartTurnAt = min(s.slowStartTurn+g.coldPart(share)*g.inMeans(r), 1), g.now
			}
		}
	}
}

// coldPart is the part of this gateway's work that a cold server may have. A warm one can do at least what
// it has carried, so what the settings allow a cold one is a multiple of its part of that. The less it can
// do, the more its load swings: from many gateways, which can't see that, it gets less as long as others
// can take the rest.
func (g *Gateway) coldPart(share float64) float64 {
	most := share * g.s.OverloadMultiple / max(g.up, 1) * min(max(g.carried/max(g.offered, 1e-9), minCarried), 1)
	if g.s.GatewayCount <= lookAtAllUpTo {
		return most
	}
	all := max(g.shares, share)
	return min(most, max(share*(turnMin+turnRise*share)/all, most*math.Pow(g.coldShares/all, 2)))
}

// turnDue tells that it is this gateway's turn at a cold server.
func (g *Gateway) turnDue(s *server) bool {
	return s.slowStartTurn >= 1 && g.now-s.slowStartTurnAt <= g.s.OverloadWindow && s.inflight < 2
}

// coldTurn picks the cold server of many gateways whose turn it is, nil if there is none for this request.
func (g *Gateway) coldTurn(r *request) *server {
	for _, s := range g.order {
		share := g.coldShare(s)
		if share < 1 && s.State == InService && g.now >= s.downUntil && g.turnDue(s) &&
			g.sickness(s, r.cls) < hedgeSick && (share >= turnUnsafe || r.cls.Idempotency != NonIdempotent) &&
			(r.ran == nil || r.cls.Idempotency != IdempotencyKey) {
			return s
		}
	}
	return nil
}
