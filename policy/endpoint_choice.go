package policy

// The choice of a server for an attempt.

import (
	"math"
)

// Times are in seconds.
const (
	smallFleetSize       = 12  // gateways, up to which each looks at all servers
	loadReportExpiry     = 3.0 // a load report counts for so long
	reusableIdleFraction = 0.4 // of the time after which idle ones close, for which they are counted on
	inFlightTimeConstant = 1.0 // memory of what this gateway keeps out at a server
)

// Times are in seconds.
const (
	minEndpointsConsidered = 2    // healthy servers looked at for a request, at least
	utilizationWeight      = 2.0  // attempts that a server's cores all busy stand for
	limitShareWeight       = 1.0  // of its part of the limit by its speed that a server may hold
	crossZoneWeight        = 25.0 // attempts out that the price of crossing zones stands for, a point of 1
	handshakeWeight        = 24.0 // the same for the price of a new connection
	sameEndpointWeight     = 4.0  // the same for a server that the request was sent to before
	outlierWeight          = 30.0 // how far
)

type endpoint struct {
	Endpoint
	hash                       uint16
	listed                     bool
	inFlight                   int
	latencyFactor              float64 // latency against the class's mean
	lastSentAt                 float64
	connections                int     // connections there, as far as attempts tell
	meanInFlight               float64 // mean attempts out here of late
	utilization, utilizationAt float64
	healthCheckedAt            float64        // last probe
	outlierScores              []outlierScore // by class
	lastSuccessAt              []float64
	consecutiveErrors          []int // by class: errors since it last answered
	consecutiveConnectFailures int   // attempts that found no connection, or lost it, since it last answered
	consecutiveRejections      int   // attempts it turned away since then
	ejectedUntil               float64
	slowStartCredit            float64 // while cold: what of a whole attempt is its part by now
	slowStartCreditAt          float64 // when it came to that
}

// connected tells that a connection to the server most likely stands idle.
func (g *Gateway) hasIdleConnection(s *endpoint) bool {
	return s.connections > s.inFlight && g.clock.now-s.lastSentAt <= reusableIdleFraction*g.settings.ConnectionIdleTimeout
}

// newServer is a server as a gateway knows it when it is first listed.
func newEndpoint(g *Gateway) *endpoint {
	n := len(g.classes.ordered)
	return &endpoint{
		latencyFactor: 1, utilizationAt: math.Inf(-1), outlierScores: make([]outlierScore, n), lastSuccessAt: make([]float64, n),
		consecutiveErrors: make([]int, n),
	}
}

// full tells that as much is out as may be. A part of one that is free is rounded up while answers
// are fast, and makes a pause while they are slow: many gateways that round up drive servers hard.
// The limit is a part of what all may have out, so it bounds a gateway's mean. Of many gateways some are
// always busy while others idle: each may go above its part by what chance does to few requests.
func (g *Gateway) atConcurrencyLimit(r *request) bool {
	free := g.concurrencyLimit + g.burstAllowance*math.Sqrt(g.concurrencyLimit) - float64(g.inFlight)
	part := free < 1 && g.latencyRatio >= highLatencyRatio
	return free <= 0 || part && g.clock.now-g.lastSentAt < max(r.class.meanLatency, g.meanAttemptDuration)/free
}

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) pickEndpoint(r *request) *endpoint {
	var best *endpoint
	low := math.Inf(1)
	if g.atConcurrencyLimit(r) {
		return nil
	}
	g.accrueCredits(r)
	many := g.settings.GatewayCount > smallFleetSize
	if many {
		if s := g.pickWarmingEndpoint(r); s != nil {
			return s
		}
	}
	// With many gateways each looks at a few servers only: all would pick the same one by the same news.
	n := len(g.endpointOrder)
	look, from := max(minEndpointsConsidered, n*smallFleetSize/g.settings.GatewayCount), g.rng.IntN(max(1, n))
	for k := 0; k < n && look > 0; k++ {
		s := g.endpointOrder[(from+k)%n]
		if s.State != InService || g.clock.now < s.ejectedUntil || g.warmUpFraction(s) < 1 && (many || !g.creditAvailable(s)) ||
			float64(s.inFlight) >= math.Ceil(limitShareWeight*g.concurrencyLimit/float64(n)/s.latencyFactor) ||
			!r.deduplicates(s) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does, but one
		// of many tells little of the rest.
		others := float64(min(g.settings.GatewayCount, smallFleetSize) - 1)
		load := float64(s.inFlight) + 1 + others*s.meanInFlight*math.Exp((s.lastSentAt-g.clock.now)/inFlightTimeConstant)
		if s.Zone != g.settings.Zone {
			load += crossZoneWeight * g.settings.CrossZoneCost
		}
		if !g.hasIdleConnection(s) {
			load += handshakeWeight * g.settings.HandshakeCost
		}
		if g.clock.now-s.utilizationAt < loadReportExpiry {
			load += utilizationWeight * s.utilization
		}
		for i := range r.attempts {
			if r.attempts[i].endpoint == s {
				load += sameEndpointWeight
			}
		}
		ill := g.outlierScore(s, r.class)
		if ill < suspectScore {
			look--
		}
		cost := load * s.latencyFactor * (1 + outlierWeight*ill*ill) * (1 + 0.02*g.rng.Float64())
		if cost < low {
			best, low = s, cost
		}
	}
	return best
}
