package policy

import "slices"

// deniedReportBackoff is the time during which a member must not ask again after denyReport.
const deniedReportBackoff Seconds = 0.5

// awaitGrant queues a request for a grant from its customer's owner. If no other request of the customer
// waits, it calls askForGrant. Otherwise, the customer's next report asks for the units of the request.
func (q *quotaController) awaitGrant(r *request) {
	c := r.customer
	c.awaitingOwner, r.awaitingOwner = append(c.awaitingOwner, r), true
	if len(c.awaitingOwner) == 1 {
		q.reporter.askForGrant(c)
	}
}

// decideWaiters decides on the first count requests that wait for the owner. It skips those that are done,
// admits those for which quotaAllows returns true, and queues the others for a concurrency slot or rejects
// them. Unless ceilingReserved is set, an admitted request must also fit into this gateway's share of the
// ceiling.
func (q *quotaController) decideWaiters(
	c *customer, count int, quotaAllows func(*request) bool, ceilingReserved bool,
) {
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

// handleOverdueReplies repeats the reports whose reply is overdue. A repeated report goes to the customer's
// current owner, which may have changed because the previous one became unreachable. After maxOverdueReplies
// in a row for a customer, the local window decides on the customer's requests that wait for a grant, and the
// report is not repeated.
func (q *quotaController) handleOverdueReplies() {
	q.reporter.forEachOverdue(func(c *customer) {
		if exhausted := q.reporter.recordOverdue(c); !exhausted {
			q.reporter.repeatReport(c)
			return
		}
		quotaAllows := func(r *request) bool { return c.reserveLocal(r.Units, q.clock.now) }
		q.decideWaiters(c, len(c.awaitingOwner), quotaAllows, false)
	})
}

// handleRecords handles the usage records of a message from another gateway. It ignores records with an
// unknown plan, and answers the reports with a single message. A record from an owner goes to applyReply,
// unless the customer is unknown or its latest report, sent or scheduled, is for another gateway.
func (q *quotaController) handleRecords(from int, received message) {
	replies := q.protocol.newMessage()
	for _, record := range received.records {
		switch {
		case record.planIndex >= len(q.customers.plansByIndex):
		case record.fromOwner:
			if c := q.customers.identify(record); c != nil && c.report.gateway == from {
				q.applyReply(c, record)
			}
		default:
			report := memberReport{
				usageRecord: record, from: from, incarnation: received.incarnation, receivedAt: q.clock.now,
			}
			replies.records = append(replies.records, q.replyToReport(report))
		}
	}
	q.protocol.send(from, replies)
}

// replyToReport applies a member's report and returns the reply. It adds the customer if it is new, and
// denies the report if the table has no room for it.
func (q *quotaController) replyToReport(report memberReport) usageRecord {
	c := q.customers.identify(report.usageRecord)
	if c == nil {
		c = q.customers.add(report.key, report.name, q.customers.plansByIndex[report.planIndex])
	}
	if c == nil {
		return q.denyReport(report)
	}
	q.customers.use(c)
	return c.applyUsageReport(report, q.protocol.format, q.protocol.queryBackoff)
}

// denyReport returns the reply to a report on a customer for which the table has no room. Without a reply,
// the member would consider this gateway unreachable. The reply acknowledges no units, so that the member
// goes on to count them. It states that no units are left and that the demand at other gateways is the
// highest that a record can hold. The member then admits next to nothing from its view of the quota, and
// asks again.
func (q *quotaController) denyReport(report memberReport) usageRecord {
	reply := usageRecord{
		key: report.key, name: report.name, planIndex: report.planIndex, fromOwner: true, remainingKnown: true,
		total: report.total - report.unacknowledged, demand: q.protocol.format.maxDemand(),
	}
	if report.wantedUnits > 0 {
		reply.wantedUnits = report.wantedUnits
		reply.backoff = deniedReportBackoff
	}
	return reply
}

// applyReply handles the owner's reply to a report: it updates the view of the quota and decides on the
// requests whose units the report asked for. It schedules another report if granted units are unused, or if
// no expected reply covers the requests that still wait.
func (q *quotaController) applyReply(c *customer, reply usageRecord) {
	// grantedTotal is the number of units that the owner has counted or reserved for this gateway so far.
	grantedTotal := c.totalUnits + q.protocol.format.roundDifference(reply.total-c.totalUnits)
	c.quota.remainingKnown, c.quota.window = true, tokenBucket{tokens: reply.remaining, updatedAt: q.clock.now}
	c.quota.othersDemand, c.quota.othersInFlight = reply.demand, reply.inFlight
	c.acknowledgedUnits = grantedTotal
	if reply.wantedUnits > 0 && c.report.askedCount > 0 {
		q.decideAskedWaiters(c, reply, grantedTotal)
	}
	c.acknowledgedUnits = min(grantedTotal, c.totalUnits)
	hasUnaskedWaiters := len(c.awaitingOwner) > 0 && c.report.askedCount == 0
	if grantedTotal > c.totalUnits || hasUnaskedWaiters { // return unused units, or ask for the other requests
		q.reporter.scheduleReport(c, len(c.awaitingOwner) > 0)
	}
	q.reporter.recordReply(c)
}

// decideAskedWaiters decides on the requests whose units the last report asked for. If the reply has a
// backoff, the function also queues or rejects all other requests that wait for a grant.
func (q *quotaController) decideAskedWaiters(c *customer, reply usageRecord, grantedTotal float64) {
	asked := min(c.report.askedCount, len(c.awaitingOwner))
	c.report.askedCount, c.report.overdueReplies = 0, 0
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
