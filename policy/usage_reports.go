package policy

import "slices"

const (
	// minReportInterval is the minimum time from one batch to the next batch for the same owner. Urgent
	// batches do not wait for it.
	minReportInterval Seconds = 0.1
	// reportFraction limits the rate at which a gateway sends messages with reports, as a fraction of
	// Settings.PeerMessageRate, the rate at which a gateway can receive messages. It is less than half because
	// each message with reports causes another with the replies.
	reportFraction = 0.45
	// minUrgentTokens is the number of messages that the budget must hold to send an urgent batch.
	// minBatchTokens is the number for any other batch. Each message takes one from the budget, so the other
	// batches leave at least one message for an urgent batch.
	minUrgentTokens = 1
	minBatchTokens  = 2
	// grantTimeout is the time after which a reply is overdue while requests wait for a grant.
	grantTimeout Seconds = 0.08
	// reportTimeout is the time after which a reply is overdue while no request waits for a grant.
	reportTimeout Seconds = 0.3
	// maxOverdueReplies is the number of consecutive overdue replies after which the local window decides on
	// the requests that wait for a grant.
	maxOverdueReplies = 4
)

// reportState is the state of a customer's reports to its owner.
type reportState struct {
	scheduled bool // the customer is in the batch for gateway
	gateway   int  // destination of the scheduled or last report
	// watched is set while the customer is in usageReporter.watched.
	watched            bool
	awaitingReplySince Seconds // 0: no reply is expected
	sent               bool    // a report was sent since the customer was added
	sentAt             Seconds // time of the last report, if sent is set
	// askedCount is the number of waiting requests whose units the last report asked for. It is 0 once the
	// reply has arrived or is overdue.
	askedCount int
	// overdueReplies is the number of consecutive overdue replies. A reply can be overdue before the report
	// is sent, because the wait for a grant starts when the report is scheduled.
	overdueReplies int
}

// reportBatch holds the customers to report on in the next messages to a gateway.
type reportBatch struct {
	customers []*customer
	// skipped is the number of elements of customers whose report was unscheduled, or more. sendBatch skips
	// them.
	skipped int
	pending bool // the gateway is in usageReporter.pending
	// urgent is set if a request waits for a grant, or if a freed concurrency slot is to be reported.
	urgent bool
	sentAt Seconds // time of the last call of sendBatch
}

// usageReporter reports the usage of customers to their owners. It sends reports in batches within a message
// budget, and detects overdue replies.
type usageReporter struct {
	clock    *eventClock
	self     int
	protocol *peerProtocol
	owners   ownerFinder
	budget   tokenBucket   // messages that may be sent
	batches  []reportBatch // by gateway
	pending  []int         // gateways whose batches are not empty
	watched  []*customer   // customers that forEachOverdue checks
}

// newUsageReporter returns a reporter with no reports scheduled and a budget of minBatchTokens messages.
func newUsageReporter(
	s Settings, clock *eventClock, protocol *peerProtocol, owners ownerFinder,
) usageReporter {
	return usageReporter{
		clock: clock, self: s.Self, protocol: protocol, owners: owners,
		budget:  tokenBucket{tokens: minBatchTokens, updatedAt: clock.now},
		batches: make([]reportBatch, s.GatewayCount),
	}
}

// scheduleReport adds the customer to the next batch for its owner, and marks the batch as urgent if urgent
// is set. If this gateway is the owner, scheduleReport only marks all units of the customer as acknowledged.
func (u *usageReporter) scheduleReport(c *customer, urgent bool) {
	owner := u.owners.owner(c)
	if owner == u.self {
		c.acknowledgedUnits = c.totalUnits
		return
	}
	if !c.report.scheduled || c.report.gateway != owner {
		u.addToBatch(c, owner)
	}
	u.batches[owner].urgent = u.batches[owner].urgent || urgent
}

// addToBatch adds the customer to the batch for a gateway. If the customer is still in the batch for an
// earlier owner, sendBatch skips that entry.
func (u *usageReporter) addToBatch(c *customer, gateway int) {
	c.report.scheduled, c.report.gateway = true, gateway
	batch := &u.batches[gateway]
	batch.customers = append(batch.customers, c)
	if !batch.pending {
		batch.pending = true
		u.pending = append(u.pending, gateway)
	}
}

// unschedule implements reportScheduler. So that evicted customers do not take up memory, it compacts a batch
// as soon as it has to skip more than half of its customers.
func (u *usageReporter) unschedule(c *customer) {
	batch := &u.batches[c.report.gateway]
	c.report.scheduled = false
	batch.skipped++
	if 2*batch.skipped <= len(batch.customers) {
		return
	}
	batch.skipped = 0
	batch.customers = slices.DeleteFunc(batch.customers, func(c *customer) bool { return !c.report.scheduled })
}

// askForGrant schedules an urgent report for the first request that waits for a grant, and sends the batches
// that are due. The wait for the reply starts even if the report is not sent yet.
func (u *usageReporter) askForGrant(c *customer) {
	c.report.overdueReplies, c.report.awaitingReplySince = 0, u.clock.now
	u.watchForReply(c)
	u.scheduleReport(c, true)
	u.sendDue()
}

// sendDue sends the batches that are due, as far as the budget allows. The budget holds at most the messages
// of two report intervals, or minBatchTokens if that is more.
func (u *usageReporter) sendDue() {
	rate := u.protocol.messageRate * reportFraction
	u.budget.refill(rate, max(minBatchTokens, rate*minReportInterval*2), u.clock.now)
	u.pending = slices.DeleteFunc(u.pending, func(gateway int) bool {
		batch := &u.batches[gateway]
		if u.isDue(batch) {
			u.budget.tokens--
			u.sendBatch(gateway)
		}
		batch.pending = len(batch.customers) > 0
		return !batch.pending
	})
}

