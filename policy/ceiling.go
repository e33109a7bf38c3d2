package policy

// A customer's ceiling must hold even if messages are lost or gateways are unreachable or restarted. It is
// therefore divided statically: each of the customer's gateways has a fixed share, and the primary owner
// also has a pool for its own requests and for grants. Shares and the pool start empty, because a gateway
// may have used them up just before it restarted.

// ceilingPoolFraction is the fraction of a ceiling that forms the pool. The gateways share the rest equally.
const ceilingPoolFraction = 0.5

// ceilingShareSize returns the rate, in units per second, and the burst of this gateway's share of the
// ceiling.
func (c *customer) ceilingShareSize() (rate, burst float64) {
	fraction := (1 - ceilingPoolFraction) / c.gateways()
	return c.plan.CeilingRate * fraction, c.plan.CeilingBurst * fraction
}

// ceilingPoolSize returns the rate, in units per second, and the burst of the primary owner's pool.
func (c *customer) ceilingPoolSize() (rate, burst float64) {
	return c.plan.CeilingRate * ceilingPoolFraction, c.plan.CeilingBurst * ceilingPoolFraction
}

// refillCeilingShare refills this gateway's share of the ceiling for the time since its last refill.
func (c *customer) refillCeilingShare(now Seconds) {
	rate, burst := c.ceilingShareSize()
	c.ceilingShare.refill(rate, burst, now)
}

// refillCeilingPool refills the pool for the time since its last refill. Only the primary owner may call
// it.
func (c *customer) refillCeilingPool(now Seconds) {
	rate, burst := c.ceilingPoolSize()
	c.ceilingPool.refill(rate, burst, now)
}

// ceilingShareHasCapacity refills this gateway's share of the ceiling and reports whether it holds the given
// units. Without a ceiling it returns true.
func (c *customer) ceilingShareHasCapacity(units float64, now Seconds) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	c.refillCeilingShare(now)
	return units <= c.ceilingShare.tokens
}

// ceilingPoolHasCapacity refills the pool and reports whether it holds the given units. Without a ceiling it
// returns false. Only the primary owner has a pool; a gateway that replaces an unreachable primary owner has
// none.
func (c *customer) ceilingPoolHasCapacity(units float64, now Seconds) bool {
	if !c.isPrimaryOwner || c.plan.CeilingRate <= 0 {
		return false
	}
	c.refillCeilingPool(now)
	return units <= c.ceilingPool.tokens
}

// reserveCeiling takes units from the share, or from the pool if the share holds too few. The caller must
// have checked that one of the two holds enough.
func (c *customer) reserveCeiling(units float64, now Seconds) {
	if c.ceilingShareHasCapacity(units, now) {
		c.ceilingShare.tokens -= units
	} else {
		c.ceilingPool.tokens -= units
	}
}

// reserveCeilingPool takes units from the pool. It returns false if there is no pool or it holds too few.
func (c *customer) reserveCeilingPool(units float64, now Seconds) bool {
	if !c.ceilingPoolHasCapacity(units, now) {
		return false
	}
	c.ceilingPool.tokens -= units
	return true
}

// isCeilingFull reports whether the share and, at the primary owner, the pool are full to within tolerance
// units. Without a ceiling it returns true.
func (c *customer) isCeilingFull(tolerance float64, now Seconds) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	c.refillCeilingShare(now)
	// The order of operations differs from ceilingShareSize, so the burst may round differently. With a very
	// large burst, the difference can exceed the tolerance. The share then never counts as full, and the
	// customer is not evicted.
	shareFull := c.ceilingShare.tokens >= p.CeilingBurst*(1-ceilingPoolFraction)/c.gateways()-tolerance
	if !c.isPrimaryOwner {
		return shareFull
	}
	c.refillCeilingPool(now)
	_, poolBurst := c.ceilingPoolSize()
	return shareFull && c.ceilingPool.tokens >= poolBurst-tolerance
}
