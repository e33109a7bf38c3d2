package policy

import "slices"

// admit decides on a request: the owner by its ledger, a member by its split of the remaining units.
func (g *Gateway) admit(r *request) admission {
	if g.owner(r.customer) == g.settings.Self {
		return r.customer.admitAsOwner(r, g.clock.now)
	}
	return r.customer.admitAsMember(r, g.clock.now)
}

// reserve charges an admitted request to quota and ceiling. With ceilingPaid the owner has taken it from the
// ceiling's pool already.
func (g *Gateway) reserve(r *request, ceilingPaid bool) {
	c := r.customer
	if c == nil {
		return
	}
	if !ceilingPaid {
		c.reserveCeiling(r.Units, g.clock.now)
	}
	r.charged = true
	g.charge(c, r.Units)
}

// charge counts units, which are below 0 when they are returned, and has them reported to the owner.
func (g *Gateway) charge(c *customer, units float64) {
	if g.owner(c) == g.settings.Self {
		c.currentLedger(g.clock.now).charge(units)
	}
	c.totalUnits += units
	if c.totalUnits > c.acknowledgedUnits || units < 0 {
		g.reporter.mark(c, false)
	}
}

// awaitOwner has the request wait for its owner's grant. Where others of its customer wait already, it joins
// the next report.
func (g *Gateway) awaitOwner(r *request) {
	c := r.customer
	c.awaitingOwner, r.awaitingOwner = append(c.awaitingOwner, r), true
	if len(c.awaitingOwner) == 1 {
		g.reporter.ask(c)
	}
}

// settleAwaiting ends the wait of the first count requests: those that fit go on, and the others wait for a
// concurrency slot or are rejected.
func (g *Gateway) settleAwaiting(c *customer, count int, fits func(*request) bool, ceilingPaid bool) {
	settled := c.awaitingOwner[:count]
	c.awaitingOwner = slices.Clone(c.awaitingOwner[count:])
	for _, r := range settled {
		r.awaitingOwner = false
		switch {
		case r.done:
		case fits(r) && (ceilingPaid || c.ceilingSplitHasCapacity(r.Units, g.clock.now)):
			g.reserve(r, ceilingPaid)
			g.dispatcher.dispatch(r)
		case g.worthQueueing(r):
			g.queueForSlot(r)
		default:
			g.replies.reject(r, QuotaExceeded)
		}
	}
}

// retransmit repeats the reports without a reply. After several in a row their owner is unreachable, and the
// report goes to the gateway after it on the ring; after the last, the local window decides.
func (g *Gateway) retransmit() {
	g.reporter.forEachOverdue(func(c *customer) {
		if exhausted := g.reporter.recordOverdue(c); !exhausted {
			g.reporter.repeat(c)
			return
		}
		fits := func(r *request) bool { return c.reserveLocal(r.Units, g.clock.now) }
		g.settleAwaiting(c, len(c.awaitingOwner), fits, false)
	})
}

// answerReport returns the owner's reply to a member's report.
func (g *Gateway) answerReport(report memberReport) usageRecord {
	c := g.customers.byKey[report.Key]
	if c == nil {
		c = g.customers.add(report.Key, g.customers.plansByIndex[report.Plan])
	}
	c.usedAt = report.receivedAt
	return c.answerReport(report, g.protocol.format, g.protocol.queryBackoff)
}

// applyGrant handles the owner's reply: it renews the view of the quota and settles the requests that the
// report asked for.
func (g *Gateway) applyGrant(c *customer, reply usageRecord) {
	// The owner has counted or reserved units up to this total of ours.
	grantedTotal := c.totalUnits + g.protocol.format.roundDifference(reply.Total-c.totalUnits)
	c.quota.known, c.quota.window = true, tokenBucket{tokens: reply.Remaining, updatedAt: g.clock.now}
	c.quota.othersDemand, c.quota.othersInFlight = reply.Demand, reply.InFlight
	c.acknowledgedUnits = grantedTotal
	if reply.WantedUnits > 0 && c.report.askedCount > 0 {
		g.settleAsked(c, reply, grantedTotal)
	}
	c.acknowledgedUnits = min(grantedTotal, c.totalUnits)
	unasked := len(c.awaitingOwner) > 0 && c.report.askedCount == 0
	if grantedTotal > c.totalUnits || unasked { // what is not used is returned
		g.reporter.mark(c, len(c.awaitingOwner) > 0)
	}
	g.reporter.finishReply(c)
}

// settleAsked settles the requests whose units the last report asked for, and with a backoff all others too.
func (g *Gateway) settleAsked(c *customer, reply usageRecord, grantedTotal float64) {
	asked := min(c.report.askedCount, len(c.awaitingOwner))
	c.report.askedCount, c.report.attempts = 0, 0
	c.quota.backoffUntil = g.clock.now + reply.Backoff
	fits := func(r *request) bool {
		return c.totalUnits+r.Units <= grantedTotal+g.protocol.format.roundingSlack()
	}
	g.settleAwaiting(c, asked, fits, reply.CeilingPool)
	if reply.Backoff > 0 {
		none := func(*request) bool { return false }
		g.settleAwaiting(c, len(c.awaitingOwner), none, false)
	}
}
