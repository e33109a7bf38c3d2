package policy

const (
	// maxReplyAge is the maximum age of a member's view at which the member admits requests from its share of
	// the remaining units. With an older view, the member admits only requests for which the remaining units
	// would be enough at every gateway of the customer.
	maxReplyAge Seconds = 0.5
	// maxInFlightAge is the maximum age of a member's view at which the member relies on
	// quotaView.othersInFlight. It is shorter than maxReplyAge, because the number of attempts in flight
	// changes with every attempt.
	maxInFlightAge Seconds = 0.1
	// lowPriorityReserve is the fraction of the burst that requests with a priorityDeficit of 1 must leave for
	// those of higher priority while the demand of their customer exceeds the rate.
	lowPriorityReserve = 0.18
)

// quotaView is a member's view of the customer's quota, based on the owner's last reply.
type quotaView struct {
	// remainingKnown is set once the window is based on a reply or a ledger. Until then, the window is assumed
	// to have started full.
	remainingKnown bool
	// window holds the remaining units. It refills at the whole rate of the plan.
	window tokenBucket
	// othersDemand, in units per second, and othersInFlight, in attempts, are the totals of all other gateways
	// in the owner's last reply.
	othersDemand   float64
	othersInFlight int
	// backoffUntil is the time from which the owner may be asked again.
	backoffUntil Seconds
}

// remainingUnitsAsMember returns the units left of the quota in this member's view, less the units that the
// owner has not counted yet. If this gateway was the owner and still holds the ledger, it first converts
// the ledger to a view.
func (c *customer) remainingUnitsAsMember(now Seconds) float64 {
	if c.ledger != nil {
		c.becomeMember(now)
	}
	return c.quota.window.level(c.plan.Rate, c.plan.Burst, now) - c.unacknowledgedUnits()
}

// becomeMember replaces the ledger by a member's view after ownership has moved to another gateway. The view
// starts with the remaining units of the ledger, which are more recent than any earlier reply.
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
		return askOwner // join the requests that already wait
	case now < c.quota.backoffUntil:
		return notAdmitted
	case c.mustAskForSlot(r.plan, age), !c.ceilingShareHasCapacity(r.Units, now):
		return askOwner
	}
	return c.admitFromShare(r, remaining, age, now)
}

// mustAskForSlot reports whether the member must ask the owner for a concurrency slot. It must ask if its
// view, of the given age, is older than maxInFlightAge, or if at most one slot is free. It returns false if
// the plan has no concurrency limit.
func (c *customer) mustAskForSlot(p *plan, age Seconds) bool {
	return p.MaxConcurrent > 0 &&
		(age > maxInFlightAge || c.inFlight+c.quota.othersInFlight+1 >= p.MaxConcurrent)
}

// admitFromShare decides on a request by this member's view of the quota. age is the time since the view was
// last set: by a reply, by a ledger, or when the customer was added. If the plan has no rate, admitFromShare
// admits every request.
//
// A view is fresh if it is based on a reply or a ledger and not older than maxReplyAge. With a fresh view,
// the member admits a request that fits into its share of the remaining units, which is proportional to its
// part of the total demand. It also admits a request that would still fit after the other gateways had used
// units at twice their demand for age plus clockUncertainty. With any other view, it admits a request only if
// the remaining units are enough for the same request at every gateway of the customer.
//
// While the view is younger than minReportInterval, the member does not admit other requests that exceed the
// remaining units. For the rest, it asks the owner.
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
		return admitRequest // enough even if every gateway of the customer admits the same now
	case !stale && need <= max(share, remaining-2*othersDemand*(age+clockUncertainty)):
		return admitRequest
	case r.Units > remaining && age < minReportInterval:
		return notAdmitted
	}
	return askOwner
}
