package proxy

import (
	"context"
	"log/slog"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// The trace follows each request by its id, through every gateway that it reached, in the log at debug level. Its
// messages and keys are read by cmd/audit; times are in seconds of the process's own clock.
const (
	traceAccepted     = "request accepted"
	traceAttemptSent  = "attempt sent"
	traceAttemptEnded = "attempt ended"
	traceCompleted    = "request completed"
	traceClientGone   = "client disconnected"
)

// tracer logs the trace. It never changes after the goroutines have started, and is safe for all of them.
type tracer struct {
	services *services
	classes  []policy.Class
}

// enabled reports whether the trace is logged. It never changes.
func (t *tracer) enabled() bool { return t.services.log.Enabled(context.Background(), slog.LevelDebug) }

// accepted logs when a request's last byte had arrived, when the loop handled it, and its deadline.
func (t *tracer) accepted(r *request) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(
		traceAccepted, "id", r.ID, "connection", r.client.number,
		"arrived", r.arrivedAt, "at", t.services.clock.Now(), "deadline", r.deadline,
	)
}

// attemptSent logs that the last byte of an attempt was written, at the time at; its writing had started at
// writeStarted. What it reads of the attempt does not change any more.
func (t *tracer) attemptSent(a *attempt, to discovery.Endpoint, writeStarted, at policy.Seconds) {
	if !t.enabled() || a.request == nil {
		return
	}
	class := t.class(a.request)
	t.services.log.Debug(
		traceAttemptSent, "id", a.request.ID, "attempt", a.number, "kind", string(a.kind),
		"class", class.Name, "idempotency", class.Idempotency.String(),
		"dedup_scope", class.DedupScope.String(), "idempotency_window", class.IdempotencyWindow,
		"endpoint", to.ID, "zone", to.Zone, "cell", to.Cell, "endpoint_started", float64(to.StartedMS)/1000,
		"arrived", a.request.arrivedAt, "write_started", writeStarted, "at", at,
		"timeout_at", a.timeoutAt, "deadline", a.request.deadline,
		"client_closed", netcalls.ClosedByPeer(a.request.client.rawConn),
	)
}

// attemptEnded logs how an attempt ended.
func (t *tracer) attemptEnded(a *attempt, result attemptResult, at policy.Seconds) {
	if !t.enabled() || a.request == nil {
		return
	}
	t.services.log.Debug(
		traceAttemptEnded, "id", a.request.ID, "attempt", a.number, "status", result.status.String(), "at", at,
		"malformed", result.malformedText(),
	)
}

// completed logs a request's final reply, by the kind of it, and why it is not a value.
func (t *tracer) completed(r *request, reply []byte, why policy.Reason) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(
		traceCompleted, "id", r.ID, "reply", replyKind(reply), "reason", string(why), "at", t.services.clock.Now(),
	)
}

// replyKind is "value", or of an error the first three letters of its code.
func replyKind(reply []byte) string {
	const codeLength = 3
	if len(reply) > 1+codeLength && reply[0] == '-' {
		return string(reply[1 : 1+codeLength])
	}
	return "value"
}

// clientGone logs that a request's client was found to have disconnected.
func (t *tracer) clientGone(r *request) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(traceClientGone, "id", r.ID, "at", t.services.clock.Now())
}

// class is that of a request, as the settings describe it.
func (t *tracer) class(r *request) policy.Class {
	for _, c := range t.classes {
		if c.Name == r.Class {
			return c
		}
	}
	return policy.Class{}
}
