package policy

import (
	"math"
	"math/rand/v2"
)

const (
	// minEndpointsConsidered is the minimum number of eligible endpoints below suspectScore that pickCheapest
	// compares, if there are that many.
	minEndpointsConsidered = 2
	// minNonIdempotentWarmUp is the minimum warm-up fraction at which a warming endpoint gets non-idempotent
	// requests in a large fleet. Small fleets have no such minimum.
	minNonIdempotentWarmUp = 0.35
)

// The cost of an endpoint is measured in attempts in flight there. The first four weights convert other
// disadvantages into that unit. outlierWeight and costJitter scale the sum.
const (
	utilizationWeight  = 2.0  // for a utilization of 1
	crossZoneWeight    = 25.0 // for a Settings.CrossZoneCost of 1
	handshakeWeight    = 24.0 // for a Settings.HandshakeCost of 1
	sameEndpointWeight = 4.0  // for each earlier attempt of the request at the endpoint
	outlierWeight      = 30.0 // multiplies the cost by 1 + outlierWeight × the square of the outlier score
	costJitter         = 0.02 // largest random increase, as a fraction of the cost
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
	idleTimeout                  Seconds // time after which endpoints close idle connections
}

// pick returns the endpoint for the next attempt of a request. It returns nil if this gateway is at its
// concurrency limit or no endpoint is eligible. Below the limit, it also accrues the slow-start credits of
// the request.
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

// pickWarming returns the first available warming endpoint that creditAvailable and allowedOnWarming accept
// and whose outlier score is below suspectScore, or nil.
func (p *endpointPicker) pickWarming(r *request) *endpoint {
	for _, e := range p.endpoints.listed {
		if p.slowStart.warmUpFraction(e) < 1 && e.available(p.clock.now) && p.slowStart.creditAvailable(e) &&
			p.outliers.score(e, r.class.index) < suspectScore && p.allowedOnWarming(e, r) {
			return e
		}
	}
	return nil
}

// allowedOnWarming reports whether pickWarming may choose a warming endpoint for the request. The endpoint
// may fail under overload, so a non-idempotent request needs a warm-up fraction of at least
// minNonIdempotentWarmUp. A request with an idempotency key must not have executed before, because
// pickWarming does not check whether the endpoint would drop it as a duplicate.
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

// pickCheapest returns the eligible endpoint of the lowest cost, or nil. It compares the endpoints from a
// random one on. A gateway of a large fleet compares only a few: if all gateways compared every endpoint,
// the same gossip would lead them to the same endpoint.
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

// eligible reports whether pickCheapest may choose the endpoint for the request. An endpoint is not eligible
// if it is out of service or ejected, if it might not recognize a retry with an idempotency key as a
// duplicate, if it has reached its share of the concurrency limit, or if it is warming up and creditAvailable
// is false. In a large fleet no warming endpoint is eligible, because pickWarming handles them. A high
// outlier score only raises the cost.
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

// maxInFlight returns the endpoint's share of the concurrency limit: an equal share divided by its latency
// factor, rounded up.
func (p *endpointPicker) maxInFlight(e *endpoint) float64 {
	return math.Ceil(p.limiter.limit / float64(len(p.endpoints.listed)) / e.latencyFactor)
}

// cost returns the cost of sending an attempt of the request to the endpoint. It adds the weighted
// disadvantages to the estimated attempts in flight there. It multiplies the sum by the latency factor, by a
// factor that grows with the outlier score, and by a random factor of 1 to 1 + costJitter.
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

// estimatedInFlight estimates the attempts in flight at the endpoint from all gateways, including the next
// attempt of this gateway. The attempts of the other gateways are unknown, so each is assumed to send as much
// as this one. In a large fleet the traffic of one gateway is a poor sample, so at most smallFleetSize
// gateways are counted.
func (p *endpointPicker) estimatedInFlight(e *endpoint) float64 {
	others := float64(min(p.gatewayCount, smallFleetSize) - 1)
	return float64(e.inFlight) + 1 + others*e.meanInFlight*e.inFlightDecay(p.clock.now)
}
