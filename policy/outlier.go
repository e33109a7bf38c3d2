package policy

import (
	"math"
	"math/rand/v2"
)

// The levels of outlier scores. A score is the confidence, from 0 to 1, that an endpoint does not reply to a
// class of request.
const (
	suspectScore       = 0.3 // from here on attempts go elsewhere where they can, and are retried early
	singleFailureScore = 0.1 // added by a lost connection, which may be no fault of the endpoint
	errorScore         = 0.5 // added by an error, and by a second lost connection in a row
	repeatedErrorScore = 0.9 // added by errors in a row: they come fast, and so attract further requests
	noReplyScore       = 1.0 // added by an attempt that got no reply for long

	// repeatedErrors is the number of errors in a row from which on each adds repeatedErrorScore.
	repeatedErrors = 2

	// minPublishedScore is the score up to which a success is not published: there is nothing left to correct.
	minPublishedScore = singleFailureScore / 2

	// outlierTimeConstant is the time constant with which scores decay.
	outlierTimeConstant Seconds = 4.0

	// minAttemptWeight is the least weight of one attempt in the score, in a large fleet.
	minAttemptWeight = 0.2
)

// Ejection of endpoints from all classes.
const (
	// consecutiveFailuresToEject is how many attempts in a row lose their connection before the endpoint is
	// ejected: one tells of a connection, not of its endpoint.
	consecutiveFailuresToEject = 2

	ejectionPeriod      Seconds = 0.5  // at least, and up to twice as long, drawn at random
	minRejectionBackoff Seconds = 0.05 // after the first rejection, doubled with each further one in a row
	maxRejectionBackoff Seconds = 0.8
)

// outlierScore is a score that decays exponentially from its level at a time.
type outlierScore struct {
	level float64
	at    Seconds
}

// value is the score at the time now.
func (s outlierScore) value(now Seconds) float64 {
	return s.level * math.Exp((s.at-now)/outlierTimeConstant)
}

// outlierDetector scores endpoints by the outcome of attempts, and ejects those that fail or reject in a row.
type outlierDetector struct {
	clock  *eventClock
	random *rand.Rand
	gossip *gossipBuffer

	// attemptWeight is the weight of one attempt of this gateway in the score. Where many gateways share what they
	// see, each raises and lowers a score by a part, so that it tends to the fraction of attempts without a
	// reply. If one missing reply were enough, all would leave an overloaded endpoint at once, and overload
	// the next.
	attemptWeight float64
}

// newOutlierDetector returns the detector of one gateway of a fleet, which draws from random and publishes to
// gossip.
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

// score returns the confidence, from 0 to 1, that the endpoint does not reply to the class.
func (d *outlierDetector) score(e *endpoint, classIndex int) float64 {
	return e.outlierScores[classIndex].value(d.clock.now)
}

// recordFailure raises the score for a class by severity, a fraction of what is missing to 1.
func (d *outlierDetector) recordFailure(e *endpoint, classIndex int, severity float64) {
	score := d.score(e, classIndex)
	level := score + severity*(1-score)
	d.setScore(e, classIndex, level)
	d.publishScore(e, classIndex, level)
}

// setScore sets the score for a class as of now.
func (d *outlierDetector) setScore(e *endpoint, classIndex int, level float64) {
	e.outlierScores[classIndex] = outlierScore{level: level, at: d.clock.now}
}

// publishScore has other gateways learn the score for a class.
func (d *outlierDetector) publishScore(e *endpoint, classIndex int, level float64) {
	d.gossip.publish(healthUpdate{endpointHash: e.hash, class: classIndex, value: level, at: d.clock.now})
}

// recordFailureForAllClasses raises the score for all classes.
func (d *outlierDetector) recordFailureForAllClasses(e *endpoint, severity float64) {
	for classIndex := range e.outlierScores {
		d.recordFailure(e, classIndex, severity)
	}
}

// recordSuccess lowers the score for a class.
func (d *outlierDetector) recordSuccess(e *endpoint, classIndex int) {
	e.lastSuccessAt[classIndex], e.consecutiveErrors[classIndex] = d.clock.now, 0
	level := d.score(e, classIndex) * (1 - d.attemptWeight)
	d.setScore(e, classIndex, level)
	if level > minPublishedScore {
		d.publishScore(e, classIndex, level)
	}
}

// recordOutcome takes in the end of an attempt.
func (d *outlierDetector) recordOutcome(e *endpoint, classIndex int, status AttemptStatus) {
	switch status {
	case OK:
		d.recordSuccess(e, classIndex)
		e.consecutiveConnectionFailures, e.consecutiveRejections = 0, 0
	case Timeout:
		d.recordFailure(e, classIndex, min(errorScore, d.attemptWeight))
	case Error:
		d.recordError(e, classIndex)
	case ConnectFailed, Reset:
		d.recordConnectionFailure(e)
	case Rejected:
		d.recordRejection(e)
	case Cancelled, NotSent: // say nothing of the endpoint
	}
}

func (d *outlierDetector) recordError(e *endpoint, classIndex int) {
	e.consecutiveErrors[classIndex]++
	severity := errorScore
	if e.consecutiveErrors[classIndex] >= repeatedErrors {
		severity = repeatedErrorScore
	}
	d.recordFailure(e, classIndex, severity)
}

// recordConnectionFailure takes in a connection that was refused or lost.
func (d *outlierDetector) recordConnectionFailure(e *endpoint) {
	e.consecutiveConnectionFailures++
	if e.consecutiveConnectionFailures < consecutiveFailuresToEject {
		d.recordFailureForAllClasses(e, singleFailureScore)
		return
	}
	d.recordFailureForAllClasses(e, errorScore)
	e.ejectedUntil = d.clock.now + ejectionPeriod*(1+d.random.Float64())
}

// recordRejection ejects the endpoint for a time that doubles with each rejection in a row.
func (d *outlierDetector) recordRejection(e *endpoint) {
	e.consecutiveRejections++
	backoff := min(minRejectionBackoff*math.Exp2(float64(e.consecutiveRejections-1)), maxRejectionBackoff)
	e.ejectedUntil = max(e.ejectedUntil, d.clock.now+backoff)
}
