package policy

import (
	"cmp"
	"slices"
)

// dispatchQueue holds the admitted requests that wait until an endpoint has capacity.
type dispatchQueue struct {
	requests []*request
}

func (q *dispatchQueue) isEmpty() bool { return len(q.requests) == 0 }

func (q *dispatchQueue) add(r *request) { q.requests = append(q.requests, r) }

// drain offers each request to dequeue, those of the highest priority first, and keeps those for which it
// returns false.
func (q *dispatchQueue) drain(dequeue func(*request) bool) {
	if q.isEmpty() {
		return
	}
	slices.SortStableFunc(q.requests, func(a, b *request) int { return cmp.Compare(b.priority, a.priority) })
	q.requests = slices.DeleteFunc(q.requests, dequeue)
}

// dispatch sends an admitted request to an endpoint, queues it if none has capacity, or rejects it if no
// attempt is allowed any more.
func (g *Gateway) dispatch(r *request) {
	if len(r.attempts) == 0 {
		g.admittedWork += r.class.meanLatency / demandTimeConstant
	}
	if !g.retries.allowsAttempt(r) {
		g.reject(r, g.retries.rejectionReason(r))
		return
	}
	if e := g.pickEndpoint(r); e != nil {
		g.sendAttempt(r, e)
	} else {
		g.dispatchQueue.add(r)
	}
}

// dispatchQueued sends the queued requests for which an endpoint has capacity now, and rejects those that can't
// be replied to within their objective any more.
func (g *Gateway) dispatchQueued() {
	g.dispatchQueue.drain(func(r *request) bool {
		if r.done || g.clock.now+r.class.meanLatency > r.objectiveAt || !g.retries.allowsAttempt(r) {
			g.reject(r, NoEndpointInTime)
			return true
		}
		e := g.pickEndpoint(r)
		if e != nil {
			g.sendAttempt(r, e)
		}
		return e != nil
	})
}
