package policy

import "slices"

const (
	// minReportInterval is the least time between two batches of reports to one owner.
	minReportInterval Seconds = 0.1
	// reportFraction is the part of Settings.PeerMessageRate that a gateway's own reports may take. All
	// gateways receive about as much as all send; the rest is left to replies.
	reportFraction = 0.45
	// minUrgentTokens and minBatchTokens are how many messages the budget must hold before an urgent batch
	// is sent, or any other. Either takes one.
	minUrgentTokens = 1
	minBatchTokens  = 2
	// grantTimeout is how long a request waits for a grant before the report is repeated.
	grantTimeout Seconds = 0.08
	// reportTimeout is the same for reports that no request waits for.
	reportTimeout Seconds = 0.3
	// maxReportTransmissions is the number of reports without a reply after which the local window decides.
	maxReportTransmissions = 4
)

// reportState is where a customer stands in the exchange of reports with its owner.
type reportState struct {
	scheduled bool // is in the batch of gateway
	gateway   int  // that the last report goes or went to
	// watched tells that the customer is in usageReporter.watched.
	watched            bool
	awaitingReplySince Seconds // 0: no reply is expected
	// askedCount is the number of awaiting requests whose units the last report asked for.
	askedCount int
	// transmissions is the number of reports sent in a row without a reply.
	transmissions int
}

// reportBatch holds the customers that the next message to a gateway reports on.
type reportBatch struct {
	customers []*customer
	pending   bool // is on the list of batches to send
	// urgent tells that a request or a free concurrency slot waits for it.
	urgent bool
	sentAt Seconds
}

// usageReporter is the member's side of the exchange: it reports customers to their owners in batches, within
// a budget of messages, and watches for the replies.
type usageReporter struct {
	clock    *eventClock
	self     int
	protocol *peerProtocol
	owners   ownerFinder
	budget   tokenBucket // reports that may be sent
	batches  []reportBatch
	pending  []int       // gateways whose batches are not empty
	watched  []*customer // customers whose reply is watched for
}

// newUsageReporter returns a reporter with nothing to report.
func newUsageReporter(
	s Settings, clock *eventClock, protocol *peerProtocol, owners ownerFinder,
) usageReporter {
	return usageReporter{
		clock: clock, self: s.Self, protocol: protocol, owners: owners,
		budget:  tokenBucket{tokens: minBatchTokens, updatedAt: clock.now},
		batches: make([]reportBatch, s.GatewayCount),
	}
}

// scheduleReport has the customer reported to its owner, at once if urgent. At the owner itself there is
// nothing to report.
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

// addToBatch adds the customer to the batch of a gateway. A stale entry in another gateway's batch is skipped
// when that is sent.
func (u *usageReporter) addToBatch(c *customer, gateway int) {
	c.report.scheduled, c.report.gateway = true, gateway
	batch := &u.batches[gateway]
	batch.customers = append(batch.customers, c)
	if !batch.pending {
		batch.pending = true
		u.pending = append(u.pending, gateway)
	}
}

// askForGrant reports the customer at once, as the first of its requests waits for a grant.
func (u *usageReporter) askForGrant(c *customer) {
	c.report.transmissions, c.report.awaitingReplySince = 0, u.clock.now
	u.watchForReply(c)
	u.scheduleReport(c, true)
	u.sendDue()
}

// sendDue sends the batches that are due, as far as the budget holds.
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

// isDue tells whether a batch can be sent now.
func (u *usageReporter) isDue(batch *reportBatch) bool {
	if batch.urgent && u.budget.tokens >= minUrgentTokens {
		return true
	}
	return u.budget.tokens >= minBatchTokens && u.clock.now-batch.sentAt >= minReportInterval
}

// sendBatch sends one message with as many customers of a batch as it holds.
func (u *usageReporter) sendBatch(gateway int) {
	batch, taken := &u.batches[gateway], 0
	m := u.protocol.newMessage()
	for _, c := range batch.customers {
		if !u.protocol.format.hasRoomForRecords(len(m.records) + 1) {
			break
		}
		taken++
		if c.report.gateway == gateway && c.report.scheduled {
			m.records = append(m.records, u.newRecord(c))
			u.recordSent(c)
		}
	}
	batch.customers = slices.Delete(batch.customers, 0, taken)
	batch.sentAt, batch.urgent = u.clock.now, batch.urgent && len(batch.customers) > 0
	u.protocol.send(gateway, m)
}

// newRecord returns the report on a customer, with the units of the requests that wait for a grant.
func (u *usageReporter) newRecord(c *customer) usageRecord {
	now := u.clock.now
	remaining := c.remainingUnitsAsMember(now) // first, as it may change the customer's state
	record := usageRecord{
		key: c.key, planIndex: c.plan.index, remainingKnown: c.quota.remainingKnown, ceilingPool: c.report.gateway == c.primaryOwner,
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

// recordSent notes that the report was sent, and starts to wait for its reply.
func (u *usageReporter) recordSent(c *customer) {
	now := u.clock.now
	c.usedAt = now
	c.report.scheduled, c.report.askedCount = false, len(c.awaitingOwner)
	if c.report.awaitingReplySince == 0 || c.report.askedCount > 0 {
		c.report.awaitingReplySince = now
	}
	u.watchForReply(c)
}

// watchForReply adds the customer to those whose reply is watched for.
func (u *usageReporter) watchForReply(c *customer) {
	if !c.report.watched {
		c.report.watched = true
		u.watched = append(u.watched, c)
	}
}

// replyOverdue tells whether the customer's reply did not come in time. Time in which this gateway itself
// stood still does not count.
func (u *usageReporter) replyOverdue(c *customer) bool {
	timeout := reportTimeout
	if len(c.awaitingOwner) > 0 {
		timeout = grantTimeout
	}
	return c.report.awaitingReplySince > 0 && u.clock.since(c.report.awaitingReplySince) > timeout
}

// recordOverdue notes a reply that did not come, and returns true after the last transmission.
func (u *usageReporter) recordOverdue(c *customer) (exhausted bool) {
	if !c.report.scheduled { // the report was sent
		u.protocol.recordUnanswered(c.report.gateway)
	}
	c.report.transmissions++
	c.report.awaitingReplySince, c.report.askedCount = 0, 0
	if c.report.transmissions < maxReportTransmissions {
		return false
	}
	c.report.transmissions = 0
	return true
}

// repeatReport reports the customer again, to its owner as the reachable gateways are now.
func (u *usageReporter) repeatReport(c *customer) {
	waiting := len(c.awaitingOwner) > 0
	u.scheduleReport(c, waiting)
	if waiting {
		c.report.awaitingReplySince = u.clock.now
	}
}

// forEachOverdue calls handle for the customers whose reply did not come in time, and drops those that no
// reply is expected for any more.
func (u *usageReporter) forEachOverdue(handle func(*customer)) {
	for _, c := range u.watched {
		if u.replyOverdue(c) {
			handle(c)
		}
		c.report.watched = c.report.awaitingReplySince > 0
	}
	u.watched = slices.DeleteFunc(u.watched, func(c *customer) bool { return !c.report.watched })
}

// recordReply ends the wait for a reply that came, or starts it anew for requests that came after the report.
func (u *usageReporter) recordReply(c *customer) {
	if len(c.awaitingOwner) == 0 {
		c.report.awaitingReplySince, c.report.transmissions = 0, 0
	} else if c.report.askedCount == 0 {
		c.report.awaitingReplySince = u.clock.now
		u.watchForReply(c)
	}
}
