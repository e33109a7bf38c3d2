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

// maxLineBytes is the longest line of a log, in bytes.
const maxLineBytes = 1 << 20

// attempt is one whose command was wholly written.
type attempt struct {
	event
	ended   bool
	endedAt float64
	result  string
}

// knownNotExecuted tells whether the attempt was known at a time not to have executed.
func (a *attempt) knownNotExecuted(at float64) bool {
	return a.ended && a.endedAt <= at && a.result == rejectedStatus
}

// sameDedupGroup tells whether the endpoints of two attempts drop repeats of the same key.
func (a *attempt) sameDedupGroup(b *attempt) bool {
	switch a.dedupScope {
	case "zone":
		return a.zone == b.zone
	case "cell":
		return a.zone == b.zone && a.cell == b.cell
	}
	return true
}

// requestHistory is what became of one request at one gateway.
type requestHistory struct {
	attempts  []*attempt
	completed bool
}

// audit holds the counts over all logs.
type audit struct {
	attempts                int
	retries                 int // attempts that are not the first of their request
	keyedRetries            int // of them those that an idempotency key covers
	attemptsAfterDisconnect int // attempts whose client had disconnected
	maxAgeAfterDisconnect   float64
	minWindowLeft           float64 // the least time that was left of an idempotency window at a retry
	violations              []string
}

func newAudit() *audit { return &audit{minWindowLeft: math.Inf(1)} }

// readFile replays the log of one gateway.
func (a *audit) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // it was only read
	return a.read(path, file)
}

// read replays the log of one gateway, which name stands for in violations, in its order.
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

// apply takes in one event of a request.
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

// recordEnd notes how an attempt ended.
func (h *requestHistory) recordEnd(e event) {
	for _, sent := range h.attempts {
		if sent.attempt == e.attempt && !sent.ended {
			sent.ended, sent.result, sent.endedAt = true, e.status, e.at
		}
	}
}

// checkAttempt counts an attempt and checks it against all before it.
func (a *audit) checkAttempt(name string, next *attempt, history *requestHistory) {
	a.attempts++
	if next.clientClosed {
		a.attemptsAfterDisconnect++
		a.maxAgeAfterDisconnect = max(a.maxAgeAfterDisconnect, next.writeStarted-next.arrived)
	}
	if history.completed {
		a.addViolation(name, next.requestID, "attempt %d was sent after the final reply", next.attempt)
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

// checkRepeat tells why an attempt must not follow the first one that may have executed; "" if it may.
func (a *audit) checkRepeat(first, next *attempt) string {
	if next.idempotency == nonIdempotent {
		return "the class must not execute twice"
	}
	if !first.sameDedupGroup(next) {
		return "outside the deduplication scope"
	}
	left := first.at + first.window - next.at
	a.keyedRetries++
	a.minWindowLeft = min(a.minWindowLeft, left)
	if left < 0 {
		return fmt.Sprintf("%.3f s after the idempotency window", -left)
	}
	return ""
}

// checkRejection checks a rejection, which promises that nothing has executed or that a repeat does no harm.
func (a *audit) checkRejection(name string, e event, history *requestHistory) {
	for _, sent := range history.attempts {
		safeToRepeat := sent.idempotency == idempotent || sent.idempotency == idempotencyKey && sent.dedupScope == "all"
		if safeToRepeat || sent.knownNotExecuted(e.at) {
			continue
		}
		a.addViolation(name, e.requestID, "rejected at %.3f, though attempt %d may have executed", e.at, sent.attempt)
		return
	}
}

func (a *audit) addViolation(name, requestID, format string, args ...any) {
	a.violations = append(a.violations, name+" "+requestID+": "+fmt.Sprintf(format, args...))
}

// report is the counts, and then the violations, a line each.
func (a *audit) report() string {
	var out strings.Builder
	writeLine := func(format string, args ...any) { out.WriteString(fmt.Sprintf(format, args...) + "\n") }
	writeLine("attempts %d, of them retries %d, covered by an idempotency key %d", a.attempts, a.retries, a.keyedRetries)
	if a.keyedRetries > 0 {
		writeLine("least time left of an idempotency window: %.3f s", a.minWindowLeft)
	}
	writeLine("attempts for disconnected clients: %d, %.3f s after the request had arrived at most",
		a.attemptsAfterDisconnect, a.maxAgeAfterDisconnect)
	writeLine("violations: %d", len(a.violations))
	for _, violation := range a.violations {
		writeLine("%s", violation)
	}
	return out.String()
}
