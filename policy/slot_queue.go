package policy

import "slices"

// slotQueue holds the customers with requests that wait for a concurrency slot. A slot becomes free when one
// of the customer's attempts in flight ends. The requests themselves are in customer.slotWaiters.
type slotQueue struct {
	customers []*customer
}

// add queues a request in order of priority. At most Plan.MaxConcurrent requests of a customer may wait. If
// the queue exceeds this bound, add removes and returns the last request of the lowest priority, which may
// be r. Otherwise, it returns nil.
func (q *slotQueue) add(r *request) (displaced *request) {
	c := r.customer
	if len(c.slotWaiters) == 0 {
		q.customers = append(q.customers, c)
	}
	c.slotWaiters = append(c.slotWaiters, r)
	slices.SortStableFunc(c.slotWaiters, byPriority)
	last := len(c.slotWaiters) - 1
	if last < r.plan.MaxConcurrent {
		return nil
	}
	displaced = c.slotWaiters[last]
	c.slotWaiters = c.slotWaiters[:last]
	return displaced
}

// forEach calls handle for each customer, and then removes the customers that have no waiting requests.
func (q *slotQueue) forEach(handle func(*customer)) {
	customers := q.customers
	q.customers = nil
	for _, c := range customers {
		handle(c)
		if len(c.slotWaiters) > 0 {
			q.customers = append(q.customers, c)
		}
	}
}

// adjustInFlight adds change to the number of attempts in flight of the request's customer, and records that
// an attempt was made. With a concurrency limit, it also schedules a report to the owner. The report is
// urgent if all slots were in use and one becomes free, because requests at other gateways may wait for it.
func (q *quotaController) adjustInFlight(r *request, change int) {
	c := r.customer
	if c == nil {
		return
	}
	atLimit := c.inFlight+c.quota.othersInFlight >= r.plan.MaxConcurrent
	c.inFlight += change
	c.attempted = true
	if r.plan.MaxConcurrent > 0 {
		q.reporter.scheduleReport(c, change < 0 && atLimit)
	}
}

// worthQueueing reports whether a request that was not admitted should wait for a concurrency slot. The
// plan must have a concurrency limit, the quota must have enough units left, and an attempt at the next
// timer tick must not be too late for firstWriteBy and the latency objective.
func (q *quotaController) worthQueueing(r *request) bool {
	c := r.customer
	if c == nil || r.plan.MaxConcurrent == 0 {
		return false
	}
	next := q.clock.now + timerInterval
	if next > r.firstWriteBy || next+r.class.meanLatency > r.objectiveAt || !q.retries.allowsAttempt(r) {
		return false
	}
	available := c.remainingUnits(q.isOwner(c), q.clock.now)
	return r.plan.Rate == 0 || r.Units <= available
}

// queueForSlot queues a request for a concurrency slot. If this displaces a request, which may be r, it
// rejects that request. A member waits at least half the expected time until a slot becomes free before it
// asks the owner again.
func (q *quotaController) queueForSlot(r *request) {
	c := r.customer
	if !q.isOwner(c) {
		slotInterval := max(q.limiter.meanAttemptDuration, timerInterval) / float64(2*r.plan.MaxConcurrent)
		c.slotRetryAt = max(c.slotRetryAt, q.clock.now+slotInterval)
	}
	if displaced := q.slots.add(r); displaced != nil {
		q.requests.reject(displaced, ConcurrencyLimitReached)
	}
}

// reconsiderSlotWaiters decides again on all requests that wait for a concurrency slot.
func (q *quotaController) reconsiderSlotWaiters() {
	q.slots.forEach(func(c *customer) {
		q.pruneWaiters(c)
		q.admitWaiters(c)
	})
}

// pruneWaiters removes the waiting requests that are done or no longer worth queueing, and rejects the
// latter.
func (q *quotaController) pruneWaiters(c *customer) {
	c.slotWaiters = slices.DeleteFunc(c.slotWaiters, func(r *request) bool {
		if r.done {
			return true
		}
		if q.worthQueueing(r) {
			return false
		}
		q.requests.reject(r, ConcurrencyLimitReached)
		return true
	})
}

// admitWaiters admits the waiting requests in order of priority. It stops at the first request that is not
// admitted, and after asking the owner. It does nothing before slotRetryAt, or while requests of the
// customer wait for a grant.
func (q *quotaController) admitWaiters(c *customer) {
	for len(c.slotWaiters) > 0 && q.clock.now >= c.slotRetryAt && len(c.awaitingOwner) == 0 {
		r := c.slotWaiters[0]
		decision := q.admit(r)
		if decision == notAdmitted {
			return
		}
		c.slotWaiters = slices.Delete(c.slotWaiters, 0, 1)
		if decision == askOwner {
			q.awaitGrant(r)
		} else {
			q.admitNow(r, false)
		}
	}
}
