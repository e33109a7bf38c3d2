package policy

import (
	"math"
	"math/rand/v2"
)

const (
	// minEndpointsConsidered is the least number of endpoints below suspectScore that are compared for an
	// attempt.
	minEndpointsConsidered = 2
	// minNonIdempotentWarmUp is the fraction of its capacity that an endpoint needs for non-idempotent requests.
	minNonIdempotentWarmUp = 0.35
)

// The cost of an endpoint is counted in attempts in flight there. These weights are the attempts that other
// reasons against it count as.
const (
	utilizationWeight  = 2.0  // a utilization of 1
	crossZoneWeight    = 25.0 // a Settings.CrossZoneCost of 1
	handshakeWeight    = 24.0 // a Settings.HandshakeCost of 1
	sameEndpointWeight = 4.0  // each earlier attempt of the request there
	outlierWeight      = 30.0 // multiplies the cost, by the square of the outlier score
	costJitter         = 0.02 // largest random addition, as a fraction of the cost
)

// endpointPicker chooses the endpoint of an attempt.
type endpointPicker struct {
	clock     *eventClock
	random    *rand.Rand
	endpoints *endpointTable
	outliers  *outlierDetector
	limiter   *concurrencyLimiter
	slowStart *slowStart

	gatewayCount                 int
	zone                         string
	crossZoneCost, handshakeCost float64 // see Settings
	idleTimeout                  Seconds // of connections
}

// pick returns the endpoint for the request's next attempt, or nil if none has capacity. The first call for a
// request that finds the concurrency limit free accrues its slow-start credits.
func (p *endpointPicker) pick(r *request) *endpoint {
	if p.limiter.atLimit(r.class.meanLatency) {
		return nil
	}
	p.slowStart.accrueCredits(r, p.endpoints.listed)
	if isLargeFleet(p.gatewayCount) {
		if e := p.pickWarming(r); e != nil {
			return e
		}
	}
	return p.pickCheapest(r)
}

// pickWarming returns the first warming endpoint that has a credit and may get the request, or nil.
func (p *endpointPicker) pickWarming(r *request) *endpoint {
	for _, e := range p.endpoints.listed {
		if p.slowStart.warmUpFraction(e) < 1 && e.available(p.clock.now) && p.slowStart.creditAvailable(e) &&
			p.outliers.score(e, r.class.index) < suspectScore && p.allowedOnWarming(e, r) {
			return e
		}
	}
	return nil
}

// allowedOnWarming tells whether a request may go to a warming endpoint. What must not execute twice does not go
// to an endpoint that may fail under it.
func (p *endpointPicker) allowedOnWarming(e *endpoint, r *request) bool {
	switch r.class.Idempotency {
	case NonIdempotent:
		return p.slowStart.warmUpFraction(e) >= minNonIdempotentWarmUp
	case IdempotencyKey:
		return !r.mayHaveExecuted()
	case Idempotent:
	}
	return true
}

// pickCheapest compares the eligible endpoints from a random one on, and returns the one of the lowest cost.
// A gateway of a large fleet compares a few only: else all would choose the same one by the same gossip.
func (p *endpointPicker) pickCheapest(r *request) *endpoint {
	listed := p.endpoints.listed
	remaining := max(minEndpointsConsidered, len(listed)*smallFleetSize/p.gatewayCount)
	first := p.random.IntN(max(1, len(listed)))
	var cheapest *endpoint
	lowestCost := math.Inf(1)
	for i := 0; i < len(listed) && remaining > 0; i++ {
		e := listed[(first+i)%len(listed)]
		if !p.eligible(e, r) {
			continue
		}
		score := p.outliers.score(e, r.class.index)
		if score < suspectScore {
			remaining--
		}
		if cost := p.cost(e, r, score); cost < lowestCost {
			cheapest, lowestCost = e, cost
		}
	}
	return cheapest
}

// eligible tells whether the request may be sent to an endpoint now. It may not if the endpoint is not in
// service or ejected, might not deduplicate a repeat, is warming up without a credit (or at all, in a large
// fleet), or has its part of the concurrency limit in flight. A high outlier score excludes no endpoint; it
// raises the cost.
func (p *endpointPicker) eligible(e *endpoint, r *request) bool {
	if !e.available(p.clock.now) || !r.deduplicates(e) {
		return false
	}
	warming := p.slowStart.warmUpFraction(e) < 1
	if warming && (isLargeFleet(p.gatewayCount) || !p.slowStart.creditAvailable(e)) {
		return false
	}
	return float64(e.inFlight) < p.maxInFlight(e)
}

// maxInFlight is the endpoint's part of the concurrency limit. A slower endpoint gets less, but at least one.
func (p *endpointPicker) maxInFlight(e *endpoint) float64 {
	return math.Ceil(p.limiter.limit / float64(len(p.endpoints.listed)) / e.latencyFactor)
}

// cost is the estimated number of attempts that an attempt at the endpoint competes with, weighted by the
// latency of the endpoint and its outlier score for the class.
func (p *endpointPicker) cost(e *endpoint, r *request, score float64) float64 {
	load := p.estimatedInFlight(e)
	if e.Zone != p.zone {
		load += crossZoneWeight * p.crossZoneCost
	}
	if !e.hasIdleConnection(p.clock.now, p.idleTimeout) {
		load += handshakeWeight * p.handshakeCost
	}
	if e.utilizationKnown(p.clock.now) {
		load += utilizationWeight * e.utilization
	}
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			load += sameEndpointWeight
		}
	}
	jitter := 1 + costJitter*p.random.Float64()
	return load * e.latencyFactor * (1 + outlierWeight*score*score) * jitter
}

// estimatedInFlight estimates the attempts in flight at the endpoint from all gateways, with the next one of
// this gateway. What the others have there is not known: the best guess is that each sends as much as this
// one does. In a large fleet one gateway tells little of the others, of which only some are counted.
func (p *endpointPicker) estimatedInFlight(e *endpoint) float64 {
	others := float64(min(p.gatewayCount, smallFleetSize) - 1)
	return float64(e.inFlight) + 1 + others*e.meanInFlight*e.inFlightDecay(p.clock.now)
}
