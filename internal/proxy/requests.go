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

// request is an open request of a client, which gets exactly one final reply. The event loop owns it.
type request struct {
	*command.Request
	client    *clientConn
	slot      *pipelineSlot
	arrivedAt policy.Seconds // when its last byte had arrived at this machine
	deadline  policy.Seconds
	timer     *eventloop.Timer // fires when the decision module ought to have replied; stopped with the reply
	attempts  []*attempt       // as many as the settings allow, and one
	inFlight  int              // attempts whose outcome was not reported yet
	done      bool             // it has its final reply, or its client has disconnected
}

// The reasons for which the proxy itself rejects or fails a request, beside those of the decision module.
const (
	shuttingDown           policy.Reason = "shutting_down"
	connectionLimitReached policy.Reason = "connection_limit_reached"
	tooManyOpenRequests    policy.Reason = "too_many_open_requests"
	inputMemoryExhausted   policy.Reason = "input_memory_exhausted"
	noDecision             policy.Reason = "no_decision_in_time"
	noReason               policy.Reason = "" // none: the reply is a value
)

// requestTable holds the open requests, and gives each its final reply or its end, once. The event loop owns it.
type requestTable struct {
	services *services
	settings *settings.Settings
	drain    *drain // of which it reads whether requests are still served
	trace    *tracer
	attempts *attemptRunner
	byID     map[string]*request // the open ones
}

// admit opens a request whose last byte had arrived at a time, and hands it to the decision module; or rejects it at
// once where a limit of this process does not allow it.
func (t *requestTable) admit(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) {
	admitted := false
	defer func() {
		if !admitted {
			t.services.inputBudget.Release(parsed.Size)
		}
	}()
	if t.rejectIfInadmissible(c, parsed) {
		return
	}
	admitted = true
	t.decide(t.open(c, parsed, arrivedAt))
}

// rejectIfInadmissible rejects a request that a limit of this process does not allow, and reports whether it did. Where the
// client can't get a reply any more, there is none.
func (t *requestTable) rejectIfInadmissible(c *clientConn, parsed *command.Request) bool {
	maxOpen := t.settings.MaxOpenRequests
	switch {
	case c.closed, c.sendingShutDown:
	case t.drain.timedOut:
		t.rejectLocally(c, parsed, shuttingDown)
	case c.overLimit && c.set.evictToLimit(c):
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

// open registers a request and reserves a slot for its reply in the pipeline of its connection.
func (t *requestTable) open(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) *request {
	c.overLimit, c.hasSentCommand = false, true
	r := &request{
		Request: parsed, client: c, slot: &pipelineSlot{},
		arrivedAt: arrivedAt, deadline: arrivedAt + parsed.Timeout,
	}
	r.slot.request = r
	c.pipeline.add(r.slot)
	c.lastUsedAt = t.services.loop.Now()
	t.byID[r.ID] = r
	t.trace.accepted(r)
	// The decision module replies well before; should it fail to, the client gets a reply all the same.
	r.timer = t.services.loop.After(r.deadline+t.settings.ReplySlack-t.services.loop.Now(), func() { t.expire(r) })
	return r
}

// expire fails a request to which the decision module has not replied in time.
func (t *requestTable) expire(r *request) {
	t.services.warn("no reply from the decision module in time", "id", r.ID)
	t.fail(r, noDecision)
	t.notifyClientGone(r)
}

// notifyClientGone notifies the decision module that a request needs no reply any more.
func (t *requestTable) notifyClientGone(r *request) {
	t.services.decider.HandleClientDisconnected(t.services.loop.Now(), r.ID)
}

// decide hands a request to the decision module. A panic there must not leave a request hanging for which nothing
// was sent.
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

// reject gives a request that the decision module has rejected its reply.
func (t *requestTable) reject(r *request, retryAfter policy.Seconds, why policy.Reason) {
	t.reply(r, t.busyReply(retryAfter), why)
}

// fail gives a request an error as its reply.
func (t *requestTable) fail(r *request, why policy.Reason) {
	t.reply(r, redcon.AppendError(nil, "ERR failed"), why)
}

// rejectLocally rejects a request that the decision module never sees.
func (t *requestTable) rejectLocally(c *clientConn, parsed *command.Request, why policy.Reason) {
	t.services.warn("request rejected", "id", parsed.ID, "connection", c.number, "reason", string(why))
	c.replyLocally(t.busyReply(t.settings.MaxRetryAfter), false)
}

// busyReply is the reply to a rejected request, with the Retry-After in milliseconds if there is one.
func (t *requestTable) busyReply(retryAfter policy.Seconds) []byte {
	if retryAfter <= 0 || !t.settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryAfter*1000))))
}

// reply gives a request its final reply, the first time that it is called for it, and why it is not a value.
func (t *requestTable) reply(r *request, reply []byte, why policy.Reason) {
	if r.done {
		return
	}
	r.slot.reply = reply
	t.trace.completed(r, reply, why)
	t.finish(r)
	r.client.flush()
}

// finish marks a request as done, and releases what it holds: attempts in flight use neither its timer nor its
// arguments.
func (t *requestTable) finish(r *request) {
	r.done = true
	t.attempts.abortPartialWrites(r)
	t.services.loop.Stop(r.timer)
	t.services.inputBudget.Release(r.Size)
	r.Args = nil
	t.removeIfDone(r)
}

// abandon finishes a request whose client has disconnected, and notifies the decision module.
func (t *requestTable) abandon(r *request) {
	if r.done {
		return
	}
	t.trace.clientGone(r)
	t.finish(r)
	t.notifyClientGone(r)
}

// removeIfDone forgets a finished request once the outcomes of all its attempts were reported.
func (t *requestTable) removeIfDone(r *request) {
	if r.done && r.inFlight == 0 {
		delete(t.byID, r.ID)
	}
}

// failOpenRequests fails the requests that have no final reply yet, and notifies the decision module.
func (t *requestTable) failOpenRequests(why policy.Reason) {
	for _, r := range t.byID {
		if !r.done {
			t.fail(r, why)
			t.notifyClientGone(r)
		}
	}
}
