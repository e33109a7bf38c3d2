package policy

const (
	minRetryObservations = 10  // tries of a class before later ones are told from first ones
	remainingBins        = 101 // shares of the deadline told apart
	maxRetryObservations = 128 // tries that count; then the older ones count half
	firstAttemptFraction = 0.4 // of them with about the same time: it is that of first tries
)

// near counts the tries of late with about the same share of the deadline.
func (c *class) countNear(bin int) (n int) {
	for i := max(bin-1, 0); i <= min(bin+1, remainingBins-1); i++ {
		n += c.remainingHistogram[i]
	}
	return n
}

// came counts what was left of the deadline when a try came, and returns how many came like it.
func (c *class) observeRemaining(left float64) int {
	bin := int(min(max(left/c.Timeout, 0), 1)*(remainingBins-1) + 0.5)
	c.remainingHistogram[bin]++
	c.observed++
	near := c.countNear(bin)
	c.modeCount = max(c.modeCount, near)
	if c.observed >= maxRetryObservations {
		c.observed = 0
		for i := range c.remainingHistogram {
			c.remainingHistogram[i] /= 2
			c.observed += c.remainingHistogram[i]
		}
		c.modeCount = 0
		for i := range c.remainingHistogram {
			c.modeCount = max(c.modeCount, c.countNear(i))
		}
	}
	return near
}

// laterTry tells a client's later try from a first one. First tries of a class have one of a few times,
// each of them common of late; a later one has what is left of its first try's. Guards against answers that
// come too late to count. Where no time is common, as clients draw it anew for each try, nothing is told.
func (c *class) looksLikeRetry(left float64) bool {
	common := firstAttemptFraction * float64(c.observed)
	near := c.observeRemaining(left)
	return c.observed > minRetryObservations && float64(near) < common && float64(c.modeCount) >= common
}

// triesAgain tells that the customer's clients may well be on later tries: it was turned away here within
// the time that a client waits, or asks for more than its rate. Clients with little time ask for the first
// time too, and what is inside the quota must not be refused for that.
func (g *Gateway) likelyRetrying(c *customer, cls *class) bool {
	return g.clock.now-c.rejectedAt < cls.Timeout || c.plan.Rate > 0 && g.currentDemand(c)+c.othersDemand > c.plan.Rate
}
