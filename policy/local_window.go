package policy

// The local window decides on the requests that wait for a grant if the owner does not reply. It refills only
// at this gateway's fraction of the rate, because other gateways may still admit requests of the same
// customer.

// localWindowSize returns the rate, in units per second, and the burst of the local window. The burst is at
// least Settings.MaxRequestUnits, so that a request of that size fits.
func (c *customer) localWindowSize() (rate, burst float64) {
	gateways := c.gateways()
	return c.plan.Rate / gateways, max(c.plan.Burst/gateways, c.plan.maxRequestUnits)
}

// reserveLocal takes units from the local window. It returns false if the local window or the member's view
// has too few units left, or if the concurrency limit is reached.
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

// isLocalWindowFull reports whether the local window is filled up to its burst.
func (c *customer) isLocalWindowFull(now Seconds) bool {
	rate, burst := c.localWindowSize()
	return c.localWindow.level(rate, burst, now) >= burst
}
