package proxy

import (
	"math"
	"strconv"

	"reedlead/internal/command"
	"reedlead/internal/eventloop"
	"reedlead/internal/settings"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// request is a client's request. It gets one final reply, or none if its connection is closed first. The event loop
// owns it.
type request struct {
	*command.Request
	client    *clientConn
	slot      *pipelineSlot
	arrivedAt policy.Seconds // estimated arrival of its last byte at this machine
	deadline  policy.Seconds
	timer     *eventloop.Timer // fails the request if the decision module does not reply in time
	attempts  []*attempt       // indexed by number; those beyond MaxAttempts are not sent
	inFlight  int              // attempts whose outcome has not been reported
	done      bool             // it has its final reply, or its connection was abandoned
}

// openRequestMemory is an upper bound on the mean number of bytes that an open request takes, without its attempts and
// the bytes of its arguments.
const openRequestMemory = policy.RequestMemory + 768

// openRequestSize returns the number of bytes of the input budget that a request takes while it is open.
func openRequestSize(r *command.Request) int { return r.Size + openRequestMemory }

// Reasons for which the proxy itself, not the decision module, rejects or fails a request; noReason is for values.
const (
	shuttingDown           policy.Reason = "shutting_down"
	connectionLimitReached policy.Reason = "connection_limit_reached"
	tooManyOpenRequests    policy.Reason = "too_many_open_requests"
	inputMemoryExhausted   policy.Reason = "input_memory_exhausted"
	replyMemoryExhausted   policy.Reason = "reply_memory_exhausted"
	pipelineTooLong        policy.Reason = "pipeline_too_long"
	noDecision             policy.Reason = "no_decision_in_time"
	noReason               policy.Reason = "" // the reply is a value
)

// requestTable holds the open requests and finishes each exactly once. The event loop owns it.
type requestTable struct {
	services *services
	settings *settings.Settings
	drain    *drain // after its timeout, new requests are rejected
	trace    *tracer
	attempts *attemptRunner
	byID     map[string]*request // open requests, and finished ones with inFlight > 0
}

// admit opens a request whose last byte arrived at arrivedAt and passes it to the decision module, unless the request
// is inadmissible.
func (t *requestTable) admit(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) {
	admitted := false
	defer func() {
		if !admitted {
			t.services.inputBudget.Release(openRequestSize(parsed))
		}
	}()
	if t.rejectIfInadmissible(c, parsed) {
		return
	}
	admitted = true
	t.decide(t.open(c, parsed, arrivedAt))
}

// rejectIfInadmissible rejects a request if its id is in use, a limit is reached or the drain has timed out. It reports
// whether the request is inadmissible. For a connection beyond the limit, it first tries to evict others. A request
// whose client can no longer receive a reply is also inadmissible, but gets no reply.
func (t *requestTable) rejectIfInadmissible(c *clientConn, parsed *command.Request) bool {
	maxOpen := t.settings.MaxOpenRequests
	switch {
	case c.closed, c.sendingShutDown:
	case t.drain.timedOut:
		t.rejectLocally(c, parsed, shuttingDown)
	case c.overLimit && !c.set.admitsRequest(c):
		t.rejectLocally(c, parsed, connectionLimitReached)
	case t.byID[parsed.ID] != nil:
		c.replyLocally(redcon.AppendError(nil, "ERR a request of this id is open"), false)
	case maxOpen > 0 && len(t.byID) >= maxOpen:
		t.rejectLocally(c, parsed, tooManyOpenRequests)
	default:
		return false
	}
	return true
}

// open registers a request, reserves a slot for its reply in the connection's pipeline, and starts its timer.
func (t *requestTable) open(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) *request {
	c.overLimit, c.inputHandled = false, true
	r := &request{
		Request: parsed, client: c, slot: &pipelineSlot{},
		arrivedAt: arrivedAt, deadline: arrivedAt + parsed.Timeout,
	}
	r.slot.request = r
	c.pipeline.add(r.slot)
	c.openRequests.Add(1)
	c.lastUsedAt = t.services.loop.Now()
	t.byID[r.ID] = r
	t.trace.accepted(r)
	// The client gets a reply even if the decision module gives none.
	r.timer = t.services.loop.After(r.deadline+t.settings.ReplySlack-t.services.loop.Now(), func() { t.expire(r) })
	return r
}

// expire fails a request that the decision module has not replied to in time.
func (t *requestTable) expire(r *request) {
	t.services.warn("no reply from the decision module in time", "id", r.ID)
	t.fail(r, noDecision)
	t.notifyReplyNotNeeded(r)
}

// notifyReplyNotNeeded notifies the decision module that a request needs no reply, because it has one already or its
// connection was abandoned. The module handles both cases as a disconnect.
func (t *requestTable) notifyReplyNotNeeded(r *request) {
	t.services.decider.HandleClientDisconnected(t.services.loop.Now(), r.ID)
}

// decide passes a request to the decision module. If the module panics before it has sent an attempt, the request fails
// immediately instead of when its timer fires.
func (t *requestTable) decide(r *request) {
	r.Deadline = r.deadline
	decided := false
	defer func() {
		if !decided && len(r.attempts) == 0 {
			t.fail(r, noDecision)
		}
	}()
	t.services.decider.HandleRequest(t.services.loop.Now(), r.Request.Request)
	decided = true
}

// reject replies to a request that the decision module has rejected.
func (t *requestTable) reject(r *request, retryAfter policy.Seconds, why policy.Reason) {
	t.reply(r, t.busyReply(retryAfter), why)
}

// fail replies to a request with an error.
func (t *requestTable) fail(r *request, why policy.Reason) {
	t.reply(r, failedReply(), why)
}

// failedReply returns the reply to a request that has failed.
func failedReply() []byte { return redcon.AppendError(nil, "ERR failed") }

// rejectLocally rejects a request without passing it to the decision module.
func (t *requestTable) rejectLocally(c *clientConn, parsed *command.Request, why policy.Reason) {
	t.services.warn("request rejected", "id", parsed.ID, "connection", c.number, "reason", string(why))
	c.replyLocally(t.busyReply(t.settings.MaxRetryAfter), false)
}

// refuse gives a command that its reader has refused its place in the pipeline. If the command is sound, its reply is a
// rejection. request is nil if it is not a request.
func (t *requestTable) refuse(c *clientConn, slot *pipelineSlot, request *command.Request) {
	if request != nil && slot.reply == nil {
		t.services.warn("request rejected", "id", request.ID, "connection", c.number, "reason", string(pipelineTooLong))
	}
	if slot.reply == nil {
		slot.reply = t.busyReply(t.settings.MaxRetryAfter)
	}
	c.addReply(slot)
}

// busyReply returns the reply to a rejected request. If retryAfter is positive and the settings enable it, the reply
// includes it in milliseconds.
func (t *requestTable) busyReply(retryAfter policy.Seconds) []byte {
	if retryAfter <= 0 || !t.settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryAfter*1000))))
}

