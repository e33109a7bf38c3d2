package policy

// The owner's count of a customer against the whole quota.

// Times are in seconds.
const (
	memberExpiry = 8.0 // a member unheard of a customer for so long asks nothing of it, and is forgotten
)

// Times are in seconds.
const (
	ownerQueryFraction = 0.5 // of peerIntake that members refused by their owner may ask for again
	inFlightExpiry     = 3.0 // a member's attempts out are believed for so long
	youngLedgerAge     = 2.0 // a ledger younger than this believes the room that members hand back
)

// ledger is an owner's count: the window opens evenly, and what is unused
// carries over up to one burst.
type ledger struct {
	remaining, updatedAt, createdAt float64
	demand                          demandMeter // of all members
	members                         map[int]*member
}

type member struct {
	incarnation uint8
	totalUnits  float64 // as last told, and what was set aside for it since
	demand      demandMeter
	inFlight    int
	reportedAt  float64 // last report
}

// outs sums the attempts that members other than one have out.
func (l *ledger) inFlight(now float64, but int) (n int) {
	for i, m := range l.members {
		if i != but && now-m.reportedAt < inFlightExpiry {
			n += m.inFlight
		}
	}
	return n
}

// heard counts the members heard of late.
func (l *ledger) reportingMembers(now float64) (n int) {
	for _, m := range l.members {
		if now-m.reportedAt < memberExpiry {
			n++
		}
	}
	return n
}

func (l *ledger) currentDemand(now float64) float64 {
	return max(l.demand.at(now), 0)
}

// takeReport takes a member's report into the sums, and returns the units it is beyond what was known.
func (l *ledger) applyReport(m *member, r usageRecord, now float64, f messageFormat) float64 {
	delta := f.roundDifference(r.Total - m.totalUnits)
	l.demand = demandMeter{rate: l.currentDemand(now) + r.Demand - m.demand.at(now), updatedAt: now}
	*m = member{
		incarnation: m.incarnation, totalUnits: r.Total, demand: demandMeter{rate: r.Demand, updatedAt: now},
		inFlight: r.InFlight, reportedAt: now,
	}
	return delta
}

// ledger brings the owner's count up to now. The window opens evenly; for a stand-in that nobody has
// reported to, by its part alone: it may be cut off while others serve the same customer.
func (g *Gateway) ledger(c *customer) *ledger {
	if c.ledger == nil {
		c.ledger = &ledger{remaining: g.remainingUnits(c), updatedAt: g.clock.now, createdAt: g.clock.now, members: map[int]*member{}}
	}
	l, rate := c.ledger, c.plan.Rate
	if c.primaryOwner != g.settings.Self && len(l.members) == 0 {
		rate /= float64(c.gatewayCount)
	}
	l.remaining, l.updatedAt = min(c.plan.Burst, l.remaining+rate*(g.clock.now-l.updatedAt)), g.clock.now
	return l
}

// count takes in a member's report and gives the owner's answer. Units that are asked for are set
// aside at once: the next report shows which of them were used.
func (g *Gateway) applyUsageReport(c *customer, from int, r usageRecord) usageRecord {
	l := g.ledger(c)
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
	l.remaining = max(l.remaining-l.applyReport(m, r, g.clock.now, g.format), min(l.remaining, 0))
	v := usageRecord{Key: c.key, Plan: c.plan.index, Owner: true, Known: true}
	if r.WantedUnits > 0 {
		grant := 0.0
		for _, w := range []float64{r.WantedUnits, r.FirstWantedUnits} {
			if c.plan.MaxConcurrent > 0 {
				w = r.FirstWantedUnits
			}
			if g.hasCapacity(l, c, w, r.Cheapness) {
				grant = w
				break
			}
		}
		if grant > 0 {
			l.remaining -= grant
			m.totalUnits += grant
			m.inFlight++
			if v.CeilingPool = r.CeilingPool && g.ceilingPoolHasCapacity(c, grant); v.CeilingPool {
				c.ceilingPool -= grant
			}
		} else {
			busy := g.settings.PeerMessageRate * ownerQueryFraction
			v.Backoff = float64(l.reportingMembers(g.clock.now)) / max(busy, 1) * min(g.receivedMessages/max(busy, 1), 3)
		}
		v.WantedUnits = r.WantedUnits
	}
	v.Total, v.Remaining, v.InFlight = m.totalUnits, l.remaining, c.inFlight+l.inFlight(g.clock.now, from)
	v.Demand = max(l.currentDemand(g.clock.now)-m.demand.at(g.clock.now), 0) + c.demand.at(g.clock.now)
	return v
}
