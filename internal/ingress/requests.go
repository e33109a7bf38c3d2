package ingress

import (
	"math"
	"strconv"

	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// request is one that a client has sent and that is owed one final answer.
type request struct {
	*call
	client   *client
	slot     *slot
	cameAt   float64 // when its last byte had come to this machine
	deadline float64
	timer    *timer     // rings when the module ought to have answered; stopped with the answer
	attempts []*attempt // as many as the module may ask for, and one
	out      int
	over     bool
}

// ping tells the front that this ingress can serve. While discovery is down and the list that it was started
// with names no backend of use, it is ready all the same after a moment: it answers what comes, and has its
// place when discovery is back.
func (in *Ingress) ping(c *client) {
	if !in.backends.ready() && in.now < in.readyAt {
		in.answerAtOnce(c, redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	in.answerAtOnce(c, redcon.AppendString(nil, "PONG"), false)
}

// take hands a request to the module whose last byte had come at a time; from here on it is owed one final answer.
func (in *Ingress) take(c *client, q *call, came float64) {
	taken := false
	defer func() {
		if !taken {
			in.input.give(q.size)
		}
	}()
	switch {
	case c.closed, c.shut:
		return
	case in.stopped:
		in.refuseAtOnce(c, q, processEnds)
		return
	case c.surplus && in.clients.full(in, c):
		in.refuseAtOnce(c, q, connectionsUsedUp)
		return
	case in.requests[q.ID] != nil:
		in.answerAtOnce(c, redcon.AppendError(nil, "ERR a request of this id is open"), false)
		return
	case in.cfg.Settings.MostHeld > 0 && len(in.requests) >= in.cfg.Settings.MostHeld:
		in.refuseAtOnce(c, q, tooManyHeld)
		return
	}
	taken = true
	c.surplus, c.spoke = false, true
	r := &request{call: q, client: c, slot: &slot{}, cameAt: came, deadline: came + q.waitS}
	r.slot.req = r
	c.slots = append(c.slots, r.slot)
	c.usedAt = in.now
	in.requests[q.ID] = r
	in.traceTaken(r)
	// The module answers well before; should it fail to, the client hears all the same.
	r.timer = in.after(r.deadline+in.cfg.Settings.ReplySlack-in.now, func() {
		in.warn("no answer from the module in time", "id", r.ID)
		in.fail(r, noDecision)
		in.decider.HandleClientGone(in.now, r.ID)
	})
	q.Request.Deadline = r.deadline
	handed := false
	defer func() { // a panic in the module must not leave a request that nothing was sent for hanging
		if !handed && len(r.attempts) == 0 {
			in.fail(r, noDecision)
		}
	}()
	in.decider.HandleRequest(in.now, q.Request)
	handed = true
}

// Refuse implements policy.Actions.
func (in *Ingress) Reject(id string, retryInS float64, why policy.Reason) {
	if r := in.requests[id]; r != nil {
		in.answer(r, in.busy(retryInS), why)
	}
}

func (in *Ingress) busy(retryInS float64) []byte {
	if retryInS <= 0 || !in.cfg.Settings.RetryAfter {
		return redcon.AppendError(nil, "BUSY")
	}
	return redcon.AppendError(nil, "BUSY "+strconv.Itoa(int(math.Ceil(retryInS*1000))))
}

// Fail implements policy.Actions.
func (in *Ingress) Fail(id string, why policy.Reason) {
	if r := in.requests[id]; r != nil {
		in.fail(r, why)
	}
}

func (in *Ingress) fail(r *request, why policy.Reason) {
	in.answer(r, redcon.AppendError(nil, "ERR failed"), why)
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
func (in *Ingress) refuseAtOnce(c *client, q *call, why policy.Reason) {
	in.warn("request refused", "id", q.ID, "connection", c.number, "reason", string(why))
	in.answerAtOnce(c, in.busy(in.cfg.Settings.MaxRetryAfter), false)
}

// answer gives the final answer, the first time that it is called for a request, and why it is no value.
func (in *Ingress) answer(r *request, answer []byte, why policy.Reason) {
	if r.over {
		return
	}
	r.slot.answer = answer
	in.traceAnswer(r, answer, why)
	in.end(r)
	in.flush(r.client)
}

// end notes that nothing more is owed. Attempts that are still out need neither timer nor bytes.
func (in *Ingress) end(r *request) {
	r.over = true
	in.cutOffUnwritten(r)
	in.stopTimer(r.timer)
	in.input.give(r.size)
	r.args = nil
	in.forget(r)
}

// cutOffUnwritten ends the attempts of a request that is over whose commands are not wholly written: with its last
// byte one would begin after the request's end.
func (in *Ingress) cutOffUnwritten(r *request) {
	for _, a := range r.attempts {
		if a.done || a.conn == nil || a.conn.written.Load() {
			continue
		}
		status := policy.Cancelled
		if in.cutOff(a.conn) {
			status = policy.NotSent
		}
		in.finishDeferred(a, status)
	}
}

func (in *Ingress) forget(r *request) {
	if r.over && r.out == 0 {
		delete(in.requests, r.ID)
	}
}

// stop ends a drain that takes too long: what is still owed fails while its client can hear of it. What comes
// after that is refused at once, until its connection stands still for long enough to be closed.
func (in *Ingress) stop() {
	in.stopped = true
	if !in.leaving {
		in.leave()
	}
	for _, r := range in.requests {
		if !r.over {
			in.fail(r, processEnds)
			in.decider.HandleClientGone(in.now, r.ID)
		}
	}
	in.clients.closeIdle(in)
	in.after(drainSpare.Seconds()/2, func() {
		for c := range in.clients.all {
			in.shutDown(c)
		}
	})
	in.after(drainSpare.Seconds()*3/4, func() {
		for c := range in.clients.all {
			in.closeClient(c, drainDeadline, nil)
		}
		in.accepted = true // else its place is taken, and SIGKILL comes
	})
}
