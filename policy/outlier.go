package policy

import (
	"math"
	"math/rand/v2"
)

// An outlier score is the confidence, from 0 to 1, that an endpoint fails the attempts of a class. A failure
// raises the score by its severity times the distance of the score to 1.
const (
	// suspectScore is the score above which an endpoint is a suspected outlier. Attempts there are hedged early.
	suspectScore = 0.3

	// singleFailureSeverity applies to one refused or lost connection, which may not be the endpoint's fault.
	singleFailureSeverity = 0.1
	// errorSeverity applies to an error, to a health check that timed out or got no connection, and to each
	// further refused or lost connection in a row. It is the upper limit for a timeout.
	errorSeverity = 0.5
	// repeatedErrorSeverity applies to repeated errors; see repeatedErrors. It is high because an endpoint that
	// fails fast looks idle.
	repeatedErrorSeverity = 0.9
	// noReplySeverity applies to an attempt without a reply; see recordNoReply.
	noReplySeverity = 1.0

	// repeatedErrors is the number of errors in a row at which repeatedErrorSeverity replaces errorSeverity.
	repeatedErrors = 2

	// minPublishedScore is the level above which the score after a success is published. A lower score hardly
	// affects the cost of the endpoint, so other gateways do not need it.
	minPublishedScore = singleFailureSeverity / 2

	// outlierTimeConstant is the time constant of the decay of scores.
	outlierTimeConstant Seconds = 4.0

	// minAttemptWeight is the lower bound of attemptWeight.
	minAttemptWeight = 0.2
)

// Ejection of an endpoint, which applies to all classes.
const (
	// consecutiveFailuresToEject is the number of connections refused or lost since the last success at which
	// an endpoint is ejected. A single failure may be a fault of the connection rather than of the endpoint.
	consecutiveFailuresToEject = 2

	ejectionPeriod      Seconds = 0.5  // minimum; multiplied by a random factor from 1 to 2
	minRejectionBackoff Seconds = 0.05 // after the first rejection, doubled by each further one in a row
	maxRejectionBackoff Seconds = 0.8
)

// outlierScore is an exponentially decaying score, which had the value level at the time at.
type outlierScore struct {
	level float64
	at    Seconds
}

// value returns the decayed score at the time now.
func (s outlierScore) value(now Seconds) float64 {
	return s.level * math.Exp((s.at-now)/outlierTimeConstant)
}

// outlierDetector scores endpoints by their successes and failures. It ejects an endpoint after a rejection,
// and after consecutive connection failures.
type outlierDetector struct {
	clock  *eventClock
	random *rand.Rand
	gossip *gossipBuffer

	// attemptWeight is the fraction by which a success lowers the score. It is also the severity of a timeout,
	// but at most errorSeverity then. It is smaller in a large fleet, because many gateways share their scores:
	// a single timeout at an overloaded endpoint could otherwise make all gateways move to the next one and
	// overload it.
	attemptWeight float64
}

// newOutlierDetector returns the detector of one gateway of a fleet. It draws random numbers from random and
// publishes scores to gossip.
func newOutlierDetector(
	gatewayCount int, clock *eventClock, random *rand.Rand, gossip *gossipBuffer,
) *outlierDetector {
	return &outlierDetector{
		clock:         clock,
		random:        random,
		gossip:        gossip,
		attemptWeight: max(minAttemptWeight, min(1, smallFleetSize/float64(gatewayCount))),
	}
}

// score returns the outlier score of the endpoint for the class.
func (d *outlierDetector) score(e *endpoint, classIndex int) float64 {
	return e.outlierScores[classIndex].value(d.clock.now)
}

// recordFailure raises the score for a class by severity times the distance of the score to 1, and publishes
// the new score.
func (d *outlierDetector) recordFailure(e *endpoint, classIndex int, severity float64) {
	score := d.score(e, classIndex)
	level := score + severity*(1-score)
	d.setScore(e, classIndex, level)
	d.publishScore(e, classIndex, level)
}

// setScore sets the score for a class at the current time.
func (d *outlierDetector) setScore(e *endpoint, classIndex int, level float64) {
	e.outlierScores[classIndex] = outlierScore{level: level, at: d.clock.now}
}

// publishScore adds the score for a class to the gossip.
func (d *outlierDetector) publishScore(e *endpoint, classIndex int, level float64) {
	d.gossip.publish(healthUpdate{endpointHash: e.hash, class: classIndex, value: level, at: d.clock.now})
}

// recordFailureForAllClasses raises and publishes the score for every class.
func (d *outlierDetector) recordFailureForAllClasses(e *endpoint, severity float64) {
	for classIndex := range e.outlierScores {
		d.recordFailure(e, classIndex, severity)
	}
}

// recordSuccess records the time, ends a series of errors and lowers the score for a class by the fraction
// attemptWeight. It publishes the new score if it is above minPublishedScore.
func (d *outlierDetector) recordSuccess(e *endpoint, classIndex int) {
	e.lastSuccessAt[classIndex], e.consecutiveErrors[classIndex] = d.clock.now, 0
	level := d.score(e, classIndex) * (1 - d.attemptWeight)
	d.setScore(e, classIndex, level)
	if level > minPublishedScore {
		d.publishScore(e, classIndex, level)
	}
}

// recordOutcome adjusts the scores of the endpoint after an attempt, and ejects the endpoint if necessary.
func (d *outlierDetector) recordOutcome(e *endpoint, classIndex int, status AttemptStatus) {
	switch status {
	case OK:
		d.recordSuccess(e, classIndex)
		e.consecutiveConnectionFailures, e.consecutiveRejections = 0, 0
	case Timeout:
		d.recordFailure(e, classIndex, min(errorSeverity, d.attemptWeight))
	case Error:
		d.recordError(e, classIndex)
	case ConnectFailed, Reset:
		d.recordConnectionFailure(e)
	case Rejected:
		d.recordRejection(e)
	case Cancelled, NotSent: // no information about the endpoint
	}
}

func (d *outlierDetector) recordError(e *endpoint, classIndex int) {
	e.consecutiveErrors[classIndex]++
	severity := errorSeverity
	if e.consecutiveErrors[classIndex] >= repeatedErrors {
		severity = repeatedErrorSeverity
	}
	d.recordFailure(e, classIndex, severity)
}

// recordConnectionFailure records a refused or lost connection. It raises the score for all classes, and
// ejects the endpoint if at least consecutiveFailuresToEject connections have been refused or lost since its
// last success.
func (d *outlierDetector) recordConnectionFailure(e *endpoint) {
	e.consecutiveConnectionFailures++
	if e.consecutiveConnectionFailures < consecutiveFailuresToEject {
		d.recordFailureForAllClasses(e, singleFailureSeverity)
		return
	}
	d.recordFailureForAllClasses(e, errorSeverity)
	e.ejectedUntil = d.clock.now + ejectionPeriod*(1+d.random.Float64())
}

// recordRejection ejects the endpoint for a period that doubles with each consecutive rejection, up to
// maxRejectionBackoff.
func (d *outlierDetector) recordRejection(e *endpoint) {
	e.consecutiveRejections++
	backoff := min(minRejectionBackoff*math.Exp2(float64(e.consecutiveRejections-1)), maxRejectionBackoff)
	e.ejectedUntil = max(e.ejectedUntil, d.clock.now+backoff)
}
