package policy

import "math"

const (
	// reusableIdleFraction is the fraction of the idle timeout for which an idle connection is counted on: the
	// endpoint may close it a little early.
	reusableIdleFraction = 0.4

	// inFlightTimeConstant is the time constant of endpoint.meanInFlight.
	inFlightTimeConstant Seconds = 1.0

	minLatencyFactor = 0.3
	maxLatencyFactor = 4.0 // also what a timeout counts as
	latencyGain      = 0.1 // weight of one reply in latencyFactor
	timeoutGain      = 0.15
)

// endpoint is what this gateway knows of an endpoint.
type endpoint struct {
	Endpoint
	hash   uint16 // identifies it in health updates
	listed bool   // in the endpoint list, and not removed

	// The attempts of this gateway.
	inFlight        int
	lastSentAt      Seconds
	openConnections int     // an estimate by how attempts ended; idle ones are included
	meanInFlight    float64 // an exponentially decaying mean, as of lastSentAt
	latencyFactor   float64 // mean of an attempt's latency over the mean latency of its class

	// The load as last reported, to this gateway or another.
	utilization     float64 // 0 to 1
	utilizationAt   Seconds
	healthCheckedAt Seconds // when the last health check was sent

	// Outlier detection. The slices are indexed by class.
	outlierScores                 []outlierScore
	lastSuccessAt                 []Seconds
	consecutiveErrors             []int // since the last success
	consecutiveConnectionFailures int   // connections refused or lost since the last success
	consecutiveRejections         int   // since the last success
	ejectedUntil                  Seconds

	// Slow start.
	slowStartCredit   float64 // mean attempts that this gateway may send while the endpoint warms up, up to 1
	slowStartCreditAt Seconds // when it last grew
}

// newEndpoint returns an endpoint as it is known when it is first listed.
func newEndpoint(hash uint16, classCount int, slowStartCredit float64) *endpoint {
	return &endpoint{
		hash:              hash,
		latencyFactor:     1,
		utilizationAt:     math.Inf(-1),
		outlierScores:     make([]outlierScore, classCount),
		lastSuccessAt:     make([]Seconds, classCount),
		consecutiveErrors: make([]int, classCount),
		slowStartCredit:   slowStartCredit,
	}
}

// restart resets what was learnt of the endpoint's earlier process.
func (e *endpoint) restart(slowStartCredit float64) {
	e.latencyFactor = 1
	e.ejectedUntil = 0
	e.consecutiveConnectionFailures, e.consecutiveRejections = 0, 0
	e.openConnections = 0
	e.slowStartCredit = slowStartCredit
	clear(e.outlierScores)
	clear(e.consecutiveErrors)
}

// available tells whether the endpoint is in service and not ejected.
func (e *endpoint) available(now Seconds) bool {
	return e.State == InService && now >= e.ejectedUntil
}

// startAttempt counts an attempt as in flight. idleTimeout is the time after which the endpoint closes idle
// connections: after a pause that long none is counted on any more.
func (e *endpoint) startAttempt(now, idleTimeout Seconds) {
	if now-e.lastSentAt > reusableIdleFraction*idleTimeout {
		e.openConnections = e.inFlight
	}
	e.inFlight++
	e.openConnections = max(e.openConnections, e.inFlight)
	e.lastSentAt = now
}

// endAttempt counts an attempt as ended. An attempt that ends without a reply also ends
// its connection.
func (e *endpoint) endAttempt(replied bool) {
	e.inFlight--
	if !replied {
		e.openConnections = max(e.openConnections-1, 0)
	}
}

// hasIdleConnection tells whether an attempt most likely finds an open connection.
func (e *endpoint) hasIdleConnection(now, idleTimeout Seconds) bool {
	return e.openConnections > e.inFlight && now-e.lastSentAt <= reusableIdleFraction*idleTimeout
}

// observeSend adds an attempt of a class with this mean latency to meanInFlight. It is called before
// startAttempt.
func (e *endpoint) observeSend(now, meanLatency Seconds) {
	expected := min(e.latencyFactor*meanLatency/inFlightTimeConstant, 1)
	e.meanInFlight = e.meanInFlight*e.inFlightDecay(now) + expected
}

// inFlightDecay is the factor by which meanInFlight has decayed by now.
func (e *endpoint) inFlightDecay(now Seconds) float64 {
	return math.Exp((e.lastSentAt - now) / inFlightTimeConstant)
}

// observeLatency adjusts latencyFactor to the end of an attempt, which took ratio times the mean latency of
// its class.
func (e *endpoint) observeLatency(status AttemptStatus, ratio float64) {
	switch status {
	case OK:
		difference := min(ratio, maxLatencyFactor) - e.latencyFactor
		e.latencyFactor = max(e.latencyFactor+latencyGain*difference, minLatencyFactor)
	case Timeout:
		e.latencyFactor += timeoutGain * max(maxLatencyFactor-e.latencyFactor, 0)
	case Error, Rejected, ConnectFailed, Reset, Cancelled, NotSent:
	}
}

// setUtilization takes the utilization that the endpoint had at a time.
func (e *endpoint) setUtilization(utilization float64, at Seconds) {
	e.utilization, e.utilizationAt = utilization, at
}

// utilizationKnown tells whether the endpoint's load was reported lately.
func (e *endpoint) utilizationKnown(now Seconds) bool {
	return now-e.utilizationAt < loadReportExpiry
}
