package policy

const (
	// minRemainingObservations is the number of observations up to which no request is considered a retry.
	minRemainingObservations = 10
	// maxRemainingObservations is the number of observations at which the count of each bin is halved, so that
	// recent requests dominate.
	maxRemainingObservations = 128
	// remainingBins is the number of histogram bins, which cover remaining times from 0 to the timeout of the
	// class.
	remainingBins = 101
	// firstAttemptFraction is the fraction of the observations that must be near a remaining time for the
	// detector to consider it typical of first attempts.
	firstAttemptFraction = 0.4
)

// clientRetryDetector distinguishes retries of clients from first attempts, for one class. It assumes that a
// client keeps one deadline for all attempts of a call. First attempts then arrive with one of a few
// remaining times until the deadline, each of which is frequent among recent requests. Retries arrive with
// arbitrary smaller remaining times. If no remaining time is frequent, for example because clients choose a
// new timeout for each attempt, it detects no retries.
//
// The detector keeps a histogram of the remaining times of recent requests.
type clientRetryDetector struct {
	timeout      Seconds // remaining time of the last bin
	histogram    [remainingBins]int
	observations int // total of all bins
	modeCount    int // largest result of countNear so far; recomputed by halve
}

func newClientRetryDetector(timeout Seconds) clientRetryDetector {
	return clientRetryDetector{timeout: timeout}
}

// observe counts a request with the given time remaining until its deadline, and reports whether it is
// probably a retry.
func (d *clientRetryDetector) observe(remaining Seconds) bool {
	commonCount := firstAttemptFraction * float64(d.observations)
	nearCount := d.count(remaining)
	return d.observations > minRemainingObservations &&
		float64(nearCount) < commonCount && float64(d.modeCount) >= commonCount
}

// count adds a remaining time to the histogram, and returns the number of observations near it, including
// itself.
func (d *clientRetryDetector) count(remaining Seconds) int {
	bin := int(min(max(remaining/d.timeout, 0), 1)*(remainingBins-1) + 0.5)
	d.histogram[bin]++
	d.observations++
	nearCount := d.countNear(bin)
	d.modeCount = max(d.modeCount, nearCount)
	if d.observations >= maxRemainingObservations {
		d.halve()
	}
	return nearCount
}

// countNear returns the sum of a bin and its two neighbors.
func (d *clientRetryDetector) countNear(bin int) int {
	sum := 0
	for i := max(bin-1, 0); i <= min(bin+1, remainingBins-1); i++ {
		sum += d.histogram[i]
	}
	return sum
}

// halve divides the count of each bin by 2, rounded down, and recomputes observations and modeCount.
func (d *clientRetryDetector) halve() {
	d.observations, d.modeCount = 0, 0
	for bin := range d.histogram {
		d.histogram[bin] /= 2
		d.observations += d.histogram[bin]
	}
	for bin := range d.histogram {
		d.modeCount = max(d.modeCount, d.countNear(bin))
	}
}

// likelyRetrying reports whether clients of the customer may be retrying: a rejection of the customer was
// recorded at this gateway less than timeout ago, or the customer's demand exceeds the rate of its plan. Only
// then does an unusual remaining time count as a sign of a retry. Without this condition, a first attempt
// with an unusually short deadline would get an earlier objective, and could be rejected although it is
// within the quota.
func (c *customer) likelyRetrying(now, timeout Seconds) bool {
	return now-c.rejectedAt < timeout ||
		c.plan.Rate > 0 && c.demand.rateAt(now)+c.quota.othersDemand > c.plan.Rate
}
