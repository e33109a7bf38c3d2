package proxy

import (
	"reedlead/internal/eventloop"
	"reedlead/policy"
)

// attempt is one send of a request to an endpoint, or with no request a health check. The event loop owns it; a writer
// goroutine reads what does not change once it is written.
type attempt struct {
	request       *request
	endpoint      *endpoint // nil if the one that was chosen is not listed
	number        int       // of the request's attempts, from 0
	kind          attemptKind
	sentAt        policy.Seconds
	timeoutAt     policy.Seconds   // when the reply is not waited for any more
	writeDeadline policy.Seconds   // of the last byte, by the clock, not by the loop's time; +Inf: none
	timer         *eventloop.Timer // fires at timeoutAt
	conn          *backendConn     // that it holds; nil before and after
	done          bool
}

// attemptKind is why an attempt is made. The trace holds it.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retry        attemptKind = "retry" // no other is in flight any more
	hedge        attemptKind = "hedge" // beside one that is in flight
)

// nextAttemptKind is the kind of a request's next attempt.
func nextAttemptKind(r *request) attemptKind {
	switch {
	case len(r.attempts) == 0:
		return firstAttempt
	case r.inFlight > 0:
		return hedge
	}
	return retry
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	status    policy.AttemptStatus
	value     []byte // of status OK: the value in RESP, as the endpoint wrote it
	load      *policy.LoadReport
	malformed error // why the reply could not be used
}

// malformedReply is the result of an attempt whose reply can't be used. The request may have been executed; the endpoint
// counts as reachable.
func malformedReply(err error) attemptResult {
	return attemptResult{status: policy.Error, malformed: err}
}

// malformedText is what the log holds of a reply that could not be used, else empty.
func (r attemptResult) malformedText() string {
	if r.malformed == nil {
		return ""
	}
	return r.malformed.Error()
}
