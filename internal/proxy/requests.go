package proxy

import (
	"math"
	"strconv"

	"reedlead/internal/command"
	"reedlead/internal/eventloop"
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
	settled   bool             // it has its final reply, or its client has disconnected
}

// Why the proxy itself rejects a request, or fails it, beside what the decision module decides.
const (
	shuttingDown           policy.Reason = "shutting_down"
	connectionLimitReached policy.Reason = "connection_limit_reached"
	tooManyOpenRequests    policy.Reason = "too_many_open_requests"
	inputMemoryExhausted   policy.Reason = "input_memory_exhausted"
	noDecision             policy.Reason = "no_decision_in_time"
	served                 policy.Reason = "" // it is not: the reply is a value
)

// ping replies to a health check of this gateway. While discovery is down and the list that the gateway was started
// with names no endpoint in service, it is ready all the same after a moment: it replies to what comes, and has its
// place when discovery is back.
func (p *Proxy) ping(c *clientConn) {
	if !p.endpoints.hasInService() && p.loop.Now() < p.readyAt {
		c.replyAtOnce(redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	c.replyAtOnce(redcon.AppendString(nil, "PONG"), false)
}

// admitRequest opens a request whose last byte had arrived at a time, and hands it to the decision module; or replies
// at once where a limit of this process forbids that.
func (p *Proxy) admitRequest(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) {
	admitted := false
	defer func() {
		if !admitted {
			p.inputBudget.Release(parsed.Size)
		}
	}()
	if p.forbidsRequest(c, parsed) {
		return
	}
	admitted = true
	p.decide(p.openRequest(c, parsed, arrivedAt))
}

// forbidsRequest tells whether a request can't be opened, and replies to it then, unless its client can't hear of it.
func (p *Proxy) forbidsRequest(c *clientConn, parsed *command.Request) bool {
	maxOpen := p.cfg.Settings.MaxOpenRequests
	switch {
	case c.closed, c.sendingShutDown:
	case p.drain.timedOut:
		p.rejectAtOnce(c, parsed, shuttingDown)
	case c.overLimit && p.clients.makeRoom(c):
		p.rejectAtOnce(c, parsed, connectionLimitReached)
	case p.requests[parsed.ID] != nil:
		c.replyAtOnce(redcon.AppendError(nil, "ERR a request of this id is open"), false)
	case maxOpen > 0 && len(p.requests) >= maxOpen:
		p.rejectAtOnce(c, parsed, tooManyOpenRequests)
	default:
		return false
	}
	return true
}

// openRequest registers a request and gives it its place among the replies of its connection.
func (p *Proxy) openRequest(c *clientConn, parsed *command.Request, arrivedAt policy.Seconds) *request {
	c.overLimit, c.hasSpoken = false, true
	r := &request{
		Request: parsed, client: c, slot: &pipelineSlot{},
		arrivedAt: arrivedAt, deadline: arrivedAt + parsed.Wait,
	}
	r.slot.request = r
	c.pipeline.add(r.slot)
	c.lastUsedAt = p.loop.Now()
	p.requests[r.ID] = r
	p.trace.accepted(r)
	// The decision module replies well before; should it fail to, the client gets a reply all the same.
	r.timer = p.loop.After(r.deadline+p.cfg.Settings.ReplySlack-p.loop.Now(), func() {
		p.warn("no reply from the decision module in time", "id", r.ID)
		p.fail(r, noDecision)
		p.decider.HandleClientGone(p.loop.Now(), r.ID)
	})
	return r
}

// decide hands a request to the decision module. A panic there must not leave a request hanging for which nothing
// was sent.
func (p *Proxy) decide(r *request) {
	r.Deadline = r.deadline
	decided := false
	defer func() {
		if !decided && len(r.attempts) == 0 {
			p.fail(r, noDecision)
		}
	}()
	p.decider.HandleRequest(p.loop.Now(), r.Request.Request)
	decided = true
}

// Reject implements policy.Actions.
func (p *Proxy) Reject(id string, retryAfter policy.Seconds, why policy.Reason) {
	if r := p.requests[id]; r != nil {
		p.reply(r, p.busyReply(retryAfter), why)
	}
}

// Fail implements policy.Actions.
func (p *Proxy) Fail(id string, why policy.Reason) {
	if r := p.requests[id]; r != nil {
		p.fail(r, why)
	}
}

func (p *Proxy) fail(r *request, why policy.Reason) {
	p.reply(r, redcon.AppendError(nil, "ERR failed"), why)
}

// rejectAtOnce rejects a request that the decision module never hears of.
func (p *Proxy) rejectAtOnce(c *clientConn, parsed *command.Request, why policy.Reason) {
	p.warn("request rejected", "id", parsed.ID, "connection", c.number, "reason", string(why))
	c.replyAtOnce(p.busyReply(p.cfg.Settings.MaxRetryAfter), false)
}

// busyReply is the reply to a rejected request, with the Retry-After in milliseconds if there is one.
func (p *Proxy) busyReply(retryAfter policy.Seconds) []byte {
	if retryAfter <= 0 || !p.cfg.Settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryAfter*1000))))
}

// reply gives a request its final reply, the first time that it is called for it, and why it is not a value.
func (p *Proxy) reply(r *request, reply []byte, why policy.Reason) {
	if r.settled {
		return
	}
	r.slot.reply = reply
	p.trace.completed(r, reply, why)
	p.settle(r)
	r.client.flush()
}

// settle notes that a request gets no reply any more. Attempts that are in flight need neither timer nor command.
func (p *Proxy) settle(r *request) {
	r.settled = true
	p.abortUnwritten(r)
	p.loop.Stop(r.timer)
	p.inputBudget.Release(r.Size)
	r.Args = nil
	p.removeIfDone(r)
}

// abandonRequest settles a request whose client has disconnected, and tells the decision module.
func (p *Proxy) abandonRequest(r *request) {
	if r.settled {
		return
	}
	p.trace.clientGone(r)
	p.settle(r)
	p.decider.HandleClientGone(p.loop.Now(), r.ID)
}

// abortUnwritten ends the attempts of a settled request whose commands are not wholly written: with the last byte
// of one, its execution would begin after the request's end.
func (p *Proxy) abortUnwritten(r *request) {
	for _, a := range r.attempts {
		if a.done || a.conn == nil || a.conn.commandWritten.Load() {
			continue
		}
		status := policy.Cancelled
		if a.conn.abortWrite() {
			status = policy.NotSent
		}
		p.finishDeferred(a, status)
	}
}

// removeIfDone forgets a settled request once the outcomes of all its attempts were reported.
func (p *Proxy) removeIfDone(r *request) {
	if r.settled && r.inFlight == 0 {
		delete(p.requests, r.ID)
	}
}
