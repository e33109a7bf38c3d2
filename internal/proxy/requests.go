package proxy

import (
	"math"
	"strconv"

	"reedlead/internal/eventloop"

	"reedlead/internal/command"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// request is one that a client has sent and that is owed one final answer.
type request struct {
	*command.Request
	client   *clientConn
	slot     *pipelineSlot
	cameAt   float64 // when its last byte had come to this machine
	deadline float64
	timer    *eventloop.Timer // rings when the module ought to have answered; stopped with the answer
	attempts []*attempt       // as many as the module may ask for, and one
	out      int
	over     bool
}

// ping tells the front that this ingress can serve. While discovery is down and the list that it was started
// with names no backend of use, it is ready all the same after a moment: it answers what comes, and has its
// place when discovery is back.
func (p *Proxy) ping(c *clientConn) {
	if !p.endpoints.hasInService() && p.loop.Now() < p.readyAt {
		c.replyAtOnce(redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	c.replyAtOnce(redcon.AppendString(nil, "PONG"), false)
}

// take hands a request to the module whose last byte had come at a time; from here on it is owed one final answer.
func (p *Proxy) take(c *clientConn, q *command.Request, came float64) {
	taken := false
	defer func() {
		if !taken {
			p.inputBudget.Release(q.Size)
		}
	}()
	switch {
	case c.closed, c.sendingShutDown:
		return
	case p.drain.timedOut:
		p.refuseAtOnce(c, q, processEnds)
		return
	case c.overLimit && p.clients.makeRoom(c):
		p.refuseAtOnce(c, q, connectionsUsedUp)
		return
	case p.requests[q.ID] != nil:
		c.replyAtOnce(redcon.AppendError(nil, "ERR a request of this id is open"), false)
		return
	case p.cfg.Settings.MaxOpenRequests > 0 && len(p.requests) >= p.cfg.Settings.MaxOpenRequests:
		p.refuseAtOnce(c, q, tooManyHeld)
		return
	}
	taken = true
	c.overLimit, c.hasSpoken = false, true
	r := &request{Request: q, client: c, slot: &pipelineSlot{}, cameAt: came, deadline: came + q.Wait}
	r.slot.request = r
	c.pipeline.add(r.slot)
	c.lastUsedAt = p.loop.Now()
	p.requests[q.ID] = r
	p.traceAcceptedRequest(r)
	// The module answers well before; should it fail to, the client hears all the same.
	r.timer = p.loop.After(r.deadline+p.cfg.Settings.ReplySlack-p.loop.Now(), func() {
		p.warn("no answer from the module in time", "id", r.ID)
		p.fail(r, noDecision)
		p.decider.HandleClientGone(p.loop.Now(), r.ID)
	})
	q.Request.Deadline = r.deadline
	handed := false
	defer func() { // a panic in the module must not leave a request that nothing was sent for hanging
		if !handed && len(r.attempts) == 0 {
			p.fail(r, noDecision)
		}
	}()
	p.decider.HandleRequest(p.loop.Now(), q.Request)
	handed = true
}

// Refuse implements policy.Actions.
func (p *Proxy) Reject(id string, retryInS float64, why policy.Reason) {
	if r := p.requests[id]; r != nil {
		p.answer(r, p.busy(retryInS), why)
	}
}

func (p *Proxy) busy(retryInS float64) []byte {
	if retryInS <= 0 || !p.cfg.Settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryInS*1000))))
}

// Fail implements policy.Actions.
func (p *Proxy) Fail(id string, why policy.Reason) {
	if r := p.requests[id]; r != nil {
		p.fail(r, why)
	}
}

func (p *Proxy) fail(r *request, why policy.Reason) {
	p.answer(r, redcon.AppendError(nil, "ERR failed"), why)
}

// Why this side refuses a request, or fails it, beside what the module decides.
const (
	processEnds       policy.Reason = "process_ends"
	connectionsUsedUp policy.Reason = "connections_used_up"
	tooManyHeld       policy.Reason = "too_many_held"
	inputUsedUp       policy.Reason = "input_memory_used_up"
	noDecision        policy.Reason = "no_decision_in_time"
	served            policy.Reason = ""
)

// refuseAtOnce refuses a request that the module never hears of.
func (p *Proxy) refuseAtOnce(c *clientConn, q *command.Request, why policy.Reason) {
	p.warn("request refused", "id", q.ID, "connection", c.number, "reason", string(why))
	c.replyAtOnce(p.busy(p.cfg.Settings.MaxRetryAfter), false)
}

// answer gives the final answer, the first time that it is called for a request, and why it is no value.
func (p *Proxy) answer(r *request, answer []byte, why policy.Reason) {
	if r.over {
		return
	}
	r.slot.reply = answer
	p.traceReply(r, answer, why)
	p.end(r)
	r.client.flush()
}

// end notes that nothing more is owed. Attempts that are still out need neither timer nor bytes.
func (p *Proxy) end(r *request) {
	r.over = true
	p.cutOffUnwritten(r)
	p.loop.Stop(r.timer)
	p.inputBudget.Release(r.Size)
	r.Args = nil
	p.forget(r)
}

// cutOffUnwritten ends the attempts of a request that is over whose commands are not wholly written: with its last
// byte one would begin after the request's end.
func (p *Proxy) cutOffUnwritten(r *request) {
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

func (p *Proxy) forget(r *request) {
	if r.over && r.out == 0 {
		delete(p.requests, r.ID)
	}
}
