package policy

import "slices"

// awaitGrant has the request wait for its owner's grant. Where others of its customer wait already, it joins
// the next report.
func (q *quotaController) awaitGrant(r *request) {
	c := r.customer
	c.awaitingOwner, r.awaitingOwner = append(c.awaitingOwner, r), true
	if len(c.awaitingOwner) == 1 {
		q.reporter.askForGrant(c)
	}
}

// decideWaiters ends the wait of the first count requests: those that fit go on, and the others wait for a
// concurrency slot or are rejected.
func (q *quotaController) decideWaiters(c *customer, count int, quotaAllows func(*request) bool, ceilingReserved bool) {
	decided := c.awaitingOwner[:count]
	c.awaitingOwner = slices.Clone(c.awaitingOwner[count:])
	for _, r := range decided {
		r.awaitingOwner = false
		switch {
		case r.done:
		case quotaAllows(r) && (ceilingReserved || c.ceilingShareHasCapacity(r.Units, q.clock.now)):
			q.admitNow(r, ceilingReserved)
		default:
			q.queueOrReject(r)
		}
	}
}

// retransmit repeats the reports without a reply. After several in a row their owner is unreachable, and the
// report goes to the gateway after it on the ring; after the last, the local window decides.
func (q *quotaController) retransmit() {
	q.reporter.forEachOverdue(func(c *customer) {
		if exhausted := q.reporter.recordOverdue(c); !exhausted {
			q.reporter.repeatReport(c)
			return
		}
		quotaAllows := func(r *request) bool { return c.reserveLocal(r.Units, q.clock.now) }
		q.decideWaiters(c, len(c.awaitingOwner), quotaAllows, false)
	})
}

// handleRecords replies to the reports in a message of another gateway, all in one message, and applies its
// replies to reports of this one.
func (q *quotaController) handleRecords(from int, received message) {
	replies := q.protocol.newMessage()
	for _, record := range received.records {
		c := q.customers.byKey[record.key]
		switch {
		case record.planIndex >= len(q.customers.plansByIndex):
		case record.fromOwner && c != nil && c.report.gateway == from:
			q.applyGrant(c, record)
		case !record.fromOwner:
			report := memberReport{
				usageRecord: record, from: from, incarnation: received.incarnation, receivedAt: q.clock.now,
			}
			replies.records = append(replies.records, q.replyToReport(report))
		}
	}
	q.protocol.send(from, replies)
}

// replyToReport returns the owner's reply to a member's report.
func (q *quotaController) replyToReport(report memberReport) usageRecord {
	c := q.customers.byKey[report.key]
	if c == nil {
		c = q.customers.add(report.key, q.customers.plansByIndex[report.planIndex])
	}
	c.usedAt = report.receivedAt
	return c.applyUsageReport(report, q.protocol.format, q.protocol.queryBackoff)
}

// applyGrant handles the owner's reply: it renews the view of the quota and decides the requests that the
// report asked for.
func (q *quotaController) applyGrant(c *customer, reply usageRecord) {
	// The owner has counted or reserved units up to this total of ours.
	grantedTotal := c.totalUnits + q.protocol.format.roundDifference(reply.total-c.totalUnits)
	c.quota.remainingKnown, c.quota.window = true, tokenBucket{tokens: reply.remaining, updatedAt: q.clock.now}
	c.quota.othersDemand, c.quota.othersInFlight = reply.demand, reply.inFlight
	c.acknowledgedUnits = grantedTotal
	if reply.wantedUnits > 0 && c.report.askedCount > 0 {
		q.decideAskedWaiters(c, reply, grantedTotal)
	}
	c.acknowledgedUnits = min(grantedTotal, c.totalUnits)
	hasUnaskedWaiters := len(c.awaitingOwner) > 0 && c.report.askedCount == 0
	if grantedTotal > c.totalUnits || hasUnaskedWaiters { // what is not used is returned
		q.reporter.scheduleReport(c, len(c.awaitingOwner) > 0)
	}
	q.reporter.recordReply(c)
}

// decideAskedWaiters decides the requests whose units the last report asked for, and with a backoff all others too.
func (q *quotaController) decideAskedWaiters(c *customer, reply usageRecord, grantedTotal float64) {
	asked := min(c.report.askedCount, len(c.awaitingOwner))
	c.report.askedCount, c.report.transmissions = 0, 0
	c.quota.backoffUntil = q.clock.now + reply.backoff
	quotaAllows := func(r *request) bool {
		return c.totalUnits+r.Units <= grantedTotal+q.protocol.format.roundingTolerance()
	}
	q.decideWaiters(c, asked, quotaAllows, reply.ceilingPool)
	if reply.backoff > 0 {
		denyAll := func(*request) bool { return false }
		q.decideWaiters(c, len(c.awaitingOwner), denyAll, false)
	}
}
