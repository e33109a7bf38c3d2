package proxy

import (
	"math"
	"slices"

	"reedlead/internal/netcalls"
	"reedlead/internal/settings"
	"reedlead/policy"
)

// healthCheckTimeout is how long the reply to a health check is waited for.
const healthCheckTimeout policy.Seconds = 0.25

// attemptRunner makes the attempts of requests and the health checks, from the choice of a connection to the report of
// the outcome, which it gives once. The event loop owns it.
type attemptRunner struct {
	services  *services
	settings  *settings.Settings
	endpoints *endpointSet
	requests  *requestTable
	trace     *tracer
}

// send makes an attempt of a request. A timeout of 0 stands for the request's deadline; with one below 0 the attempt has
// timed out at once.
func (runner *attemptRunner) send(r *request, endpointID string, timeout, writeWithin policy.Seconds) {
	a := runner.newAttempt(r, endpointID, timeout, writeWithin)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	tooMany := len(r.attempts) > max(1, runner.settings.MaxAttempts)
	noLongerNeeded := !tooMany && (runner.mustNotStart(a) || runner.hasPendingEnd(r))
	switch {
	case tooMany || noLongerNeeded && timeout >= 0:
		runner.finishDeferred(a, policy.NotSent)
	case timeout < 0:
		runner.finishDeferred(a, policy.Timeout)
	default:
		runner.start(a)
	}
}

// newAttempt makes a request's next attempt.
func (runner *attemptRunner) newAttempt(r *request, endpointID string, timeout, writeWithin policy.Seconds) *attempt {
	now := runner.services.loop.Now()
	a := &attempt{
		request: r, endpoint: runner.endpoints.byID[endpointID], number: len(r.attempts), kind: nextAttemptKind(r),
		sentAt: now, timeoutAt: r.deadline, writeDeadline: math.Inf(1),
	}
	if timeout != 0 {
		a.timeoutAt = min(a.timeoutAt, now+timeout)
	}
	if writeWithin != 0 {
		a.writeDeadline = now + writeWithin
	}
	return a
}

// cancel ends the attempt of a request that has this number, unless it has ended.
func (runner *attemptRunner) cancel(r *request, number int) {
	if number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		runner.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// checkHealth makes a health check of an endpoint.
func (runner *attemptRunner) checkHealth(endpointID string) {
	now := runner.services.loop.Now()
	a := &attempt{
		endpoint: runner.endpoints.byID[endpointID],
		sentAt:   now, timeoutAt: now + healthCheckTimeout, writeDeadline: math.Inf(1),
	}
	if a.endpoint == nil {
		runner.services.warn("health check ignored: endpoint is not listed", "endpoint", endpointID)
		return
	}
	runner.start(a)
}

// mustNotStart reports whether the attempt's endpoint is out of service, its request has ended, or its time is over.
func (runner *attemptRunner) mustNotStart(a *attempt) bool {
	inService := a.endpoint != nil && a.endpoint.state == policy.InService
	done := a.request != nil && a.request.done
	return !inService || done || runner.services.loop.Now() >= a.timeoutAt
}

// mayStillStart reports whether an attempt that has waited for a connection may still be written.
func (runner *attemptRunner) mayStillStart(a *attempt) bool {
	return !runner.mustNotStart(a) && (a.request == nil || !runner.hasPendingEnd(a.request))
}

// hasPendingEnd reports whether the request has ended by something that the event loop has not handled yet: a reply in
// the socket of an earlier attempt, or the client's disconnect. Requests that were only just read are checked too: they
// may have been in their socket for long.
func (runner *attemptRunner) hasPendingEnd(r *request) bool {
	return runner.hasPendingReply(r) || runner.clientDisconnected(r.client)
}

// hasPendingReply reports whether an attempt of the request has ended, though the event loop has not handled it.
func (runner *attemptRunner) hasPendingReply(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.unusable.Load() || !c.awaitingReply.Load() || !netcalls.NoDataPending(c.rawConn))
	})
}

// clientDisconnected reports whether the client has closed its connection. If so, it is abandoned once the current event
// of the decision module is over.
func (runner *attemptRunner) clientDisconnected(c *clientConn) bool {
	if c.closed || !netcalls.ClosedByPeer(c.rawConn) {
		return c.closed
	}
	runner.services.loop.Defer(func() { c.abandon(peerClosed, nil) })
	return true
}

// start writes the attempt to an idle connection, or has it wait for a new one.
func (runner *attemptRunner) start(a *attempt) {
	loop := runner.services.loop
	a.timer = loop.After(a.timeoutAt-loop.Now(), func() { runner.handleTimeout(a) })
	if c := runner.endpoints.acquireIdle(a.endpoint); c != nil {
		c.writeCommand(a)
		return
	}
	if !runner.endpoints.queueForDial(a) {
		runner.services.warn("attempt not sent: too many connections", "open", runner.endpoints.openConns)
		runner.finishDeferred(a, policy.NotSent)
	}
}

// handleTimeout stops waiting for the reply. A command that was never completely written was not executed.
func (runner *attemptRunner) handleTimeout(a *attempt) {
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
	runner.finish(a, attemptResult{status: status}, runner.services.loop.Now())
}

// abortPartialWrites ends the attempts of a finished request whose commands are not completely written: with the last byte
// of one, its execution would begin after the request's end.
func (runner *attemptRunner) abortPartialWrites(r *request) {
	for _, a := range r.attempts {
		if a.done || a.conn == nil || a.conn.commandWritten.Load() {
			continue
		}
		status := policy.Cancelled
		if a.conn.abortWrite() {
			status = policy.NotSent
		}
		runner.finishDeferred(a, status)
	}
}

// finishDeferred ends an attempt now, and reports it once the current event of the decision module is over.
func (runner *attemptRunner) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	runner.releaseResources(a)
	loop := runner.services.loop
	loop.Defer(func() { runner.reportOutcome(a, attemptResult{status: status}, loop.Now()) })
}

// finish ends an attempt and reports it.
func (runner *attemptRunner) finish(a *attempt, result attemptResult, at policy.Seconds) {
	if a.done {
		return
	}
	a.done = true
	runner.releaseResources(a)
	runner.reportOutcome(a, result, at)
}

// releaseResources gives up what an attempt still holds. A connection that is in use is closed.
func (runner *attemptRunner) releaseResources(a *attempt) {
	runner.services.loop.Stop(a.timer)
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

// reportOutcome replies to the client, if the attempt has got its reply, and notifies the decision module.
func (runner *attemptRunner) reportOutcome(a *attempt, result attemptResult, at policy.Seconds) {
	decider, loop := runner.services.decider, runner.services.loop
	elapsed := max(at-a.sentAt, 0)
	runner.trace.attemptEnded(a, result, at)
	if a.request == nil {
		decider.HandleHealthCheck(loop.Now(), policy.HealthCheckResult{
			Endpoint: a.endpoint.ID, Status: result.status, Elapsed: elapsed, Load: result.load,
		})
		return
	}
	r := a.request
	r.inFlight--
	if result.status == policy.OK {
		runner.requests.reply(r, result.value, noReason)
	}
	runner.requests.removeIfDone(r)
	endpointID := ""
	if a.endpoint != nil {
		endpointID = a.endpoint.ID
	}
	decider.HandleOutcome(loop.Now(), policy.Outcome{
		RequestID: r.ID, Endpoint: endpointID, Attempt: a.number, Status: result.status,
		RequestDone: r.done, Elapsed: elapsed, Load: result.load,
	})
}
