package proxy

import (
	"math"
	"slices"

	"reedlead/internal/netcalls"

	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const healthCheckTimeoutS = 0.25 // how long a probe's answer is waited for

// attempt is one send of a request to a backend, or with no request a probe.
type attempt struct {
	request       *request
	endpoint      *endpoint
	number        int
	sentAt        float64
	expiresAt     float64 // when the ingress stops waiting
	writeDeadline float64 // when the last byte must be out, by the clock and not by the loop's time; +Inf: at any time
	timer         *timer  // rings then
	conn          *backendConn
	done          bool
	kind          attemptKind
}

// attemptKind tells why an attempt is made.
type attemptKind string

const (
	firstAttempt attemptKind = "first"
	retry        attemptKind = "retry" // none is out any more
	hedge        attemptKind = "hedge" // beside one that is out
)

// kindOf is the kind of a request's next attempt.
func kindOf(r *request) attemptKind {
	switch {
	case len(r.attempts) == 0:
		return firstAttempt
	case r.out > 0:
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

// Send implements policy.Actions.
func (p *Proxy) Send(id, server string, timeoutS, writeWithinS float64) {
	r := p.requests[id]
	if r == nil {
		p.warn("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{
		request: r, endpoint: p.endpoints.byID[server], number: len(r.attempts), sentAt: p.now, expiresAt: r.deadline,
		writeDeadline: math.Inf(1),
	}
	if timeoutS != 0 {
		a.expiresAt = min(a.expiresAt, p.now+timeoutS)
	}
	if writeWithinS != 0 {
		a.writeDeadline = p.now + writeWithinS
	}
	a.kind = kindOf(r)
	r.attempts = append(r.attempts, a)
	r.out++
	switch {
	case len(r.attempts) > max(1, p.cfg.Settings.MaxAttempts) || (p.unsendable(a) || p.alreadySettled(r)) && timeoutS >= 0:
		p.finishDeferred(a, policy.NotSent)
	case timeoutS < 0:
		p.finishDeferred(a, policy.Timeout)
	default:
		p.startAttempt(a)
	}
}

// Cancel implements policy.Actions.
func (p *Proxy) Cancel(id string, number int) {
	if r := p.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		p.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (p *Proxy) HealthCheck(server string) {
	a := &attempt{endpoint: p.endpoints.byID[server], sentAt: p.now, expiresAt: p.now + healthCheckTimeoutS, writeDeadline: math.Inf(1)}
	if a.endpoint == nil {
		p.warn("probe of a backend that is not listed", "id", server)
		return
	}
	p.startAttempt(a)
}

// unsendable tells that no byte of the attempt may be written any more.
func (p *Proxy) unsendable(a *attempt) bool {
	return a.endpoint == nil || a.endpoint.state != policy.InService || a.request != nil && a.request.over || p.now >= a.expiresAt
}

// superseded tells that what would make a send of the request needless or wrong has come, though the loop
// has not heard of it: an answer lies in the socket of an earlier attempt, or the client has left. A request
// that was only just read is no exception: it may have lain in its socket for long.
func (p *Proxy) alreadySettled(r *request) bool {
	return p.replyPending(r) || p.clientDisconnected(r.client)
}

// answerWaits tells that an attempt of the request has ended, though the loop has not heard of it.
func (p *Proxy) replyPending(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.unusable.Load() || !c.awaitingReply.Load() || !netcalls.NoDataPending(c.raw))
	})
}

// hungUp tells that the client has closed its connection, and takes its leave then, once the module's
// current event is over.
func (p *Proxy) clientDisconnected(c *clientConn) bool {
	if c.closed || !netcalls.ClosedByPeer(c.rawConn) {
		return c.closed
	}
	p.deferred = append(p.deferred, func() { c.abandon(peerClosed, nil) })
	return true
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (p *Proxy) startAttempt(a *attempt) {
	a.timer = p.after(a.expiresAt-p.now, func() { p.expireAttempt(a) })
	if c := p.acquireIdle(a.endpoint); c != nil {
		p.writeCommand(c, a)
	} else if !p.awaitDial(a) {
		p.warn("send not made: too many connections", "open", p.endpoints.openConns)
		p.finishDeferred(a, policy.NotSent)
	}
}

// command appends what the attempt sends when its writing begins at a time, and tells how many seconds it may take
// beyond the usual, which its client has left and the backend is not told of.
func (p *Proxy) appendCommand(b []byte, a *attempt, at float64) (command []byte, reserve float64) {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load"), 0
	}
	left := a.expiresAt - at
	if a.request.Size > longCommand {
		reserve = min(left*reserveShare, maxReserveS)
	}
	return a.request.AppendTo(b, left-reserve), reserve
}

// expire stops waiting for an attempt. What was never wholly written has not run.
func (p *Proxy) expireAttempt(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		p.finishAttempt(a, attemptResult{status: policy.NotSent}, p.now)
	case p.abortWrite(a.conn):
		p.finishAttempt(a, attemptResult{status: policy.ConnectFailed}, p.now)
	default:
		p.finishAttempt(a, attemptResult{status: policy.Timeout}, p.now)
	}
}

// finishDeferred ends an attempt now and reports it once the module's current event is over.
func (p *Proxy) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	p.releaseAttempt(a)
	p.deferred = append(p.deferred, func() { p.reportOutcome(a, attemptResult{status: status}, p.now) })
}

// finish ends an attempt and reports it.
func (p *Proxy) finishAttempt(a *attempt, res attemptResult, at float64) {
	if a.done {
		return
	}
	a.done = true
	p.releaseAttempt(a)
	p.reportOutcome(a, res, at)
}

// detach gives up what an attempt still holds: giving up a connection in use means closing it.
func (p *Proxy) releaseAttempt(a *attempt) {
	p.stopTimer(a.timer)
	if a.conn != nil {
		why := attemptGivenUp
		if a.conn.unusable.Load() {
			why = notUsable
		}
		p.closeBackendConn(a.conn, why, nil)
		a.conn = nil
	} else if a.endpoint != nil {
		a.endpoint.waiting = slices.DeleteFunc(a.endpoint.waiting, func(w *attempt) bool { return w == a })
	}
}

// report answers the client, if this is what it waits for, and tells the module.
func (p *Proxy) reportOutcome(a *attempt, res attemptResult, at float64) {
	spent := max(at-a.sentAt, 0)
	p.traceEnded(a, res, at)
	if a.request == nil {
		p.decider.HandleHealthCheck(p.now, policy.HealthCheckResult{Endpoint: a.endpoint.ID, Status: res.status, Elapsed: spent, Load: res.load})
		return
	}
	r := a.request
	r.out--
	if res.status == policy.OK {
		p.answer(r, res.value, served)
	}
	p.forget(r)
	server := ""
	if a.endpoint != nil {
		server = a.endpoint.ID
	}
	p.decider.HandleOutcome(p.now, policy.Outcome{
		RequestID: r.ID, Endpoint: server, Attempt: a.number, Status: res.status,
		RequestDone: r.over, Elapsed: spent, Load: res.load,
	})
}
