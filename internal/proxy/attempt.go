package proxy

import (
	"reedlead/internal/eventloop"
	"reedlead/policy"
)

// attempt is one send of a request to an endpoint, or a health check if it has no request. The event loop owns it. A
// writer goroutine may read the fields that do not change after the write has started.
type attempt struct {
	request       *request
	endpoint      *endpoint // nil if the chosen endpoint is not listed
	number        int       // index among the attempts of the request
	kind          attemptKind
	createdAt     policy.Seconds   // event time; the elapsed time in the outcome counts from here
	timeoutAt     policy.Seconds   // when the attempt times out
	writeDeadline policy.Seconds   // clock time by which the last byte must be written; +Inf for no limit
	timer         *eventloop.Timer // fires at timeoutAt
	conn          *backendConn     // carries the attempt; nil before the write starts and after the attempt has ended
	done          bool             // the attempt has ended; its outcome may not have been reported yet
}

// attemptKind tells the first attempt of a request, a retry and a hedged request apart. The trace holds its text.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retry        attemptKind = "retry" // the outcomes of all earlier attempts have been reported
	hedge        attemptKind = "hedge" // the outcome of an earlier attempt has not been reported
)

// nextAttemptKind derives the kind of a request's next attempt from its earlier attempts.
func nextAttemptKind(r *request) attemptKind {
	switch {
	case len(r.attempts) == 0:
		return firstAttempt
	case r.inFlight > 0:
		return hedge
	}
	return retry
}

// attemptResult describes how an attempt or a health check ended.
type attemptResult struct {
	status    policy.AttemptStatus
	value     []byte // RESP encoding of the value, as the endpoint sent it; nil unless a request's attempt ended as OK
	load      *policy.LoadReport
	malformed error // why the reply can't be used; nil if it is usable or if there is no reply
}

// malformedReply returns the result of an attempt whose reply can't be used. Its status is Error: the endpoint was
// reachable, and may have executed the command.
func malformedReply(err error) attemptResult {
	return attemptResult{status: policy.Error, malformed: err}
}

// malformedText returns the text that the trace holds for a malformed reply, or "" if the reply was not malformed.
func (r attemptResult) malformedText() string {
	if r.malformed == nil {
		return ""
	}
	return r.malformed.Error()
}
