package proxy

import (
	"math"
	"slices"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// healthCheckTimeout is how long the reply to a health check is waited for.
const healthCheckTimeout policy.Seconds = 0.25

// attempt is one send of a request to an endpoint, or with no request a health check. The event loop owns it; a writer
// goroutine reads what does not change once it is written.
type attempt struct {
	request       *request
	endpoint      *endpoint // nil if the one that was chosen is not listed
	number        int       // of the request's attempts, from 0
	kind          attemptKind
	sentAt        policy.Seconds
	expiresAt     policy.Seconds   // when the reply is not waited for any more
	writeDeadline policy.Seconds   // when the last byte must be written, by the clock, not by the loop's time; +Inf: at any time
	timer         *eventloop.Timer // fires at expiresAt
	conn          *backendConn     // that it holds; nil before and after
	done          bool
}

// attemptKind tells why an attempt is made. The trace holds it.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retry        attemptKind = "retry" // no other is in flight any more
	hedge        attemptKind = "hedge" // beside one that is in flight
)

// kindOf is the kind of a request's next attempt.
func kindOf(r *request) attemptKind {
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

// malformedReply is the result of an attempt whose reply can't be used: its request may have been executed, and
// nothing else is known of the endpoint, which is up and at work.
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

// Send implements policy.Actions. A timeout of 0 stands for the request's deadline; with one below 0 the attempt has
// timed out at once.
func (p *Proxy) Send(id, endpointID string, timeout, writeWithin policy.Seconds) {
	r := p.requests[id]
	if r == nil {
		p.warn("attempt for a request that is not open", "id", id)
		return
	}
	a := p.newAttempt(r, endpointID, timeout, writeWithin)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	tooMany := len(r.attempts) > max(1, p.cfg.Settings.MaxAttempts)
	switch {
	case tooMany || (p.unsendable(a) || p.alreadySettled(r)) && timeout >= 0:
		p.finishDeferred(a, policy.NotSent)
	case timeout < 0:
		p.finishDeferred(a, policy.Timeout)
	default:
		p.startAttempt(a)
	}
}

// newAttempt makes a request's next attempt.
func (p *Proxy) newAttempt(r *request, endpointID string, timeout, writeWithin policy.Seconds) *attempt {
	a := &attempt{
		request: r, endpoint: p.endpoints.byID[endpointID], number: len(r.attempts), kind: kindOf(r),
		sentAt: p.loop.Now(), expiresAt: r.deadline, writeDeadline: math.Inf(1),
	}
	if timeout != 0 {
		a.expiresAt = min(a.expiresAt, p.loop.Now()+timeout)
	}
	if writeWithin != 0 {
		a.writeDeadline = p.loop.Now() + writeWithin
	}
	return a
}

// Cancel implements policy.Actions.
func (p *Proxy) Cancel(id string, number int) {
	if r := p.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		p.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// HealthCheck implements policy.Actions.
func (p *Proxy) HealthCheck(endpointID string) {
	a := &attempt{
		endpoint: p.endpoints.byID[endpointID],
		sentAt:   p.loop.Now(), expiresAt: p.loop.Now() + healthCheckTimeout, writeDeadline: math.Inf(1),
	}
	if a.endpoint == nil {
		p.warn("health check of an endpoint that is not listed", "endpoint", endpointID)
		return
	}
	p.startAttempt(a)
}

// unsendable tells whether no byte of the attempt may be written any more.
func (p *Proxy) unsendable(a *attempt) bool {
	e := a.endpoint
	return e == nil || e.state != policy.InService || a.request != nil && a.request.settled || p.loop.Now() >= a.expiresAt
}

// sendable tells whether an attempt that has waited may still be written.
func (p *Proxy) sendable(a *attempt) bool {
	return !p.unsendable(a) && (a.request == nil || !p.alreadySettled(a.request))
}

// alreadySettled tells whether something has come that makes an attempt of the request needless or wrong, though the
// event loop has not handled it: a reply is in the socket of an earlier attempt, or the client has disconnected. A
// request that was only just read is no exception: it may have been in its socket for long.
func (p *Proxy) alreadySettled(r *request) bool {
	return p.replyPending(r) || p.clientDisconnected(r.client)
}

// replyPending tells whether an attempt of the request has ended, though the event loop has not handled it.
func (p *Proxy) replyPending(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.unusable.Load() || !c.awaitingReply.Load() || !netcalls.NoDataPending(c.rawConn))
	})
}

