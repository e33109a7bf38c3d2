package proxy

import (
	"context"
	"log/slog"

	"reedlead/internal/netcalls"

	"reedlead/internal/discovery"

	"reedlead/policy"
)

// The trace follows each request by its id, through every gateway that it came to, in the log at debug level. Its
// messages and keys are read by cmd/audit; times are in seconds of the process's own clock.
const (
	traceAccepted     = "request accepted"
	traceAttemptSent  = "attempt sent"
	traceAttemptEnded = "attempt ended"
	traceCompleted    = "request completed"
	traceClientGone   = "client disconnected"
)

// tracing tells whether the trace is logged. It never changes.
func (p *Proxy) tracing() bool { return p.log.Enabled(context.Background(), slog.LevelDebug) }

// traceAcceptedRequest logs when a request's last byte had arrived, when the loop handled it, and its deadline.
func (p *Proxy) traceAcceptedRequest(r *request) {
	if !p.tracing() {
		return
	}
	p.log.Debug(
		traceAccepted, "id", r.ID, "connection", r.client.number,
		"arrived", r.cameAt, "at", p.clock.now(), "deadline", r.deadline,
	)
}

// traceSent logs that the last byte of an attempt was written, at the time at; its writing had started at
// writeStarted. Safe for any goroutine that the attempt was handed to: what it reads does not change any more.
func (p *Proxy) traceSent(a *attempt, to discovery.Endpoint, writeStarted, at float64) {
	if !p.tracing() || a.request == nil {
		return
	}
	class := p.class(a.request)
	p.log.Debug(
		traceAttemptSent, "id", a.request.ID, "attempt", a.number, "kind", string(a.kind),
		"class", class.Name, "idempotency", class.Idempotency.String(),
		"dedup_scope", class.DedupScope.String(), "idempotency_window", class.IdempotencyWindow,
		"endpoint", to.ID, "zone", to.Zone, "cell", to.Cell, "endpoint_started", float64(to.StartedMS)/1000,
		"arrived", a.request.cameAt, "write_started", writeStarted, "at", at,
		"timeout_at", a.expiresAt, "deadline", a.request.deadline, "client_closed", netcalls.ClosedByPeer(a.request.client.rawConn),
	)
}

// traceEnded logs how an attempt ended.
func (p *Proxy) traceEnded(a *attempt, res attemptResult, at float64) {
	if !p.tracing() || a.request == nil {
		return
	}
	p.log.Debug(
		traceAttemptEnded, "id", a.request.ID, "attempt", a.number, "status", res.status.String(), "at", at,
		"malformed", res.malformedText(),
	)
}

// traceReply logs a request's final reply, by the kind of it, and why it is not a value.
func (p *Proxy) traceReply(r *request, reply []byte, why policy.Reason) {
	if !p.tracing() {
		return
	}
	p.log.Debug(traceCompleted, "id", r.ID, "reply", replyKind(reply), "reason", string(why), "at", p.clock.now())
}

// replyKind is "value", or of an error the first three letters of its code.
func replyKind(reply []byte) string {
	const codeLength = 3
	if len(reply) > 1+codeLength && reply[0] == '-' {
		return string(reply[1 : 1+codeLength])
	}
	return "value"
}

// traceGone logs that a request's client was found to have disconnected.
func (p *Proxy) traceGone(r *request) {
	if !p.tracing() {
		return
	}
	p.log.Debug(traceClientGone, "id", r.ID, "at", p.clock.now())
}

// class is that of a request, as the settings describe it.
func (p *Proxy) class(r *request) policy.Class {
	for _, c := range p.cfg.Settings.Classes {
		if c.Name == r.Class {
			return c
		}
	}
	return policy.Class{}
}
