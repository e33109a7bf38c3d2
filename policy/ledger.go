package policy

const (
	// memberExpiry is the time without a report after which a member is taken to ask for nothing, and evicted.
	memberExpiry Seconds = 8.0
	// ownerQueryFraction is the part of Settings.PeerMessageRate that members may use to ask again after the
	// owner has rejected their requests.
	ownerQueryFraction = 0.5
	// inFlightExpiry is how long a member's reported attempts in flight are believed.
	inFlightExpiry Seconds = 3.0
	// youngLedgerAge is the age below which a ledger adopts lower remaining units from reports of members.
	youngLedgerAge Seconds = 2.0
)

// ledger is the owner's count of a customer against the whole quota, over all gateways. The window fills
// evenly, and carries what is unused over up to one burst.
type ledger struct {
	remaining, updatedAt, createdAt float64
	demand                          demandMeter // of all members
	members                         map[int]*member
}

// member is another gateway that reports its requests of a customer to the owner.
type member struct {
	incarnation uint8
	totalUnits  float64 // last reported, with the units granted since
	demand      demandMeter
	inFlight    int
	reportedAt  Seconds
}

// inFlight returns the attempts in flight at all members except one. A number below 0 excepts none.
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
func (l *ledger) membersDemand(now Seconds) float64 { return max(l.demand.at(now), 0) }

// charge takes units from the window, down to 0. What other gateways have overdrawn stays so.
func (l *ledger) charge(units float64) {
	l.remaining = max(l.remaining-units, min(l.remaining, 0))
}

// takeReport takes a member's report into the sums, and returns the units it is beyond what was known.
func (l *ledger) applyReport(m *member, r usageRecord, now float64, f messageFormat) float64 {
	delta := f.roundDifference(r.Total - m.totalUnits)
	l.demand = demandMeter{rate: l.membersDemand(now) + r.Demand - m.demand.at(now), updatedAt: now}
	*m = member{
		incarnation: m.incarnation, totalUnits: r.Total, demand: demandMeter{rate: r.Demand, updatedAt: now},
		inFlight: r.InFlight, reportedAt: now,
	}
	return delta
}

// currentLedger returns the ledger, brought up to now. A gateway that has just become the owner starts it
// with what it knew as a member. A substitute for the primary owner without a report so far fills it with
// its own part of the rate alone: it may be cut off while others serve the same customer.
func (c *customer) currentLedger(now Seconds) *ledger {
	if c.ledger == nil {
		c.ledger = &ledger{
			remaining: c.remainingUnits(now), updatedAt: now, createdAt: now, members: map[int]*member{},
		}
	}
	l, rate := c.ledger, c.plan.Rate
	if !c.primaryHere && len(l.members) == 0 {
		rate /= c.gateways()
	}
	l.remaining, l.updatedAt = min(c.plan.Burst, l.remaining+rate*(now-l.updatedAt)), now
	return l
}

// admitAsOwner decides on a request at the customer's owner.
func (c *customer) admitAsOwner(r *request, now Seconds) admission {
	if c.ledgerHasCapacity(c.currentLedger(now), r.Units, r.priorityDeficit, now) &&
		(c.ceilingSplitHasCapacity(r.Units, now) || c.ceilingPoolHasCapacity(r.Units, now)) {
		return admitRequest
	}
	return rejectRequest
}

// ledgerHasCapacity tells whether units fit into the whole quota and the concurrency limit. While the
// customer asks for more than its rate, requests of lower priority must leave units to those of higher
// priority.
func (c *customer) ledgerHasCapacity(l *ledger, units, priorityDeficit float64, now Seconds) bool {
	p := c.plan
	if p.MaxConcurrent > 0 && c.inFlight+l.inFlight(now, -1) >= p.MaxConcurrent {
		return false
	} else if p.Rate == 0 {
		return true
	}
	if c.demand.at(now)+l.membersDemand(now) > p.Rate {
		units += p.prioritizedUnits(priorityDeficit)
	}
	return units <= l.remaining
}

// count takes in a member's report and gives the owner's answer. Units that are asked for are set
// aside at once: the next report shows which of them were used.
func (g *Gateway) applyUsageReport(c *customer, from int, r usageRecord) usageRecord {
	l := c.currentLedger(g.clock.now)
	m := l.members[from]
	if m != nil && g.clock.now-m.reportedAt > memberExpiry {
		m = nil // as if forgotten: it may have forgotten the customer itself
	}
	if m == nil || m.incarnation != g.peers[from].incarnation {
		if r.Known && g.clock.now-l.createdAt < youngLedgerAge {
			// A young count, after a restart or a move: the member hands back what it heard.
			l.remaining = min(l.remaining, max(r.Remaining+r.Unacknowledged, 0))
		}
		m = &member{incarnation: g.peers[from].incarnation, totalUnits: r.Total - r.Unacknowledged}
		l.members[from] = m
	}
	l.charge(l.applyReport(m, r, g.clock.now, g.format))
	v := usageRecord{Key: c.key, Plan: c.plan.index, Owner: true, Known: true}
	if r.WantedUnits > 0 {
		grant := 0.0
		for _, w := range []float64{r.WantedUnits, r.FirstWantedUnits} {
			if c.plan.MaxConcurrent > 0 {
				w = r.FirstWantedUnits
			}
			if c.ledgerHasCapacity(l, w, r.Cheapness, g.clock.now) {
				grant = w
				break
			}
		}
		if grant > 0 {
			l.remaining -= grant
			m.totalUnits += grant
			m.inFlight++
			if v.CeilingPool = r.CeilingPool && c.ceilingPoolHasCapacity(grant, g.clock.now); v.CeilingPool {
				c.ceilingPool.tokens -= grant
			}
		} else {
			busy := g.settings.PeerMessageRate * ownerQueryFraction
			v.Backoff = float64(l.reportingMembers(g.clock.now)) / max(busy, 1) * min(g.receivedMessages/max(busy, 1), 3)
		}
		v.WantedUnits = r.WantedUnits
	}
	v.Total, v.Remaining, v.InFlight = m.totalUnits, l.remaining, c.inFlight+l.inFlight(g.clock.now, from)
	v.Demand = max(l.membersDemand(g.clock.now)-m.demand.at(g.clock.now), 0) + c.demand.at(g.clock.now)
	return v
}
