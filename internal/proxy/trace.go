package proxy

import (
	"context"
	"log/slog"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// Messages of the trace, which follows each request by its id through the logs of all gateways that it reaches. It is
// logged at debug level, and cmd/audit reads its messages and keys. Times are in seconds of the process's clock, except
// for endpoint_started, which is the Unix time that discovery reports.
const (
	traceAccepted           = "request accepted"
	traceAttemptSent        = "attempt sent"
	traceAttemptEnded       = "attempt ended"
	traceCompleted          = "request completed"
	traceClientDisconnected = "client disconnected"
)

// tracer logs the trace. It does not change after the goroutines have started, and is safe for concurrent use.
type tracer struct {
	services *services
	classes  []policy.Class
}

// enabled reports whether the log level includes the trace.
func (t *tracer) enabled() bool { return t.services.log.Enabled(context.Background(), slog.LevelDebug) }

// accepted logs that a request was opened, with its connection, the estimated arrival time of its last byte, the current
// time and the deadline.
func (t *tracer) accepted(r *request) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(
		traceAccepted, "id", r.ID, "connection", r.client.number,
		"arrived", r.arrivedAt, "at", t.services.clock.Now(), "deadline", r.deadline,
	)
}

// attemptSent logs that the command of an attempt was completely written. writeStarted and at are the times at which the
// write began and ended. Any goroutine may call attemptSent, because the fields that it reads no longer change.
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

// attemptEnded logs the status of an attempt that ended at the given time, and why its reply is malformed, if it is. It
// does not log health checks.
func (t *tracer) attemptEnded(a *attempt, result attemptResult, at policy.Seconds) {
	if !t.enabled() || a.request == nil {
		return
	}
	t.services.log.Debug(
		traceAttemptEnded, "id", a.request.ID, "attempt", a.number, "status", result.status.String(), "at", at,
		"malformed", result.malformedText(),
	)
}

// completed logs the kind of a request's final reply, and the reason if the reply is not a value.
func (t *tracer) completed(r *request, reply []byte, why policy.Reason) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(
		traceCompleted, "id", r.ID, "reply", replyKind(reply), "reason", string(why), "at", t.services.clock.Now(),
	)
}

// replyKind returns the first three letters of the code of an error reply, or "value" for other replies.
func replyKind(reply []byte) string {
	const codeLength = 3
	if len(reply) > 1+codeLength && reply[0] == '-' {
		return string(reply[1 : 1+codeLength])
	}
	return "value"
}

// clientDisconnected logs that the client connection of an open request was abandoned.
func (t *tracer) clientDisconnected(r *request) {
	if !t.enabled() {
		return
	}
	t.services.log.Debug(traceClientDisconnected, "id", r.ID, "at", t.services.clock.Now())
}

// class returns the settings of a request's class, or the zero value if the class is unknown.
func (t *tracer) class(r *request) policy.Class {
	for _, c := range t.classes {
		if c.Name == r.Class {
			return c
		}
	}
	return policy.Class{}
}
