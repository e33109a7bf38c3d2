package policy

// requestHandler carries out the decisions of a quotaController.
type requestHandler interface {
	// dispatch takes over an admitted request, to send it to an endpoint.
	dispatch(r *request)
	reject(r *request, reason Reason)
}

// quotaController enforces the quotas, concurrency limits and ceilings of the customers' plans together with
// the other gateways. This gateway is the owner of some customers and a member for the others.
type quotaController struct {
	clock     *eventClock
	self      int
	customers customerTable
	reporter  usageReporter
	slots     slotQueue
	owners    ownerFinder
	protocol  *peerProtocol
	retries   *retryPolicy
	limiter   *concurrencyLimiter
	requests  requestHandler
}

// isOwner reports whether this gateway is currently the customer's owner.
func (q *quotaController) isOwner(c *customer) bool { return q.owners.owner(c) == q.self }

// handleTimer handles overdue replies, decides again on requests that wait for a concurrency slot, and
// sends the reports that are due.
func (q *quotaController) handleTimer() {
	q.handleOverdueReplies()
	q.reconsiderSlotWaiters()
	q.reporter.sendDue()
}

// admit decides on a request. The owner decides by its ledger, a member by its view of the quota.
func (q *quotaController) admit(r *request) admission {
	if q.isOwner(r.customer) {
		return r.customer.admitAsOwner(r, q.clock.now)
	}
	return r.customer.admitAsMember(r, q.clock.now)
}

// admitNow charges an admitted request and dispatches it. See reserve for ceilingReserved.
func (q *quotaController) admitNow(r *request, ceilingReserved bool) {
	q.reserve(r, ceilingReserved)
	q.requests.dispatch(r)
}

// queueOrReject handles a request that was not admitted: it queues the request for a concurrency slot if
// worthQueueing allows it, and rejects it otherwise.
func (q *quotaController) queueOrReject(r *request) {
	if q.worthQueueing(r) {
		q.queueForSlot(r)
	} else {
		q.requests.reject(r, QuotaExceeded)
	}
}

// reserve charges an admitted request to its customer's quota and ceiling. If ceilingReserved is set, it
// skips the ceiling, because the owner has already taken the units from the ceiling pool.
func (q *quotaController) reserve(r *request, ceilingReserved bool) {
	c := r.customer
	if c == nil {
		return
	}
	if !ceilingReserved {
		c.reserveCeiling(r.Units, q.clock.now)
	}
	r.charged = true
	q.charge(c, r.Units)
}

// charge adds units to the customer's usage. Negative units are returned to the quota. A member also
// schedules a report, for negative units and for units that no grant covers.
func (q *quotaController) charge(c *customer, units float64) {
	if q.isOwner(c) {
		c.currentLedger(q.clock.now).charge(units)
	}
	c.totalUnits += units
	if c.totalUnits > c.acknowledgedUnits || units < 0 {
		q.reporter.scheduleReport(c, false)
	}
}