// isDue reports whether a batch may be sent now.
func (u *usageReporter) isDue(batch *reportBatch) bool {
	if batch.urgent && u.budget.tokens >= minUrgentTokens {
		return true
	}
	return u.budget.tokens >= minBatchTokens && u.clock.now-batch.sentAt >= minReportInterval
}

// sendBatch sends one message with as many customers of the batch as fit into it.
func (u *usageReporter) sendBatch(gateway int) {
	batch, taken := &u.batches[gateway], 0
	m := u.protocol.newMessage()
	for _, c := range batch.customers {
		if !u.protocol.format.hasRoomFor(m.records, usageRecord{name: c.name}) {
			break
		}
		taken++
		if c.report.gateway == gateway && c.report.scheduled {
			m.records = append(m.records, u.newRecord(c))
			u.recordSent(c)
		}
	}
	batch.customers = slices.Delete(batch.customers, 0, taken)
	batch.skipped = min(batch.skipped, len(batch.customers))
	batch.sentAt, batch.urgent = u.clock.now, batch.urgent && len(batch.customers) > 0
	u.protocol.send(gateway, m)
}

// newRecord returns a report on the customer that asks for the units of all requests that wait for a grant.
func (u *usageReporter) newRecord(c *customer) usageRecord {
	now := u.clock.now
	remaining := c.remainingUnitsAsMember(now) // called first: may change remainingKnown and acknowledgedUnits
	record := usageRecord{
		key: c.key, name: c.name, planIndex: c.plan.index,
		remainingKnown: c.quota.remainingKnown, ceilingPool: c.report.gateway == c.primaryOwner,
		total: c.totalUnits, remaining: remaining, demand: c.demand.rateAt(now), inFlight: c.inFlight,
		unacknowledged: c.unacknowledgedUnits(),
	}
	for _, r := range c.awaitingOwner {
		record.wantedUnits += r.Units
	}
	if len(c.awaitingOwner) > 0 {
		first := c.awaitingOwner[0]
		record.firstWantedUnits, record.priorityDeficit = first.Units, first.priorityDeficit
	}
	return record
}

// recordSent records that the customer's report was sent. It starts the wait for the reply, or restarts it if
// the report asks for a grant.
func (u *usageReporter) recordSent(c *customer) {
	now := u.clock.now
	c.usedAt = now
	c.report.sent, c.report.sentAt = true, now
	c.report.scheduled, c.report.askedCount = false, len(c.awaitingOwner)
	if c.report.awaitingReplySince == 0 || c.report.askedCount > 0 {
		c.report.awaitingReplySince = now
	}
	u.watchForReply(c)
}

// watchForReply adds the customer to the watched customers, so that forEachOverdue detects an overdue reply.
func (u *usageReporter) watchForReply(c *customer) {
	if !c.report.watched {
		c.report.watched = true
		u.watched = append(u.watched, c)
	}
}

// replyOverdue reports whether the owner's reply is overdue. Time before the end of this gateway's last stall
// does not count.
func (u *usageReporter) replyOverdue(c *customer) bool {
	timeout := reportTimeout
	if len(c.awaitingOwner) > 0 {
		timeout = grantTimeout
	}
	return c.report.awaitingReplySince > 0 && u.clock.since(c.report.awaitingReplySince) > timeout
}

// recordOverdue ends the wait for an overdue reply. If the report was sent, recordOverdue adds it to the
// unanswered reports of its recipient. After maxOverdueReplies overdue replies in a row, it returns true, and
// the report must not be repeated.
func (u *usageReporter) recordOverdue(c *customer) (exhausted bool) {
	if !c.report.scheduled { // a scheduled report has not been sent yet
		u.protocol.recordUnanswered(c.report.gateway)
	}
	c.report.overdueReplies++
	c.report.awaitingReplySince, c.report.askedCount = 0, 0
	if c.report.overdueReplies < maxOverdueReplies {
		return false
	}
	c.report.overdueReplies = 0
	return true
}

// repeatReport schedules another report on the customer, to its current owner. If requests wait for a
// grant, the wait for the reply starts at once, even if this gateway has become the owner and no report is
// scheduled.
func (u *usageReporter) repeatReport(c *customer) {
	waiting := len(c.awaitingOwner) > 0
	u.scheduleReport(c, waiting)
	if waiting {
		c.report.awaitingReplySince = u.clock.now
	}
}

// forEachOverdue calls handle for each customer whose reply is overdue. It stops watching the customers for
// which no reply is expected any more.
func (u *usageReporter) forEachOverdue(handle func(*customer)) {
	for _, c := range u.watched {
		if u.replyOverdue(c) {
			handle(c)
		}
		c.report.watched = c.report.awaitingReplySince > 0
	}
	u.watched = slices.DeleteFunc(u.watched, func(c *customer) bool { return !c.report.watched })
}

// recordReply records that a reply has arrived. If no request waits for a grant, it ends the wait for a
// reply. If requests wait but no report whose reply is still expected has asked for their units, it restarts
// the wait: the reply to their next report must arrive in time.
func (u *usageReporter) recordReply(c *customer) {
	if len(c.awaitingOwner) == 0 {
		c.report.awaitingReplySince, c.report.overdueReplies = 0, 0
	} else if c.report.askedCount == 0 {
		c.report.awaitingReplySince = u.clock.now
		u.watchForReply(c)
	}
}
