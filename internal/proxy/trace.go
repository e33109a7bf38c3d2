package proxy

import (
	"context"
	"log/slog"

	"reedlead/policy"
)

// The trace: with a log at debug level each request's way can be followed by its id, through every
// ingress that it came to. cmd/audit reads it.

var effectNames = map[policy.Idempotency]string{policy.Idempotent: "safe", policy.IdempotencyKey: "keyed", policy.NonIdempotent: "unsafe"}

var scopeNames = map[policy.DedupScope]string{policy.DedupFleet: "all", policy.DedupZone: "zone", policy.DedupCell: "cell"}

var statusNames = map[policy.AttemptStatus]string{
	policy.OK: "ok", policy.Error: "error", policy.Rejected: "full",
	policy.Timeout: "timeout", policy.ConnectFailed: "connect_failed", policy.Reset: "reset",
	policy.Cancelled: "cancelled", policy.NotSent: "not_sent",
}

// tracing tells whether anybody reads a trace. It never changes.
func (p *Proxy) tracing() bool { return p.log.Enabled(context.Background(), slog.LevelDebug) }

// traceTaken tells that a request was taken: when its last byte had come, when the loop got to it, and its time.
func (p *Proxy) traceTaken(r *request) {
	if p.tracing() {
		p.log.Debug("taken", "id", r.ID, "connection", r.client.number, "came", r.cameAt, "at", p.clock.now(),
			"deadline", r.deadline)
	}
}

// traceSent tells that the last byte of an attempt was written. Safe for any goroutine that the attempt
// was handed to: what it reads does not change any more.
func (p *Proxy) traceSent(a *attempt, to target, from, at float64) {
	if !p.tracing() || a.request == nil {
		return
	}
	class := p.class(a.request)
	p.log.Debug("sent", "id", a.request.ID, "try", a.number, "kind", string(a.kind), "class", class.Name, "effect", effectNames[class.Idempotency],
		"scope", scopeNames[class.DedupScope], "ttl", class.IdempotencyWindow, "backend", to.ID, "zone", to.Zone, "cell", to.Cell,
		"started", float64(to.StartedMS)/1000, "read", a.request.cameAt, "from", from, "at", at,
		"until", a.expiresAt,
		"deadline", a.request.deadline, "left", closedByPeer(a.request.client.raw))
}

// traceEnded tells how an attempt ended.
func (p *Proxy) traceEnded(a *attempt, res result, at float64) {
	if p.tracing() && a.request != nil {
		p.log.Debug("ended", "id", a.request.ID, "try", a.number, "status", statusNames[res.status], "at", at,
			"spoilt", res.spoilt)
	}
}

// traceAnswer tells a request's final answer, by its first word.
func (p *Proxy) traceAnswer(r *request, answer []byte, why policy.Reason) {
	if p.tracing() {
		word := "value"
		if len(answer) > 4 && answer[0] == '-' {
			word = string(answer[1:4])
		}
		p.log.Debug("answered", "id", r.ID, "word", word, "reason", string(why), "at", p.clock.now())
	}
}

// traceGone tells that a request's client was found to have left.
func (p *Proxy) traceGone(r *request) {
	if p.tracing() {
		p.log.Debug("gone", "id", r.ID, "at", p.clock.now())
	}
}

// class is that of a request, as the settings have it.
func (p *Proxy) class(r *request) policy.Class {
	for _, c := range p.cfg.Settings.Classes {
		if c.Name == r.Class {
			return c
		}
	}
	return policy.Class{}
}