// reserveWaitingReply reserves n bytes of the reply budget for a value that has to wait for the replies before it. It
// reports whether enough was available. A value that does not wait needs none.
func (t *requestTable) reserveWaitingReply(r *request, n int) bool {
	c := r.client
	if c.closed || c.pipeline.isFirst(r.slot) {
		return true
	}
	if !t.services.replyBudget.Reserve(n) {
		return false
	}
	r.slot.reserved = n
	return true
}

// reply gives a request its final reply. It does nothing if the request is done. The parameter why is the reason for a
// rejection or an error, and noReason for a value. A value that would have to wait for the replies before it, and for
// which the reply budget has no room, is replaced by an error.
func (t *requestTable) reply(r *request, reply []byte, why policy.Reason) {
	if r.done {
		return
	}
	if why == noReason && !t.reserveWaitingReply(r, len(reply)) {
		reply, why = failedReply(), replyMemoryExhausted
	}
	r.slot.reply = reply
	t.trace.completed(r, reply, why)
	t.finish(r)
	r.client.flush()
}

// finish marks a request as done. It aborts attempts whose write has started but is not complete, stops the timer, and
// releases the arguments and their share of the input budget. No attempt needs the arguments any more. The request is
// removed once the outcomes of all its attempts have been reported.
func (t *requestTable) finish(r *request) {
	r.done = true
	r.client.openRequests.Add(-1)
	t.attempts.abortPartialWrites(r)
	t.services.loop.Stop(r.timer)
	t.services.inputBudget.Release(openRequestSize(r.Request))
	r.Args = nil
	t.removeIfDone(r)
}

// abandon finishes a request whose connection was abandoned, and notifies the decision module.
func (t *requestTable) abandon(r *request) {
	if r.done {
		return
	}
	t.trace.clientDisconnected(r)
	t.finish(r)
	t.notifyReplyNotNeeded(r)
}

// removeIfDone removes a finished request once the outcomes of all its attempts have been reported.
func (t *requestTable) removeIfDone(r *request) {
	if r.done && r.inFlight == 0 {
		delete(t.byID, r.ID)
	}
}

// failOpenRequests fails all requests that are not done and notifies the decision module.
func (t *requestTable) failOpenRequests(why policy.Reason) {
	for _, r := range t.byID {
		if !r.done {
			t.fail(r, why)
			t.notifyReplyNotNeeded(r)
		}
	}
}
