package proxy

import (
	"math"
	"slices"

	"reedlead/internal/netcalls"
	"reedlead/internal/settings"
	"reedlead/policy"
)

// healthCheckTimeout limits a health check, including the dial.
const healthCheckTimeout policy.Seconds = 0.25

// attemptRunner starts and ends attempts and health checks, and reports the outcome of each exactly once. The event
// loop owns it.
type attemptRunner struct {
	services  *services
	settings  *settings.Settings
	endpoints *endpointSet
	requests  *requestTable
	trace     *tracer
}

// send makes an attempt of a request. The attempt times out after timeout, but at the latest at the request's deadline;
// a timeout of 0 stands for the deadline. In three cases the attempt ends without being started. The first case that
// applies determines its status:
//   - The request has already had its maximum number of attempts: NotSent.
//   - The timeout is negative: Timeout.
//   - mustNotStart or mayBeEnding reports true: NotSent.
func (runner *attemptRunner) send(r *request, endpointID string, timeout, writeWithin policy.Seconds) {
	a := runner.newAttempt(r, endpointID, timeout, writeWithin)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	tooMany := len(r.attempts) > max(1, runner.settings.MaxAttempts)
	noLongerNeeded := !tooMany && (runner.mustNotStart(a) || runner.mayBeEnding(r))
	switch {
	case tooMany || noLongerNeeded && timeout >= 0:
		runner.finishDeferred(a, policy.NotSent)
	case timeout < 0:
		runner.finishDeferred(a, policy.Timeout)
	default:
		runner.start(a)
	}
}

// newAttempt creates the next attempt of a request without starting it.
func (runner *attemptRunner) newAttempt(r *request, endpointID string, timeout, writeWithin policy.Seconds) *attempt {
	now := runner.services.loop.Now()
	a := &attempt{
		request: r, endpoint: runner.endpoints.byID[endpointID], number: len(r.attempts), kind: nextAttemptKind(r),
		createdAt: now, timeoutAt: r.deadline, writeDeadline: math.Inf(1),
	}
	if timeout != 0 {
		a.timeoutAt = min(a.timeoutAt, now+timeout)
	}
	if writeWithin != 0 {
		a.writeDeadline = now + writeWithin
	}
	return a
}

// cancel cancels an attempt of a request by its number. It does nothing if the attempt has ended or does not exist.
func (runner *attemptRunner) cancel(r *request, number int) {
	if number >= 0 && number < len(r.attempts) && !r.attempts[number].done {
		runner.finishDeferred(r.attempts[number], policy.Cancelled)
	}
}

// checkHealth starts a health check of an endpoint, unless the endpoint is not listed.
func (runner *attemptRunner) checkHealth(endpointID string) {
	now := runner.services.loop.Now()
	a := &attempt{
		endpoint:  runner.endpoints.byID[endpointID],
		createdAt: now, timeoutAt: now + healthCheckTimeout, writeDeadline: math.Inf(1),
	}
	if a.endpoint == nil {
		runner.services.warn("health check ignored: endpoint is not listed", "endpoint", endpointID)
		return
	}
	runner.start(a)
}

// mustNotStart reports whether an attempt must not be sent, because its endpoint is not listed or not in service, its
// request is done, or its timeout has passed.
func (runner *attemptRunner) mustNotStart(a *attempt) bool {
	inService := a.endpoint != nil && a.endpoint.state == policy.InService
	done := a.request != nil && a.request.done
	return !inService || done || runner.services.loop.Now() >= a.timeoutAt
}

// mayStillStart reports whether an attempt that has waited for a connection may still be written to it.
func (runner *attemptRunner) mayStillStart(a *attempt) bool {
	return !runner.mustNotStart(a) && (a.request == nil || !runner.mayBeEnding(a.request))
}

// mayBeEnding reports whether the request may be about to end, so that no further attempt should start: hasPendingReply
// reports true, or the client has disconnected. The client is checked even before the first attempt: the request may
// have been unread in its socket for a long time, and the client may have disconnected meanwhile.
func (runner *attemptRunner) mayBeEnding(r *request) bool {
	return runner.hasPendingReply(r) || runner.clientDisconnected(r.client)
}

// hasPendingReply reports whether, for any attempt in flight, the reply or the end of the connection has arrived but
// has not been handled by the event loop.
func (runner *attemptRunner) hasPendingReply(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		c := a.conn
		return c != nil && !a.done && (c.unusable.Load() || !c.awaitingReply.Load() || !netcalls.NoDataPending(c.rawConn))
	})
}

// clientDisconnected reports whether the connection to the client is closed. If the client has closed it, but the
// event loop has not handled that yet, the connection is abandoned after the current event.
func (runner *attemptRunner) clientDisconnected(c *clientConn) bool {
	if c.closed || !netcalls.ClosedByPeer(c.rawConn) {
		return c.closed
	}
	runner.services.loop.Defer(func() { c.abandon(peerClosed, nil) })
	return true
}

// start writes the attempt's command to an idle connection. If there is none, it queues the attempt for a dial. If
// there are too many connections for a dial, the attempt ends as NotSent.
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

// handleTimeout ends an attempt whose timeout has passed. The endpoint can't have executed a command that was not
// completely written, so the status is NotSent if the attempt has no connection, and ConnectFailed if the write was
// aborted.
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

// abortPartialWrites ends the attempts of a finished request whose commands are still being written. The endpoint
// executes a command once it has received the last byte, so that byte must not be written after the request has ended.
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

// finishDeferred ends an attempt at once, but reports its outcome after the current event. It may run within a call
// from the decision module, which must not be called back during that call.
func (runner *attemptRunner) finishDeferred(a *attempt, status policy.AttemptStatus) {
	a.done = true
	runner.releaseResources(a)
	loop := runner.services.loop
	loop.Defer(func() { runner.reportOutcome(a, attemptResult{status: status}, loop.Now()) })
}

// finish ends an attempt and reports its outcome, unless the attempt has ended already.
func (runner *attemptRunner) finish(a *attempt, result attemptResult, at policy.Seconds) {
	if a.done {
		return
	}
	a.done = true
	runner.releaseResources(a)
	runner.reportOutcome(a, result, at)
}

// releaseResources stops the timer of an attempt and closes its connection. If the attempt has no connection,
// releaseResources removes it from the attempts that wait for a dial.
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

// reportOutcome reports the outcome of an attempt to the trace and to the decision module. It forwards the value of a
// request's successful attempt to the client.
func (runner *attemptRunner) reportOutcome(a *attempt, result attemptResult, at policy.Seconds) {
	decider, loop := runner.services.decider, runner.services.loop
	elapsed := max(at-a.createdAt, 0)
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
