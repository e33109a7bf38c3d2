package policy

// Limits on attempts out at once: requests that wait for one of a customer's attempts to end.

import (
	"cmp"
	"slices"
)

// slotQueue holds the customers with requests that wait for a concurrency slot.
type slotQueue struct {
	slotWaiters []*customer // with requests parked
}

// outBy counts the customer's attempts out, which a parallel plan's owner hears of.
func (g *Gateway) adjustInFlight(r *request, n int) {
	if r.customer == nil {
		return
	}
	// That a slot is free again is told at once where others may wait for it.
	scarce := n < 0 && r.customer.inFlight+r.customer.quota.othersInFlight >= r.plan.MaxConcurrent
	if r.customer.inFlight += n; r.plan.MaxConcurrent > 0 {
		g.markForReport(r.customer, scarce)
	}
}

// slotComes tells whether a request that finds its customer's attempts all out is worth keeping until
// one of them ends: its units have room, and its aim lets it wait.
func (g *Gateway) worthQueueing(r *request) bool {
	c := r.customer
	next := g.clock.now + timerInterval
	if c == nil || r.plan.MaxConcurrent == 0 || next > r.firstWriteBy || next+r.class.meanLatency > r.objectiveAt || !g.retries.allowsAttempt(r) {
		return false
	}
	available := c.availableUnits(g.owner(c) == g.settings.Self, g.clock.now)
	return r.plan.Rate == 0 || r.Units <= available
}

// park keeps a request until a slot of its customer is free. No more wait than can be out at once, the
// dearest first: the cheapest gives way at once.
func (g *Gateway) queueForSlot(r *request) {
	c := r.customer
	if len(c.slotQueue) == 0 {
		g.slotWaiters = append(g.slotWaiters, c)
	}
	if pause := g.clock.now + max(g.meanAttemptDuration, timerInterval)/float64(2*r.plan.MaxConcurrent); g.owner(c) != g.settings.Self {
		c.slotRetryAt = max(c.slotRetryAt, pause) // the owner is asked again then, not sooner
	}
	c.slotQueue = append(c.slotQueue, r)
	slices.SortStableFunc(c.slotQueue, func(a, b *request) int { return cmp.Compare(b.priority, a.priority) })
	if n := len(c.slotQueue) - 1; n >= r.plan.MaxConcurrent {
		last := c.slotQueue[n]
		c.slotQueue = c.slotQueue[:n]
		g.reject(last, ConcurrencyLimitReached)
	}
}

// slots tries again what waits for a slot, and gives up at once what can't make its aim any more.
func (g *Gateway) retryQueued() {
	list := g.slotWaiters
	g.slotWaiters = nil
	for _, c := range list {
		c.slotQueue = slices.DeleteFunc(c.slotQueue, func(r *request) bool {
			if r.done || g.worthQueueing(r) {
				return r.done
			}
			g.reject(r, ConcurrencyLimitReached)
			return true
		})
		for len(c.slotQueue) > 0 && g.clock.now >= c.slotRetryAt && len(c.awaitingOwner) == 0 {
			r := c.slotQueue[0]
			v := g.admit(r)
			if v == rejectRequest {
				break
			}
			c.slotQueue = slices.Delete(c.slotQueue, 0, 1)
			if v == askOwner {
				g.awaitOwner(r)
			} else {
				g.reserve(r, false)
				g.dispatch(r)
			}
		}
		if len(c.slotQueue) > 0 {
			g.slotWaiters = append(g.slotWaiters, c)
		}
	}
}
