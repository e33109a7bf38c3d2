package policy

// The choice of a server for an attempt.

import (
	"math"
)

// Times are in seconds.
const (
	smallFleetSize = 12 // gateways, up to which each looks at all servers
)

// Times are in seconds.
const (
	minNonIdempotentWarmUp = 0.35 // with less of its capacity an endpoint gets no non-idempotent requests
	minEndpointsConsidered = 2    // healthy servers looked at for a request, at least
	utilizationWeight      = 2.0  // attempts that a server's cores all busy stand for
	limitShareWeight       = 1.0  // of its part of the limit by its speed that a server may hold
	crossZoneWeight        = 25.0 // attempts out that the price of crossing zones stands for, a point of 1
	handshakeWeight        = 24.0 // the same for the price of a new connection
	sameEndpointWeight     = 4.0  // the same for a server that the request was sent to before
	outlierWeight          = 30.0 // how far
)

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) pickEndpoint(r *request) *endpoint {
	var best *endpoint
	low := math.Inf(1)
	if g.limiter.atLimit(r.class.meanLatency) {
		return nil
	}
	g.slowStart.accrueCredits(r, g.endpoints.listed)
	many := g.settings.GatewayCount > smallFleetSize
	if many {
		if s := g.pickWarmingEndpoint(r); s != nil {
			return s
		}
	}
	// With many gateways each looks at a few servers only: all would pick the same one by the same news.
	n := len(g.endpoints.listed)
	look, from := max(minEndpointsConsidered, n*smallFleetSize/g.settings.GatewayCount), g.rng.IntN(max(1, n))
	for k := 0; k < n && look > 0; k++ {
		s := g.endpoints.listed[(from+k)%n]
		if !s.available(g.clock.now) || g.slowStart.warmUpFraction(s) < 1 && (many || !g.slowStart.creditAvailable(s)) ||
			float64(s.inFlight) >= math.Ceil(limitShareWeight*g.limiter.limit/float64(n)/s.latencyFactor) ||
			!r.deduplicates(s) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does, but one
		// of many tells little of the rest.
		others := float64(min(g.settings.GatewayCount, smallFleetSize) - 1)
		load := float64(s.inFlight) + 1 + others*s.meanInFlight*s.inFlightDecay(g.clock.now)
		if s.Zone != g.settings.Zone {
			load += crossZoneWeight * g.settings.CrossZoneCost
		}
		if !s.hasIdleConnection(g.clock.now, g.settings.ConnectionIdleTimeout) {
			load += handshakeWeight * g.settings.HandshakeCost
		}
		if s.utilizationKnown(g.clock.now) {
			load += utilizationWeight * s.utilization
		}
		for i := range r.attempts {
			if r.attempts[i].endpoint == s {
				load += sameEndpointWeight
			}
		}
		ill := g.outliers.score(s, r.class.index)
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

// pickWarmingEndpoint returns the first warming endpoint that may get the request's attempt, or nil.
func (g *Gateway) pickWarmingEndpoint(r *request) *endpoint {
	for _, s := range g.endpoints.listed {
		share := g.slowStart.warmUpFraction(s)
		if share < 1 && s.available(g.clock.now) && g.slowStart.creditAvailable(s) &&
			g.outliers.score(s, r.class.index) < suspectScore && (share >= minNonIdempotentWarmUp || r.class.Idempotency != NonIdempotent) &&
			(!r.mayHaveExecuted() || r.class.Idempotency != IdempotencyKey) {
			return s
		}
	}
	return nil
}
