package policy

// requestHandler carries out what is decided on a request.
type requestHandler interface {
	// dispatch sends an admitted request to an endpoint.
	dispatch(r *request)
	reject(r *request, why Reason)
}

// quotaController keeps the customers to the quotas, concurrency limits and ceilings of their plans, together
// with the other gateways. It is the owner of some customers and a member of the others.
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

// isOwner tells whether this gateway is the customer's owner now.
func (q *quotaController) isOwner(c *customer) bool { return q.owners.owner(c) == q.self }

// handleTimer does what no event brings: it looks after reports without a reply and requests without a slot,
// and sends the reports that are due.
func (q *quotaController) handleTimer() {
	q.retransmit()
	q.retrySlotWaiters()
	q.reporter.sendDue()
}

// admit decides on a request: the owner by its ledger, a member by its share of the remaining units.
func (q *quotaController) admit(r *request) admission {
	if q.isOwner(r.customer) {
		return r.customer.admitAsOwner(r, q.clock.now)
	}
	return r.customer.admitAsMember(r, q.clock.now)
}

// admitNow charges an admitted request, see reserve, and sends it to an endpoint.
func (q *quotaController) admitNow(r *request, ceilingReserved bool) {
	q.reserve(r, ceilingReserved)
	q.requests.dispatch(r)
}

// queueOrReject has a request that is not admitted wait for a concurrency slot, or rejects it if that is not
// worthwhile.
func (q *quotaController) queueOrReject(r *request) {
	if q.worthQueueing(r) {
		q.queueForSlot(r)
	} else {
		q.requests.reject(r, QuotaExceeded)
	}
}

// reserve charges an admitted request to quota and ceiling. With ceilingReserved the owner has taken it from the
// ceiling's pool already.
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

// charge counts units, which are below 0 when they are returned, and has them reported to the owner.
func (q *quotaController) charge(c *customer, units float64) {
	if q.isOwner(c) {
		c.currentLedger(q.clock.now).charge(units)
	}
	c.totalUnits += units
	if c.totalUnits > c.acknowledgedUnits || units < 0 {
		q.reporter.scheduleReport(c, false)
	}
}
