package policy

import "math"

// The limit is in attempts of this gateway. An endpoint's constants are in attempts of all gateways; each
// gateway gets its part of them.
const (
	initialConcurrencyPerEndpoint = 3.0 // attempts of all gateways
	minConcurrencyPerEndpoint     = 3.0
	maxConcurrencyPerEndpoint     = 64.0

	limitIncrease   = 0.1  // attempts that a fast reply adds
	limitDecrease   = 0.03 // fraction of one endpoint's part that a slow reply takes off
	timeoutDecrease = 0.15 // fraction of one endpoint's part that a timeout takes off
	limitReachedGap = 1.5  // attempts below the limit, from which on it counts as reached and may grow

	lowLatencyRatio  = 0.15 // below this mean fraction of the objective replies are fast
	highLatencyRatio = 0.22 // from this mean fraction of the objective on they are slow
	lowUtilization   = 0.8  // below this mean utilization endpoints have spare capacity
	latencyMeanGain  = 0.1  // weight of one attempt in the means of latency

	// burstDeviations is how many standard deviations above its limit a gateway of a very large fleet may go.
	burstDeviations = 4.0
)

// concurrencyLimiter bounds the attempts in flight at all endpoints together. The limit grows while replies
// are fast, or endpoints have spare capacity, and shrinks while they are slow.
type concurrencyLimiter struct {
	clock        *eventClock
	gatewayCount int

	limit float64 // attempts in flight of this gateway
	// burstAllowance is how far the attempts in flight may exceed the limit, in standard deviations. The limit
	// is a part of what all gateways together may have in flight, so it bounds a gateway's mean. In a large
	// fleet some gateways are always busy while others are idle: each may exceed its part by what chance does to
	// few requests.
	burstAllowance      float64
	endpointsPerGateway float64

	inFlight            int
	lastSentAt          Seconds
	latencyRatio        float64 // mean of latency over the objective
	meanAttemptDuration Seconds // until a reply or timeout
}

// newConcurrencyLimiter returns the limiter of one gateway of a fleet. It has the limit of one endpoint,
// until resize tells of more.
func newConcurrencyLimiter(gatewayCount int, clock *eventClock) *concurrencyLimiter {
	return &concurrencyLimiter{
		clock:          clock,
		gatewayCount:   gatewayCount,
		limit:          initialConcurrencyPerEndpoint / float64(gatewayCount),
		burstAllowance: burstDeviations * max(0, 1-smallFleetSize/float64(gatewayCount)),
	}
}

// resize scales the limit with the number of endpoints.
func (l *concurrencyLimiter) resize(before, after int) {
	l.endpointsPerGateway = float64(after) / float64(l.gatewayCount)
	l.limit *= float64(max(1, after)) / float64(max(1, before))
}

// atLimit tells whether an attempt of a class with this mean latency has to wait. If only a part of an
// attempt is free, the attempt may start as long as replies are fast. While they are slow it waits until the
// last one is some time ago: if all gateways of a large fleet rounded up, they would overload the endpoints.
func (l *concurrencyLimiter) atLimit(meanLatency Seconds) bool {
	free := l.limit + l.burstAllowance*math.Sqrt(l.limit) - float64(l.inFlight)
	if free <= 0 {
		return true
	}
	if free >= 1 || l.latencyRatio < highLatencyRatio {
		return false
	}
	pause := max(meanLatency, l.meanAttemptDuration) / free
	return l.clock.now-l.lastSentAt < pause
}

func (l *concurrencyLimiter) startAttempt() {
	l.inFlight++
	l.lastSentAt = l.clock.now
}

func (l *concurrencyLimiter) endAttempt() { l.inFlight-- }

// observe adjusts the limit to a reply or timeout after this time, of a class with this latency objective.
// spareCapacity tells that the endpoints are known to have some.
func (l *concurrencyLimiter) observe(elapsed, objective Seconds, timedOut, spareCapacity bool) {
	l.meanAttemptDuration += latencyMeanGain * (elapsed - l.meanAttemptDuration)
	l.latencyRatio += latencyMeanGain * (elapsed/objective - l.latencyRatio)
	endpointShare := min(1, initialConcurrencyPerEndpoint/l.limit) // one attempt tells of one endpoint among many
	if timedOut && !spareCapacity {
		l.limit *= 1 - timeoutDecrease*endpointShare
	}
	reached := float64(l.inFlight)+limitReachedGap >= l.limit
	if l.latencyRatio > highLatencyRatio && !spareCapacity {
		l.limit *= 1 - limitDecrease*endpointShare
	} else if (spareCapacity || l.latencyRatio < lowLatencyRatio) && reached {
		l.limit += limitIncrease * min(1, l.limit)
	}
	lowest := minConcurrencyPerEndpoint * l.endpointsPerGateway
	highest := maxConcurrencyPerEndpoint * l.endpointsPerGateway
	l.limit = min(max(l.limit, lowest), highest)
}
