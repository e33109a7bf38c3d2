package policy

const (
	// memberExpiry is the time without a report after which a member is considered inactive and evicted.
	memberExpiry Seconds = 8.0
	// inFlightExpiry is the time without a report after which a member's attempts in flight are ignored.
	inFlightExpiry Seconds = 3.0
	// ledgerRecoveryPeriod is the age of a ledger up to which it adopts lower remaining units from the reports
	// of new members.
	ledgerRecoveryPeriod Seconds = 2.0
	// noGateway is passed to ledger.inFlight to exclude no member.
	noGateway = -1
)

// ledger is the owner's account of a customer's usage at all gateways, counted against the whole quota.
type ledger struct {
	window    tokenBucket // remaining units; starts below 0 if the quota was already exceeded
	createdAt Seconds
	demand    demandMeter // total of all members
	members   map[int]*member
}

// member is another gateway that reports its usage of the customer's quota to the owner.
type member struct {
	incarnation uint32
	totalUnits  float64 // last reported count plus the units granted since
	demand      demandMeter
	inFlight    int // last reported attempts in flight plus one for each grant since
	reportedAt  Seconds
}

// inFlight returns the number of attempts in flight at all members except the given gateway, or at all
// members for noGateway. Members that have not reported for inFlightExpiry count as 0.
func (l *ledger) inFlight(now Seconds, except int) (sum int) {
	for gateway, m := range l.members {
		if gateway != except && now-m.reportedAt < inFlightExpiry {
			sum += m.inFlight
		}
	}
	return sum
}

// reportingMembers returns the number of members that have reported within memberExpiry.
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

// membersDemand returns the total demand at all members in units per second.
func (l *ledger) membersDemand(now Seconds) float64 { return max(l.demand.rateAt(now), 0) }

// charge lowers the level of the window by units, but not below 0. A level that is already negative is not
// lowered. Negative units raise the level.
func (l *ledger) charge(units float64) {
	l.window.tokens = max(l.window.tokens-units, min(l.window.tokens, 0))
}

// memberReport is a usage record that the owner has received from a member.
type memberReport struct {
	usageRecord
	from        int
	incarnation uint32
	receivedAt  Seconds
}

// recordUsage updates the member that sent a report, adding it if it is new, and returns it. It charges the
// difference between the reported total and the total in the ledger. The ledger's total includes grants, so
// the difference is negative if the member did not use all granted units, and the unused units return to
// the window.
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

// findMember returns the member that sent a report, or nil if the member is new. It also returns nil if the
// member's count may have restarted at 0 since the last report, because the gateway restarted or because the
// last report is older than memberExpiry and the gateway may have evicted the customer.
func (l *ledger) findMember(report memberReport) *member {
	m := l.members[report.from]
	if m == nil || report.receivedAt-m.reportedAt > memberExpiry || m.incarnation != report.incarnation {
		return nil
	}
	return m
}

// addMember adds the member that sent a report. The member's total starts at the units that an owner has
// acknowledged, so that recordUsage charges only the unacknowledged ones. After a restart of the owner or a
// change of ownership, the ledger is new and may lack earlier usage. Until ledgerRecoveryPeriod has passed,
// addMember therefore lowers the level to the remaining units of the report, if they are known. It first adds
// the unacknowledged units to them, because recordUsage charges these afterwards.
func (l *ledger) addMember(report memberReport) *member {
	if report.remainingKnown && report.receivedAt-l.createdAt < ledgerRecoveryPeriod {
		l.window.tokens = min(l.window.tokens, max(report.remaining+report.unacknowledged, 0))
	}
	m := &member{incarnation: report.incarnation, totalUnits: report.total - report.unacknowledged}
	l.members[report.from] = m
	return m
}

// currentLedger returns the ledger after refilling it. If there is none, it creates the ledger from the
// gateway's view as a member.
//
// An owner other than the primary owner may be partitioned from gateways that admit requests of the same
// customer. While its ledger has no members, the ledger is therefore refilled only at the rate divided by
// the number of the customer's gateways.
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

// admitAsOwner decides on a request at the customer's owner. It never returns askOwner.
func (c *customer) admitAsOwner(r *request, now Seconds) admission {
	if c.ledgerHasCapacity(c.currentLedger(now), r.Units, r.priorityDeficit, now) &&
		(c.ceilingShareHasCapacity(r.Units, now) || c.ceilingPoolHasCapacity(r.Units, now)) {
		return admitRequest
	}
	return notAdmitted
}

// ledgerHasCapacity reports whether the quota has the given units left and the concurrency limit has a free
// slot. While the customer's demand exceeds its rate, requests of lower priority must leave units for those
// of higher priority.
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

// applyUsageReport handles a member's report at the owner: it records the member's usage, grants units if
// the report asks for them and the ledger has enough, and returns the reply. Granted units are reserved
// immediately; the member's next report shows how many of them it used. If the report asks for units and
// none can be granted, the reply has a backoff, during which the member must not ask again. The backoff
// function calculates it from the number of reporting members.
func (c *customer) applyUsageReport(
	report memberReport, format messageFormat, backoff func(members int) Seconds,
) usageRecord {
	now := report.receivedAt
	l := c.currentLedger(now)
	m := l.recordUsage(report, format)
	reply := usageRecord{
		key: c.key, name: report.name, planIndex: c.plan.index, fromOwner: true, remainingKnown: true,
	}
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

// grantableUnits returns the units to grant for a report: the units of all waiting requests if the quota
// allows them, otherwise the units of the first request if the quota allows these, otherwise 0. With a
// concurrency limit, it considers only the first request, because a grant reserves one slot.
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

// grant reserves units and one concurrency slot for a member.
func (l *ledger) grant(m *member, units float64) {
	l.window.tokens -= units
	m.totalUnits += units
	m.inFlight++
}
