package policy

import "math"

const (
	// reusableIdleFraction is the fraction of the idle timeout for which an idle connection is expected to
	// remain usable. It is below 1 because an endpoint may close connections early.
	reusableIdleFraction = 0.4

	// inFlightTimeConstant is the time constant of the decay of endpoint.meanInFlight.
	inFlightTimeConstant Seconds = 1.0

	minLatencyFactor = 0.3
	maxLatencyFactor = 4.0  // also the ratio assumed for a timeout
	latencyGain      = 0.1  // weight of a success in latencyFactor
	timeoutGain      = 0.15 // weight of a timeout in latencyFactor
)

// endpoint is the state of an endpoint as known to this gateway.
type endpoint struct {
	Endpoint
	hash   uint16 // identifies the endpoint in health updates
	listed bool   // whether it is in the endpoint list and not Removed

	// Attempts of this gateway.
	inFlight        int
	lastSentAt      Seconds
	openConnections int     // estimated from the attempts; includes idle connections
	meanInFlight    float64 // estimated mean of inFlight, as of lastSentAt; see observeSend
	latencyFactor   float64 // mean ratio of an attempt's latency to the mean latency of its class

	// The last utilization, from a load report to this gateway or from gossip.
	utilization   float64 // 0 to 1
	utilizationAt Seconds

	healthCheckedAt Seconds // time of the last health check sent

	// Outlier detection. Slices are indexed by class.
	outlierScores                 []outlierScore
	lastSuccessAt                 []Seconds
	consecutiveErrors             []int // since the last success
	consecutiveConnectionFailures int   // connections refused or lost since the last success
	consecutiveRejections         int   // since the last success
	ejectedUntil                  Seconds

	// Slow start.
	slowStartCredit   float64 // in attempts of mean work, at most 1; see slowStart
	slowStartCreditAt Seconds // time of the last accrual
}

// newEndpoint returns the initial state of a newly listed endpoint.
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

// restart ends an ejection and resets the latency factor, connections, outlier scores, failure counts and
// slow-start credit, because the endpoint runs a new process.
func (e *endpoint) restart(slowStartCredit float64) {
	e.latencyFactor = 1
	e.ejectedUntil = 0
	e.consecutiveConnectionFailures, e.consecutiveRejections = 0, 0
	e.openConnections = 0
	e.slowStartCredit = slowStartCredit
	clear(e.outlierScores)
	clear(e.consecutiveErrors)
}

// available reports whether the endpoint is in service and not ejected.
func (e *endpoint) available(now Seconds) bool {
	return e.State == InService && now >= e.ejectedUntil
}

// startAttempt counts a new attempt as in flight. After a pause of more than reusableIdleFraction of
// idleTimeout, it assumes that the idle connections are closed.
func (e *endpoint) startAttempt(now, idleTimeout Seconds) {
	if now-e.lastSentAt > reusableIdleFraction*idleTimeout {
		e.openConnections = e.inFlight
	}
	e.inFlight++
	e.openConnections = max(e.openConnections, e.inFlight)
	e.lastSentAt = now
}

// endAttempt counts an attempt as ended. If it ended without a reply, its connection is assumed to be closed.
func (e *endpoint) endAttempt(replied bool) {
	e.inFlight--
	if !replied {
		e.openConnections = max(e.openConnections-1, 0)
	}
}

// hasIdleConnection reports whether an open idle connection is probably available.
func (e *endpoint) hasIdleConnection(now, idleTimeout Seconds) bool {
	return e.openConnections > e.inFlight && now-e.lastSentAt <= reusableIdleFraction*idleTimeout
}

// observeSend decays meanInFlight to now and adds a new attempt, weighted by its expected duration.
// meanLatency is the mean latency of its class. observeSend must be called before startAttempt, which updates
// lastSentAt.
func (e *endpoint) observeSend(now, meanLatency Seconds) {
	expected := min(e.latencyFactor*meanLatency/inFlightTimeConstant, 1)
	e.meanInFlight = e.meanInFlight*e.inFlightDecay(now) + expected
}

// inFlightDecay returns the factor by which meanInFlight has decayed since lastSentAt.
func (e *endpoint) inFlightDecay(now Seconds) float64 {
	return math.Exp((e.lastSentAt - now) / inFlightTimeConstant)
}

// observeLatency updates latencyFactor from an attempt whose duration was ratio times the mean latency of
// its class. Only successes and timeouts count, because other outcomes say nothing about the latency.
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

// setUtilization records the utilization that the endpoint reported at the given time.
func (e *endpoint) setUtilization(utilization float64, at Seconds) {
	e.utilization, e.utilizationAt = utilization, at
}

// utilizationKnown reports whether the last utilization is recent enough to use.
func (e *endpoint) utilizationKnown(now Seconds) bool {
	return now-e.utilizationAt < loadReportExpiry
}
