package policy

const (
	// memberExpiry is the time without a report after which a member is taken to ask for nothing, and evicted.
	memberExpiry Seconds = 8.0
	// inFlightExpiry is how long a member's reported attempts in flight are believed.
	inFlightExpiry Seconds = 3.0
	// ledgerRecoveryPeriod is the age below which a ledger adopts lower remaining units from reports of members.
	ledgerRecoveryPeriod Seconds = 2.0
	// noGateway is the number of none.
	noGateway = -1
)

// ledger is the owner's count of a customer against the whole quota, over all gateways.
type ledger struct {
	window    tokenBucket // the units left; below 0 where gateways together have overdrawn them
	createdAt Seconds
	demand    demandMeter // of all members
	members   map[int]*member
}

// member is another gateway that reports its requests of a customer to the owner.
type member struct {
	incarnation uint8
	totalUnits  float64 // last reported, with the units granted since
	demand      demandMeter
	inFlight    int
	reportedAt  Seconds
}

// inFlight returns the attempts in flight at all members except one, or noGateway.
func (l *ledger) inFlight(now Seconds, except int) (sum int) {
	for gateway, m := range l.members {
		if gateway != except && now-m.reportedAt < inFlightExpiry {
			sum += m.inFlight
		}
	}
	return sum
}

// reportingMembers counts the members that have reported lately.
func (l *ledger) reportingMembers(now Seconds) (count int) {
	for _, m := range l.members {
		if now-m.reportedAt < memberExpiry {
			count++
		}
	}
	return count
}

// evictMembers removes the members that have not reported for memberExpiry.
func (l *ledger) evictMembers(now Seconds) {
	for gateway, m := range l.members {
		if now-m.reportedAt > memberExpiry {
			delete(l.members, gateway)
		}
	}
}

// membersDemand returns the units a second that all members together are asked for.
func (l *ledger) membersDemand(now Seconds) float64 { return max(l.demand.rateAt(now), 0) }

// charge takes units from the window, but not below 0. What is below 0 already stays as it is.
func (l *ledger) charge(units float64) {
	l.window.tokens = max(l.window.tokens-units, min(l.window.tokens, 0))
}

// memberReport is a member's record as the owner has received it.
type memberReport struct {
	usageRecord
	from        int
	incarnation uint8
	receivedAt  Seconds
}

// recordUsage charges what a member used beyond what the ledger knew of, and returns the member. A grant that
// it did not use is returned thereby.
func (l *ledger) recordUsage(report memberReport, format messageFormat) *member {
	m := l.findMember(report)
	if m == nil {
		m = l.addMember(report)
	}
	now := report.receivedAt
	used := format.roundDifference(report.total - m.totalUnits)
	l.demand = demandMeter{rate: l.membersDemand(now) + report.demand - m.demand.rateAt(now), updatedAt: now}
	*m = member{
		incarnation: m.incarnation, totalUnits: report.total,
		demand:   demandMeter{rate: report.demand, updatedAt: now},
		inFlight: report.inFlight, reportedAt: now,
	}
	l.charge(used)
	return m
}

// findMember returns the member that a report comes from, or nil if its count may have started anew since:
// the gateway has restarted, or has been silent for so long that it may have evicted the customer.
func (l *ledger) findMember(report memberReport) *member {
	m := l.members[report.from]
	if m == nil || report.receivedAt-m.reportedAt > memberExpiry || m.incarnation != report.incarnation {
		return nil
	}
	return m
}

// addMember starts the count of a member at what no owner has acknowledged. A young ledger, made after a
// restart or a move, adopts the units left that the member knows of where they are fewer.
func (l *ledger) addMember(report memberReport) *member {
	if report.remainingKnown && report.receivedAt-l.createdAt < ledgerRecoveryPeriod {
		l.window.tokens = min(l.window.tokens, max(report.remaining+report.unacknowledged, 0))
	}
	m := &member{incarnation: report.incarnation, totalUnits: report.total - report.unacknowledged}
	l.members[report.from] = m
	return m
}

