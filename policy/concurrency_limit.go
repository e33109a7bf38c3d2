package policy

import "math"

// The concurrency limit applies to the attempts of this gateway. The per-endpoint constants count the
// attempts of all gateways; each gateway gets an equal share of them.
const (
	initialConcurrencyPerEndpoint = 3.0 // attempts of all gateways
	minConcurrencyPerEndpoint     = 3.0
	maxConcurrencyPerEndpoint     = 64.0

	limitIncrease = 0.1 // attempts by which observe raises the limit; fewer if the limit is below 1

	// These are the fractions of the limit, or of initialConcurrencyPerEndpoint if that is less, by which
	// observe lowers the limit while replies are slow and after a timeout.
	limitDecrease   = 0.03
	timeoutDecrease = 0.15

	limitReachedGap = 1.5 // the limit grows only if the attempts in flight are at most this far below it

	lowLatencyRatio  = 0.15 // latencyRatio below which replies count as fast
	highLatencyRatio = 0.22 // latencyRatio above which replies count as slow
	lowUtilization   = 0.8  // mean utilization below which endpoints have spare capacity
	latencyMeanGain  = 0.1  // weight of one attempt in meanAttemptDuration and latencyRatio

	// burstDeviations is the value that burstAllowance approaches as the number of gateways grows. In a small
	// fleet burstAllowance is 0.
	burstDeviations = 4.0
)

// concurrencyLimiter limits the attempts of this gateway in flight at all endpoints together. The limit grows
// while replies are fast or the endpoints have spare capacity, if the attempts in flight come close to it. It
// shrinks on timeouts and while replies are slow, unless the endpoints have spare capacity.
type concurrencyLimiter struct {
	clock        *eventClock
	gatewayCount int

	limit float64 // of attempts in flight from this gateway
	// burstAllowance is the number of standard deviations by which the attempts in flight may exceed the limit.
	// The limit is this gateway's share of the attempts of all gateways. In a large fleet the share is only a
	// few attempts, and the number in flight varies randomly by about the square root of the share. Gateways
	// that exceed their share are offset by others that stay below it.
	burstAllowance      float64
	endpointsPerGateway float64 // listed endpoints divided by gatewayCount

	inFlight            int
	lastSentAt          Seconds
	latencyRatio        float64 // mean ratio of latency to the latency objective
	meanAttemptDuration Seconds // of the attempts passed to observe
}

// newConcurrencyLimiter returns the limiter of one gateway of a fleet. It has the limit for one endpoint
// until resize is called.
func newConcurrencyLimiter(gatewayCount int, clock *eventClock) *concurrencyLimiter {
	return &concurrencyLimiter{
		clock:          clock,
		gatewayCount:   gatewayCount,
		limit:          initialConcurrencyPerEndpoint / float64(gatewayCount),
		burstAllowance: burstDeviations * max(0, 1-smallFleetSize/float64(gatewayCount)),
	}
}

// resize adapts the limit and endpointsPerGateway when the number of endpoints changes from before to after.
func (l *concurrencyLimiter) resize(before, after int) {
	l.endpointsPerGateway = float64(after) / float64(l.gatewayCount)
	l.limit *= float64(max(1, after)) / float64(max(1, before))
}

// atLimit reports whether an attempt of a class with the given mean latency must wait. It must wait if the
// attempts in flight have reached the limit, including burstAllowance. If they are less than one below it
// while replies are slow, the attempt must wait for a pause after the last attempt was sent. The smaller the
// difference, the longer the pause. Without the pause, all gateways of a large fleet would round their limits
// up, and together overload the endpoints.
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

// observe adjusts the limit after a success or timeout. elapsed is the duration of the attempt and objective
// the latency objective of its class. spareCapacity is set if the endpoints are known to have spare capacity.
func (l *concurrencyLimiter) observe(elapsed, objective Seconds, timedOut, spareCapacity bool) {
	l.meanAttemptDuration += latencyMeanGain * (elapsed - l.meanAttemptDuration)
	l.latencyRatio += latencyMeanGain * (elapsed/objective - l.latencyRatio)
	// An attempt tells about one endpoint only, so it does not reduce a large limit in proportion.
	endpointShare := min(1, initialConcurrencyPerEndpoint/l.limit)
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
