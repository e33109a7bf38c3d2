package ingress

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
func (in *Ingress) Send(id, server string, timeoutS, writeWithinS float64) {
	r := in.requests[id]
	if r == nil {
		in.warn("send for a request that is not open", "id", id)
		return
	}
	a := &attempt{
		req: r, be: in.backends.byID[server], number: len(r.attempts), sentAt: in.now, until: r.deadline,
		writeDeadline: math.Inf(1),
	}
	if timeoutS != 0 {
		a.until = min(a.until, in.now+timeoutS)
	}
	if writeWithinS != 0 {
		a.writeDeadline = in.now + writeWithinS
	}
	a.kind = kindOf(r)
	r.attempts = append(r.attempts, a)
	r.out++
	switch {
	case len(r.attempts) > max(1, in.cfg.Settings.MaxAttempts) || (in.unsendable(a) || in.superseded(r)) && timeoutS >= 0:
		in.finishDeferred(a, policy.NotSent)
	case timeoutS < 0:
		in.finishDeferred(a, policy.Timeout)
	default:
		in.start(a)
	}
}

// Cancel implements policy.Actions.
func (in *Ingress) Cancel(id string, number int) {
	if r := in.requests[id]; r != nil && number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		in.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// Probe implements policy.Actions.
func (in *Ingress) HealthCheck(server string) {
	a := &attempt{be: in.backends.byID[server], sentAt: in.now, until: in.now + probeS, writeDeadline: math.Inf(1)}
	if a.be == nil {
		in.warn("probe of a backend that is not listed", "id", server)
		return
	}
	in.start(a)
}

// unsendable tells that no byte of the attempt may be written any more.
func (in *Ingress) unsendable(a *attempt) bool {
	return a.be == nil || a.be.state != policy.InService || a.req != nil && a.req.over || in.now >= a.until
}

// superseded tells that what would make a send of the request needless or wrong has come, though the loop
// has not heard of it: an answer lies in the socket of an earlier attempt, or the client has left. A request
// that was only just read is no exception: it may have lain in its socket for long.
func (in *Ingress) superseded(r *request) bool { return in.answerWaits(r) || in.hungUp(r.client) }

// answerWaits tells that an attempt of the request has ended, though the loop has not heard of it.
func (in *Ingress) answerWaits(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.dead.Load() || !c.busy.Load() || !silent(c.raw))
	})
}

// hungUp tells that the client has closed its connection, and takes its leave then, once the module's
// current event is over.
func (in *Ingress) hungUp(c *client) bool {
	if c.closed || !closedByPeer(c.raw) {
		return c.closed
	}
	in.deferred = append(in.deferred, func() { in.clientGone(c, peerClosed, nil) })
	return true
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (in *Ingress) start(a *attempt) {
	a.timer = in.after(a.until-in.now, func() { in.expire(a) })
	if c := in.takeIdle(a.be); c != nil {
		in.write(c, a)
	} else if !in.dialFor(a) {
		in.warn("send not made: too many connections", "open", in.backends.open)
		in.finishDeferred(a, policy.NotSent)
	}
}

// command appends what the attempt sends when its writing begins at a time, and tells how many seconds it may take
// beyond the usual, which its client has left and the backend is not told of.
func (in *Ingress) command(b []byte, a *attempt, at float64) (command []byte, reserve float64) {
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
func (in *Ingress) expire(a *attempt) {
	switch {
	case a.done:
	case a.conn == nil:
		in.finish(a, result{status: policy.NotSent}, in.now)
	case in.cutOff(a.conn):
		in.finish(a, result{status: policy.ConnectFailed}, in.now)
	default:
		in.finish(a, result{status: policy.Timeout}, in.now)
	}
}

// finishDeferred ends an attempt now and reports it once the module's current event is over.
func (in *Ingress) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	in.detach(a)
	in.deferred = append(in.deferred, func() { in.report(a, result{status: status}, in.now) })
}

// finish ends an attempt and reports it.
func (in *Ingress) finish(a *attempt, res result, at float64) {
	if a.done {
		return
	}
	a.done = true
	in.detach(a)
	in.report(a, res, at)
}

// detach gives up what an attempt still holds: giving up a connection in use means closing it.
func (in *Ingress) detach(a *attempt) {
	in.stopTimer(a.timer)
	if a.conn != nil {
		why := attemptGivenUp
		if a.conn.dead.Load() {
			why = notUsable
		}
		in.closeConn(a.conn, why, nil)
		a.conn = nil
	} else if a.be != nil {
		a.be.waiting = slices.DeleteFunc(a.be.waiting, func(w *attempt) bool { return w == a })
	}
}

// report answers the client, if this is what it waits for, and tells the module.
func (in *Ingress) report(a *attempt, res result, at float64) {
	spent := max(at-a.sentAt, 0)
	in.traceEnded(a, res, at)
	if a.req == nil {
		in.decider.HandleHealthCheck(in.now, policy.HealthCheckResult{Endpoint: a.be.ID, Status: res.status, Elapsed: spent, Load: res.load})
		return
	}
	r := a.req
	r.out--
	if res.status == policy.OK {
		in.answer(r, res.value, served)
	}
	in.forget(r)
	server := ""
	if a.be != nil {
		server = a.be.ID
	}
	in.decider.HandleOutcome(in.now, policy.Outcome{
		RequestID: r.ID, Endpoint: server, Attempt: a.number, Status: res.status,
		RequestDone: r.over, Elapsed: spent, Load: res.load,
	})
}