// currentLedger returns the ledger, brought up to now. A gateway that has just become the owner starts it
// with what it knew as a member. A substitute for the primary owner without a report so far fills it with
// its own part of the rate alone: it may be cut off while others serve the same customer.
func (c *customer) currentLedger(now Seconds) *ledger {
	if c.ledger == nil {
		window := tokenBucket{tokens: c.remainingUnitsAsMember(now), updatedAt: now}
		c.ledger = &ledger{window: window, createdAt: now, members: map[int]*member{}}
	}
	l, rate := c.ledger, c.plan.Rate
	if !c.isPrimaryOwner && len(l.members) == 0 {
		rate /= c.gateways()
	}
	l.window.refill(rate, c.plan.Burst, now)
	return l
}

// admitAsOwner decides on a request at the customer's owner.
func (c *customer) admitAsOwner(r *request, now Seconds) admission {
	if c.ledgerHasCapacity(c.currentLedger(now), r.Units, r.priorityDeficit, now) &&
		(c.ceilingShareHasCapacity(r.Units, now) || c.ceilingPoolHasCapacity(r.Units, now)) {
		return admitRequest
	}
	return rejectRequest
}

// ledgerHasCapacity tells whether units fit into the whole quota and the concurrency limit. While the
// customer asks for more than its rate, requests of lower priority must leave units to those of higher
// priority.
func (c *customer) ledgerHasCapacity(l *ledger, units, priorityDeficit float64, now Seconds) bool {
	p := c.plan
	if p.MaxConcurrent > 0 && c.inFlight+l.inFlight(now, noGateway) >= p.MaxConcurrent {
		return false
	}
	if p.Rate == 0 {
		return true
	}
	if c.demand.rateAt(now)+l.membersDemand(now) > p.Rate {
		units += p.unitsForHigherPriority(priorityDeficit)
	}
	return units <= l.window.tokens
}

// applyUsageReport is the owner's side of a report: it applies the member's counts, grants what it asks for,
// and returns the reply. Granted units are reserved at once, as the next report shows which of them were
// used. backoff tells for how long the given number of members is to ask for nothing after a rejection.
func (c *customer) applyUsageReport(
	report memberReport, format messageFormat, backoff func(members int) Seconds,
) usageRecord {
	now := report.receivedAt
	l := c.currentLedger(now)
	m := l.recordUsage(report, format)
	reply := usageRecord{key: c.key, planIndex: c.plan.index, fromOwner: true, remainingKnown: true}
	if report.wantedUnits > 0 {
		reply.wantedUnits = report.wantedUnits
		if units := c.grantableUnits(l, report); units > 0 {
			l.grant(m, units)
			reply.ceilingPool = report.ceilingPool && c.reserveCeilingPool(units, now)
		} else {
			reply.backoff = backoff(l.reportingMembers(now))
		}
	}
	reply.total, reply.remaining = m.totalUnits, l.window.tokens
	reply.inFlight = c.inFlight + l.inFlight(now, report.from)
	reply.demand = max(l.membersDemand(now)-m.demand.rateAt(now), 0) + c.demand.rateAt(now)
	return reply
}

// grantableUnits returns the units that a report can be granted: those of all its waiting requests, else
// those of the first, else 0. With a concurrency limit it is one request at a time.
func (c *customer) grantableUnits(l *ledger, report memberReport) float64 {
	candidates := []float64{report.wantedUnits, report.firstWantedUnits}
	if c.plan.MaxConcurrent > 0 {
		candidates = candidates[1:]
	}
	for _, units := range candidates {
		if c.ledgerHasCapacity(l, units, report.priorityDeficit, report.receivedAt) {
			return units
		}
	}
	return 0
}

// grant reserves units, and a concurrency slot, for a member.
func (l *ledger) grant(m *member, units float64) {
	l.window.tokens -= units
	m.totalUnits += units
	m.inFlight++
}