// clientDisconnected tells whether the client has closed its connection. If so, it is abandoned once the current event
// of the decision module is over.
func (p *Proxy) clientDisconnected(c *clientConn) bool {
	if c.closed || !netcalls.ClosedByPeer(c.rawConn) {
		return c.closed
	}
	p.loop.Defer(func() { c.abandon(peerClosed, nil) })
	return true
}

// startAttempt writes the attempt to an idle connection, or has it wait for a new one.
func (p *Proxy) startAttempt(a *attempt) {
	a.timer = p.loop.After(a.expiresAt-p.loop.Now(), func() { p.expireAttempt(a) })
	if c := p.endpoints.acquireIdle(a.endpoint); c != nil {
		c.writeCommand(a)
		return
	}
	if !p.endpoints.awaitDial(a) {
		p.warn("attempt not sent: too many connections", "open", p.endpoints.openConns)
		p.finishDeferred(a, policy.NotSent)
	}
}

// expireAttempt stops waiting for the reply. A command that was never wholly written was not executed.
func (p *Proxy) expireAttempt(a *attempt) {
	if a.done {
		return
	}
	status := policy.Timeout
	switch {
	case a.conn == nil:
		status = policy.NotSent
	case a.conn.abortWrite():
		status = policy.ConnectFailed
	}
	p.finishAttempt(a, attemptResult{status: status}, p.loop.Now())
}

// finishDeferred ends an attempt now, and reports it once the current event of the decision module is over.
func (p *Proxy) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	p.releaseAttempt(a)
	p.loop.Defer(func() { p.reportOutcome(a, attemptResult{status: status}, p.loop.Now()) })
}

// finishAttempt ends an attempt and reports it.
func (p *Proxy) finishAttempt(a *attempt, res attemptResult, at policy.Seconds) {
	if a.done {
		return
	}
	a.done = true
	p.releaseAttempt(a)
	p.reportOutcome(a, res, at)
}

// releaseAttempt gives up what an attempt still holds. A connection that is in use is closed.
func (p *Proxy) releaseAttempt(a *attempt) {
	p.loop.Stop(a.timer)
	if a.conn != nil {
		why := attemptAbandoned
		if a.conn.unusable.Load() {
			why = notUsable
		}
		a.conn.close(why, nil)
		a.conn = nil
		return
	}
	if a.endpoint != nil {
		a.endpoint.waiting = slices.DeleteFunc(a.endpoint.waiting, func(w *attempt) bool { return w == a })
	}
}

// reportOutcome replies to the client, if this is what it waits for, and tells the decision module.
func (p *Proxy) reportOutcome(a *attempt, res attemptResult, at policy.Seconds) {
	elapsed := max(at-a.sentAt, 0)
	p.trace.attemptEnded(a, res, at)
	if a.request == nil {
		p.decider.HandleHealthCheck(p.loop.Now(), policy.HealthCheckResult{
			Endpoint: a.endpoint.ID, Status: res.status, Elapsed: elapsed, Load: res.load,
		})
		return
	}
	r := a.request
	r.inFlight--
	if res.status == policy.OK {
		p.reply(r, res.value, served)
	}
	p.removeIfDone(r)
	endpointID := ""
	if a.endpoint != nil {
		endpointID = a.endpoint.ID
	}
	p.decider.HandleOutcome(p.loop.Now(), policy.Outcome{
		RequestID: r.ID, Endpoint: endpointID, Attempt: a.number, Status: res.status,
		RequestDone: r.settled, Elapsed: elapsed, Load: res.load,
	})
}
