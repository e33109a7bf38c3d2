package proxy

import (
	"math"
	"slices"

	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const probeS = 0.25 // how long a probe's answer is waited for

// attempt is one send of a request to a backend, or with no request a probe.
type attempt struct {
	req           *request
	be            *backend
	number        int
	sentAt        float64
	until         float64 // when the ingress stops waiting
	writeDeadline float64 // when the last byte must be out, by the clock and not by the loop's time; +Inf: at any time
	timer         *timer  // rings then
	conn          *backConn
	done          bool
	kind          attemptKind
}

// attemptKind tells why an attempt is made.
type attemptKind string

const (
	firstTry attemptKind = "first"
	retry    attemptKind = "retry" // none is out any more
	hedge    attemptKind = "hedge" // beside one that is out
)

// kindOf is the kind of a request's next attempt.
func kindOf(r *request) attemptKind {
	switch {
	case len(r.attempts) == 0:
		return firstTry
	case r.out > 0:
		return hedge
	}
	return retry
}

// Send implements policy.Actions.
func (p *Proxy) Send(id, server string, timeoutS, writeWithinS float64) {
	r := p.requests[id]
	if r == nil {
		p.warn("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{
		req: r, be: p.backends.byID[server], number: len(r.attempts), sentAt: p.now, until: r.deadline,
		writeDeadline: math.Inf(1),
	}
	if timeoutS != 0 {
		a.until = min(a.until, p.now+timeoutS)
	}
	if writeWithinS != 0 {
		a.writeDeadline = p.now + writeWithinS
	}
	a.kind = kindOf(r)
	r.attempts = append(r.attempts, a)
	r.out++
	switch {
	case len(r.attempts) > max(1, p.cfg.Settings.MaxAttempts) || (p.unsendable(a) || p.superseded(r)) && timeoutS >= 0:
		p.finishDeferred(a, policy.NotSent)
	case timeoutS < 0:
		p.finishDeferred(a, policy.Timeout)
	default:
		p.start(a)
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
	a := &attempt{be: p.backends.byID[server], sentAt: p.now, until: p.now + probeS, writeDeadline: math.Inf(1)}
	if a.be == nil {
		p.warn("probe of a backend that is not listed", "id", server)
		return
	}
	p.start(a)
}

// unsendable tells that no byte of the attempt may be written any more.
func (p *Proxy) unsendable(a *attempt) bool {
	return a.be == nil || a.be.state != policy.InService || a.req != nil && a.req.over || p.now >= a.until
}

// superseded tells that what would make a send of the request needless or wrong has come, though the loop
// has not heard of it: an answer lies in the socket of an earlier attempt, or the client has left. A request
// that was only just read is no exception: it may have lain in its socket for long.
func (p *Proxy) superseded(r *request) bool { return p.answerWaits(r) || p.hungUp(r.client) }

// answerWaits tells that an attempt of the request has ended, though the loop has not heard of it.
func (p *Proxy) answerWaits(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.dead.Load() || !c.busy.Load() || !silent(c.raw))
	})
}

// hungUp tells that the client has closed its connection, and takes its leave then, once the module's
// current event is over.
func (p *Proxy) hungUp(c *client) bool {
	if c.closed || !closedByPeer(c.raw) {
		return c.closed
	}
	p.deferred = append(p.deferred, func() { p.clientGone(c, peerClosed, nil) })
	return true
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (p *Proxy) start(a *attempt) {
	a.timer = p.after(a.until-p.now, func() { p.expire(a) })
	if c := p.takeIdle(a.be); c != nil {
		p.write(c, a)
	} else if !p.dialFor(a) {
		p.warn("send not made: too many connections", "open", p.backends.open)
		p.finishDeferred(a, policy.NotSent)
	}
}

// command appends what the attempt sends when its writing begins at a time, and tells how many seconds it may take
// beyond the usual, which its client has left and the backend is not told of.
func (p *Proxy) command(b []byte, a *attempt, at float64) (command []byte, reserve float64) {
	if a.req == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load"), 0
	}
	left := a.until - at
	if a.req.size > longCommand {
		reserve = min(left*reserveShare, maxReserveS)
	}
	return a.req.appendTo(b, left-reserve), reserve
}

// expire stops waiting for an attempt. What was never wholly written has not run.
func (p *Proxy) expire(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		p.finish(a, result{status: policy.NotSent}, p.now)
	case p.cutOff(a.conn):
		p.finish(a, result{status: policy.ConnectFailed}, p.now)
	default:
		p.finish(a, result{status: policy.Timeout}, p.now)
	}
}

// finishDeferred ends an attempt now and reports it once the module's current event is over.
func (p *Proxy) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	p.detach(a)
	p.deferred = append(p.deferred, func() { p.report(a, result{status: status}, p.now) })
}

// finish ends an attempt and reports it.
func (p *Proxy) finish(a *attempt, res result, at float64) {
	if a.done {
		return
	}
	a.done = true
	p.detach(a)
	p.report(a, res, at)
}

// detach gives up what an attempt still holds: giving up a connection in use means closing it.
func (p *Proxy) detach(a *attempt) {
	p.stopTimer(a.timer)
	if a.conn != nil {
		why := attemptGivenUp
		if a.conn.dead.Load() {
			why = notUsable
		}
		p.closeConn(a.conn, why, nil)
		a.conn = nil
	} else if a.be != nil {
		a.be.waiting = slices.DeleteFunc(a.be.waiting, func(w *attempt) bool { return w == a })
	}
}

// report answers the client, if this is what it waits for, and tells the module.
func (p *Proxy) report(a *attempt, res result, at float64) {
	spent := max(at-a.sentAt, 0)
	p.traceEnded(a, res, at)
	if a.req == nil {
		p.decider.HandleHealthCheck(p.now, policy.HealthCheckResult{Endpoint: a.be.ID, Status: res.status, Elapsed: spent, Load: res.load})
		return
	}
	r := a.req
	r.out--
	if res.status == policy.OK {
		p.answer(r, res.value, served)
	}
	p.forget(r)
	server := ""
	if a.be != nil {
		server = a.be.ID
	}
	p.decider.HandleOutcome(p.now, policy.Outcome{
		RequestID: r.ID, Endpoint: server, Attempt: a.number, Status: res.status,
		RequestDone: r.over, Elapsed: spent, Load: res.load,
	})
}
