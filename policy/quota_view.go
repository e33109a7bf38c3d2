package policy

const (
	// grantFreshness is the age up to which a reply of the owner is split among the members. With an older
	// one the owner is asked.
	grantFreshness Seconds = 0.5
	// slotFreshness is the same for attempts in flight, which change with every request.
	slotFreshness Seconds = 0.1
	// lowPriorityReserve is the fraction of the burst that requests of the lowest priority leave to those
	// of higher priority while their customer is over its rate.
	lowPriorityReserve = 0.18
)

// quotaView is what a member knows of its customer's quota window: the owner's last reply.
type quotaView struct {
	// known tells that the owner has replied. Before, the window is taken to be full.
	known bool
	// window is what the owner had left, since filled by the whole rate.
	window tokenBucket
	// othersDemand, in units a second, and othersInFlight are those of all other gateways.
	othersDemand   float64
	othersInFlight int
	// backoffUntil is when the owner may be asked again.
	backoffUntil Seconds
}

// remainingUnits returns what is left of the quota as a member sees it, and makes this gateway a member if it
// was the owner.
func (c *customer) remainingUnits(now Seconds) float64 {
	if c.ledger != nil {
		c.becomeMember(now)
	}
	return c.quota.window.level(c.plan.Rate, c.plan.Burst, now) - c.unacknowledgedUnits()
}

// becomeMember gives up the ledger after ownership has moved. Its count is the best start for a member.
func (c *customer) becomeMember(now Seconds) {
	c.quota.window = tokenBucket{tokens: c.currentLedger(now).window.tokens, updatedAt: now}
	c.quota.known = true
	c.acknowledgedUnits = c.totalUnits
	c.ledger = nil
}

// admitAsMember decides on a request at a gateway that is not the customer's owner.
func (c *customer) admitAsMember(r *request, now Seconds) admission {
	remaining := c.remainingUnits(now)
	age := now - c.quota.window.updatedAt
	switch {
	case len(c.awaitingOwner) > 0:
		return askOwner // after those that wait already
	case now < c.quota.backoffUntil:
		return rejectRequest
	case c.slotUncertain(r.plan, age), !c.ceilingSplitHasCapacity(r.Units, now):
		return askOwner
	}
	return c.admitFromSplit(r, remaining, age, now)
}

// slotUncertain tells whether only the owner can say if one more attempt keeps to the plan's concurrency
// limit.
func (c *customer) slotUncertain(p *plan, age Seconds) bool {
	return p.MaxConcurrent > 0 && (age > slotFreshness || c.inFlight+c.quota.othersInFlight+1 >= p.MaxConcurrent)
}

// admitFromSplit decides by this member's split of the remaining units, as far as it can tell: the split may
// be smaller than a request, or the owner's reply of the given age too old.
func (c *customer) admitFromSplit(r *request, remaining float64, age, now Seconds) admission {
	p, demand, othersDemand := r.plan, c.demand.at(now), c.quota.othersDemand
	need := r.Units
	if demand+othersDemand > p.Rate {
		need += p.unitsForHigherPriority(r.priorityDeficit)
	}
	stale := !c.quota.known || age > grantFreshness
	split := remaining * demand / max(demand+othersDemand, 1e-9)
	switch {
	case p.Rate == 0:
		return admitRequest
	case stale && need*float64(c.gatewayCount) <= min(remaining, remaining-(othersDemand-p.Rate)*age):
		return admitRequest // there is enough even if all gateways of the customer decide the same now
	case !stale && need <= max(split, remaining-2*othersDemand*(age+clockUncertainty)):
		return admitRequest
	case r.Units > remaining && age < minReportInterval:
		return rejectRequest
	}
	return askOwner
}
