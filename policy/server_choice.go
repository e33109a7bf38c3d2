package policy

// The choice of a server for an attempt.

import (
	"math"
)

// Times are in seconds.
const (
	minServersLooked = 2    // healthy servers looked at for a request, at least
	utilWeight       = 2.0  // attempts that a server's cores all busy stand for
	partWeight       = 1.0  // of its part of the limit by its speed that a server may hold
	crossWeight      = 25.0 // attempts out that the price of crossing zones stands for, a point of 1
	connWeight       = 24.0 // the same for the price of a new connection
	againWeight      = 4.0  // the same for a server that the request was sent to before
	sickWeight       = 30.0 // how far
)

type server struct {
	Endpoint
	hash            uint16
	listed          bool
	inflight        int
	speed           float64 // latency against the class's mean
	sentAt          float64
	conns           int     // connections there, as far as attempts tell
	busy            float64 // mean attempts out here of late
	util, utilAt    float64
	askedAt         float64 // last probe
	sick            []sick  // by class
	okAt            []float64
	errs            []int // by class: errors since it last answered
	broken          int   // attempts that found no connection, or lost it, since it last answered
	fulls           int   // attempts it turned away since then
	downUntil       float64
	slowStartTurn   float64 // while cold: what of a whole attempt is its part by now
	slowStartTurnAt float64 // when it came to that
}

// connected tells that a connection to the server most likely stands idle.
func (g *Gateway) connected(s *server) bool {
	return s.conns > s.inflight && g.now-s.sentAt <= connShare*g.s.ConnectionIdleTimeout
}

// newServer is a server as a gateway knows it when it is first listed.
func newServer(g *Gateway) *server {
	n := len(g.classList)
	return &server{speed: 1, utilAt: math.Inf(-1), sick: make([]sick, n), okAt: make([]float64, n),
		errs: make([]int, n)}
}

// full tells that as much is out as may be. A part of one that is free is rounded up while answers
// are fast, and makes a pause while they are slow: many gateways that round up drive servers hard.
// The limit is a part of what all may have out, so it bounds a gateway's mean. Of many gateways some are
// always busy while others idle: each may go above its part by what chance does to few requests.
func (g *Gateway) full(r *request) bool {
	free := g.limit + g.swing*math.Sqrt(g.limit) - float64(g.out)
	part := free < 1 && g.stretch >= stretchHigh
	return free <= 0 || part && g.now-g.sentAt < max(r.cls.lat, g.spent)/free
}

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) choose(r *request) *server {
	var best *server
	low := math.Inf(1)
	if g.full(r) {
		return nil
	}
	g.turns(r)
	many := g.s.GatewayCount > lookAtAllUpTo
	if many {
		if s := g.coldTurn(r); s != nil {
			return s
		}
	}
	// With many gateways each looks at a few servers only: all would pick the same one by the same news.
	n := len(g.order)
	look, from := max(minServersLooked, n*lookAtAllUpTo/g.s.GatewayCount), g.rng.IntN(max(1, n))
	for k := 0; k < n && look > 0; k++ {
		s := g.order[(from+k)%n]
		if s.State != InService || g.now < s.downUntil || g.coldShare(s) < 1 && (many || !g.turnDue(s)) ||
			float64(s.inflight) >= math.Ceil(partWeight*g.limit/float64(n)/s.speed) ||
			!r.drops(s) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does, but one
		// of many tells little of the rest.
		others := float64(min(g.s.GatewayCount, lookAtAllUpTo) - 1)
		load := float64(s.inflight) + 1 + others*s.busy*math.Exp((s.sentAt-g.now)/busyTauS)
		if s.Zone != g.s.Zone {
			load += crossWeight * g.s.CrossZoneCost
		}
		if !g.connected(s) {
			load += connWeight * g.s.HandshakeCost
		}
		if g.now-s.utilAt < utilS {
			load += utilWeight * s.util
		}
		for i := range r.attempts {
			if r.attempts[i].srv == s {
				load += againWeight
			}
		}
		ill := g.sickness(s, r.cls)
		if ill < hedgeSick {
			look--
		}
		cost := load * s.speed * (1 + sickWeight*ill*ill) * (1 + 0.02*g.rng.Float64())
		if cost < low {
			best, low = s, cost
		}
	}
	return best
}
