package policy

// The local window decides while the owner does not reply. It counts this gateway alone, against its part of
// the rate alone, as the other gateways may go on serving the same customer.

// localWindowSize returns the part of the quota that the local window fills with: its rate, in units a
// second, and its burst, into which the largest request fits.
func (c *customer) localWindowSize() (rate, burst float64) {
	gateways := c.gateways()
	return c.plan.Rate / gateways, max(c.plan.Burst/gateways, c.plan.maxRequestUnits)
}

// reserveLocal takes units from the local window, and returns false if they don't fit.
func (c *customer) reserveLocal(units float64, now Seconds) bool {
	if c.plan.MaxConcurrent > 0 && c.inFlight+c.quota.othersInFlight >= c.plan.MaxConcurrent {
		return false
	}
	rate, burst := c.localWindowSize()
	c.localWindow.refill(rate, burst, now)
	if c.plan.Rate > 0 && units > min(c.localWindow.tokens, c.remainingUnitsAsMember(now)) {
		return false
	}
	c.localWindow.tokens -= units
	return true
}

// isLocalWindowFull tells whether the local window is filled to its burst.
func (c *customer) isLocalWindowFull(now Seconds) bool {
	rate, burst := c.localWindowSize()
	return c.localWindow.level(rate, burst, now) >= burst
}
