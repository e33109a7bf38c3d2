package policy

const (
	// maxReplyAge is the age up to which a reply of the owner is split among the members. With an older
	// one the owner is asked.
	maxReplyAge Seconds = 0.5
	// maxInFlightAge is the same for attempts in flight, which change with every request.
	maxInFlightAge Seconds = 0.1
	// lowPriorityReserve is the fraction of the burst that requests of the lowest priority leave to those
	// of higher priority while their customer is over its rate.
	lowPriorityReserve = 0.18
)

// quota is what a member knows of its customer's quota window: the owner's last reply.
type quotaView struct {
	// remainingKnown tells that the owner has replied. Before, the window is taken to be full.
	remainingKnown bool
	// window is what the owner had left, since filled by the whole rate.
	window tokenBucket
	// othersDemand, in units a second, and othersInFlight are those of all other gateways.
	othersDemand   float64
	othersInFlight int
	// backoffUntil is when the owner may be asked again.
	backoffUntil Seconds
}

// remainingUnitsAsMember returns the units left of the quota by this member's view. It changes state: a ledger
// that this gateway still holds is given up, see becomeMember.
func (c *customer) remainingUnitsAsMember(now Seconds) float64 {
	if c.ledger != nil {
		c.becomeMember(now)
	}
	return c.quota.window.level(c.plan.Rate, c.plan.Burst, now) - c.unacknowledgedUnits()
}

// becomeMember gives up the ledger after ownership has moved. Its count is the best start for a member.
func (c *customer) becomeMember(now Seconds) {
	c.quota.window = tokenBucket{tokens: c.currentLedger(now).window.tokens, updatedAt: now}
	c.quota.remainingKnown = true
	c.acknowledgedUnits = c.totalUnits
	c.ledger = nil
}

// admitAsMember decides on a request at a gateway that is not the customer's owner.
func (c *customer) admitAsMember(r *request, now Seconds) admission {
	remaining := c.remainingUnitsAsMember(now)
	age := now - c.quota.window.updatedAt
	switch {
	case len(c.awaitingOwner) > 0:
		return askOwner // after those that wait already
	case now < c.quota.backoffUntil:
		return rejectRequest
	case c.mustAskForSlot(r.plan, age), !c.ceilingShareHasCapacity(r.Units, now):
		return askOwner
	}
	return c.admitFromShare(r, remaining, age, now)
}

// mustAskForSlot tells whether only the owner can say if one more attempt keeps to the plan's concurrency
// limit.
func (c *customer) mustAskForSlot(p *plan, age Seconds) bool {
	return p.MaxConcurrent > 0 && (age > maxInFlightAge || c.inFlight+c.quota.othersInFlight+1 >= p.MaxConcurrent)
}

// admitFromShare decides by this member's share of the remaining units, as far as it can tell: the share may
// be smaller than a request, or the owner's reply of the given age too old.
func (c *customer) admitFromShare(r *request, remaining float64, age, now Seconds) admission {
	p, demand, othersDemand := r.plan, c.demand.rateAt(now), c.quota.othersDemand
	need := r.Units
	if demand+othersDemand > p.Rate {
		need += p.unitsForHigherPriority(r.priorityDeficit)
	}
	stale := !c.quota.remainingKnown || age > maxReplyAge
	share := remaining * demand / max(demand+othersDemand, 1e-9)
	switch {
	case p.Rate == 0:
		return admitRequest
	case stale && need*float64(c.gatewayCount) <= min(remaining, remaining-(othersDemand-p.Rate)*age):
		return admitRequest // there is enough even if all gateways of the customer decide the same now
	case !stale && need <= max(share, remaining-2*othersDemand*(age+clockUncertainty)):
		return admitRequest
	case r.Units > remaining && age < minReportInterval:
		return rejectRequest
	}
	return askOwner
}
