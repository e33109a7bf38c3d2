package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
)

// maxLineBytes bounds the size of a log line, in bytes. A longer line makes the audit fail.
const maxLineBytes = 1 << 20

// attempt is an attempt that a gateway sent, with its outcome.
type attempt struct {
	event
	ended   bool    // its outcome was logged
	endedAt float64 // set if ended
	result  string  // status that the gateway logged for the attempt; set if ended
}

// knownNotExecuted reports whether, at the given time, the gateway knew that the endpoint had rejected the attempt
// without executing it.
func (a *attempt) knownNotExecuted(at float64) bool {
	return a.ended && a.endedAt <= at && a.result == rejectedStatus
}

// sameDedupGroup reports whether the endpoints of two attempts belong to the same dedup group. During the idempotency
// window, the endpoints of a group together execute a request with a given idempotency key at most once.
func (a *attempt) sameDedupGroup(b *attempt) bool {
	switch a.dedupScope {
	case "zone":
		return a.zone == b.zone
	case "cell":
		return a.zone == b.zone && a.cell == b.cell
	}
	return true
}

// requestHistory holds what one gateway has logged about a request so far.
type requestHistory struct {
	attempts  []*attempt
	completed bool // the request got its final reply, or the gateway logged that the client had disconnected
}

// audit counts attempts and collects violations over all logs.
type audit struct {
	attempts                int
	retries                 int     // attempts other than the first of their request in the same log
	keyedRetries            int     // retries with an idempotency key that stayed in the dedup group of the request's first attempt that may have executed
	attemptsAfterDisconnect int     // attempts whose client had closed its connection when the attempt was logged
	maxAgeAfterDisconnect   float64 // longest time from a request's arrival to the start of writing such an attempt, in seconds
	minWindowLeft           float64 // shortest time left in the idempotency window at one of the keyedRetries, in seconds; negative after the window
	violations              []string
}

func newAudit() *audit { return &audit{minWindowLeft: math.Inf(1)} }

// readFile audits the log of one gateway.
func (a *audit) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // the file is only read, so an error loses no data
	return a.read(path, file)
}

// read audits the log of one gateway line by line. Violations are recorded with name, the name of the log.
func (a *audit) read(name string, log io.Reader) error {
	histories := map[string]*requestHistory{}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		e := parseEvent(lines.Text())
		if e.kind == otherEvent {
			continue
		}
		history := histories[e.requestID]
		if history == nil {
			history = &requestHistory{}
			histories[e.requestID] = history
		}
		a.apply(name, e, history)
	}
	return lines.Err()
}

// apply checks one event of a request and adds it to the request's history.
func (a *audit) apply(name string, e event, history *requestHistory) {
	switch e.kind {
	case attemptSent:
		a.checkAttempt(name, &attempt{event: e}, history)
	case attemptEnded:
		history.recordEnd(e)
	case requestCompleted:
		history.completed = true
		if e.rejection {
			a.checkRejection(name, e, history)
		}
	case clientDisconnected:
		history.completed = true
	case otherEvent:
	}
}

// recordEnd records the outcome of an attempt. Only the first outcome of an attempt counts.
func (h *requestHistory) recordEnd(e event) {
	for _, sent := range h.attempts {
		if sent.attempt == e.attempt && !sent.ended {
			sent.ended, sent.result, sent.endedAt = true, e.status, e.at
		}
	}
}

// checkAttempt counts an attempt, checks it against the history of its request, and adds it to the history.
func (a *audit) checkAttempt(name string, next *attempt, history *requestHistory) {
	a.attempts++
	if next.clientClosed {
		a.attemptsAfterDisconnect++
		a.maxAgeAfterDisconnect = max(a.maxAgeAfterDisconnect, next.writeStarted-next.arrived)
	}
	if history.completed {
		a.addViolation(name, next.requestID, "attempt %d was sent after the final reply or the client's disconnect", next.attempt)
	}
	if len(history.attempts) > 0 {
		a.retries++
	}
	mayHaveExecuted := func(earlier *attempt) bool { return !earlier.knownNotExecuted(next.writeStarted) }
	i := slices.IndexFunc(history.attempts, mayHaveExecuted)
	history.attempts = append(history.attempts, next)
	if i < 0 || next.idempotency == idempotent {
		return
	}
	first := history.attempts[i]
	if problem := a.checkRepeat(first, next); problem != "" {
		a.addViolation(name, next.requestID, "attempt %d at %.3f to %s after attempt %d at %.3f to %s: %s",
			next.attempt, next.at, next.endpoint, first.attempt, first.at, first.endpoint, problem)
	}
}

// checkRepeat checks an attempt that follows first, the earliest attempt of its request that may have executed. It
// returns the violated rule, or "" if the attempt is allowed. It also updates keyedRetries and minWindowLeft.
func (a *audit) checkRepeat(first, next *attempt) string {
	if next.idempotency == nonIdempotent {
		return "the class must not execute twice"
	}
	if !first.sameDedupGroup(next) {
		return "outside the dedup group"
	}
	left := first.at + first.window - next.at
	a.keyedRetries++
	a.minWindowLeft = min(a.minWindowLeft, left)
	if left < 0 {
		return fmt.Sprintf("%.3f s after the idempotency window", -left)
	}
	return ""
}

// checkRejection checks the attempts of a rejected request. The client may repeat the request, so unless it is safe to
// repeat, the gateway must know of each attempt that it was not executed.
func (a *audit) checkRejection(name string, e event, history *requestHistory) {
	for _, sent := range history.attempts {
		safeToRepeat := sent.idempotency == idempotent || sent.idempotency == idempotencyKey && sent.dedupScope == "all"
		if safeToRepeat || sent.knownNotExecuted(e.at) {
			continue
		}
		a.addViolation(name, e.requestID, "rejected at %.3f although attempt %d may have executed", e.at, sent.attempt)
		return
	}
}

func (a *audit) addViolation(name, requestID, format string, args ...any) {
	a.violations = append(a.violations, name+" "+requestID+": "+fmt.Sprintf(format, args...))
}

// report returns a summary of the counts and times, followed by one line for each violation.
func (a *audit) report() string {
	var out strings.Builder
	writeLine := func(format string, args ...any) { out.WriteString(fmt.Sprintf(format, args...) + "\n") }
	writeLine("attempts %d, of them retries %d, with an idempotency key in the same dedup group %d", a.attempts, a.retries, a.keyedRetries)
	if a.keyedRetries > 0 {
		writeLine("shortest remaining idempotency window at a retry: %.3f s", a.minWindowLeft)
	}
	writeLine("attempts for disconnected clients: %d, %.3f s at most from the request's arrival to the start of the write",
		a.attemptsAfterDisconnect, a.maxAgeAfterDisconnect)
	writeLine("violations: %d", len(a.violations))
	for _, violation := range a.violations {
		writeLine("%s", violation)
	}
	return out.String()
}
