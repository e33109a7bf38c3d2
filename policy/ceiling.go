package policy

// A ceiling holds whatever is lost, unreachable or restarted. It is therefore divided once and for all: each
// of the customer's gateways has a fixed share, and the primary owner a pool from which it pays grants. Both
// start empty, as a restarted gateway may just have spent its own.

// ceilingPoolFraction is the pool's part of a ceiling; the gateways share the rest evenly.
const ceilingPoolFraction = 0.5

// ceilingShareSize returns the rate, in units a second, and the burst of this gateway's share of the ceiling.
func (c *customer) ceilingShareSize() (rate, burst float64) {
	fraction := (1 - ceilingPoolFraction) / c.gateways()
	return c.plan.CeilingRate * fraction, c.plan.CeilingBurst * fraction
}

// ceilingPoolSize returns the rate, in units a second, and the burst of the primary owner's pool.
func (c *customer) ceilingPoolSize() (rate, burst float64) {
	return c.plan.CeilingRate * ceilingPoolFraction, c.plan.CeilingBurst * ceilingPoolFraction
}

// refillCeilingShare brings this gateway's share of the ceiling up to now.
func (c *customer) refillCeilingShare(now Seconds) {
	rate, burst := c.ceilingShareSize()
	c.ceilingShare.refill(rate, burst, now)
}

// refillCeilingPool brings the pool up to now. It is for the primary owner alone.
func (c *customer) refillCeilingPool(now Seconds) {
	rate, burst := c.ceilingPoolSize()
	c.ceilingPool.refill(rate, burst, now)
}

// ceilingShareHasCapacity brings this gateway's share of the ceiling up to now and tells whether units fit.
func (c *customer) ceilingShareHasCapacity(units float64, now Seconds) bool {
	if c.plan.CeilingRate <= 0 {
		return true
	}
	c.refillCeilingShare(now)
	return units <= c.ceilingShare.tokens
}

// ceilingPoolHasCapacity brings the pool up to now and tells whether units fit. No gateway but the primary
// owner has a pool, also while that one is unreachable and another owns the customer.
func (c *customer) ceilingPoolHasCapacity(units float64, now Seconds) bool {
	if !c.isPrimaryOwner || c.plan.CeilingRate <= 0 {
		return false
	}
	c.refillCeilingPool(now)
	return units <= c.ceilingPool.tokens
}

// reserveCeiling takes units from the share, or from the pool where they don't fit into the share.
func (c *customer) reserveCeiling(units float64, now Seconds) {
	if c.ceilingShareHasCapacity(units, now) {
		c.ceilingShare.tokens -= units
	} else {
		c.ceilingPool.tokens -= units
	}
}

// reserveCeilingPool takes units from the pool, and returns false if they don't fit.
func (c *customer) reserveCeilingPool(units float64, now Seconds) bool {
	if !c.ceilingPoolHasCapacity(units, now) {
		return false
	}
	c.ceilingPool.tokens -= units
	return true
}

// isCeilingFull tells whether share and pool are filled to within a tolerance in units.
func (c *customer) isCeilingFull(tolerance float64, now Seconds) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	c.refillCeilingShare(now)
	// This burst is rounded differently from that of ceilingShareSize, for which the tolerance allows.
	shareFull := c.ceilingShare.tokens >= p.CeilingBurst*(1-ceilingPoolFraction)/c.gateways()-tolerance
	if !c.isPrimaryOwner {
		return shareFull
	}
	c.refillCeilingPool(now)
	_, poolBurst := c.ceilingPoolSize()
	return shareFull && c.ceilingPool.tokens >= poolBurst-tolerance
}
