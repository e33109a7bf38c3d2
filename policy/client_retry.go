package policy

const (
	// minRemainingObservations is the number of requests up to which no retry is detected.
	minRemainingObservations = 10
	// maxRemainingObservations is the number of requests at which all counts are halved, so that recent ones
	// prevail.
	maxRemainingObservations = 128
	// remainingBins is the number of bins for the remaining time, from 0 to the class's timeout.
	remainingBins = 101
	// firstAttemptFraction is the fraction of requests with about the same remaining time from which on that
	// is the remaining time of first attempts.
	firstAttemptFraction = 0.4
)

// clientRetryDetector tells the retries of clients from first attempts, for one class. Clients that keep
// one deadline over all attempts of a call send the first ones with one of a few remaining times, each of
// which is common among recent requests, and retries with whatever is left. Where no remaining time is
// common, as for clients that draw a timeout for each attempt, it detects nothing.
//
// It keeps a histogram of the remaining times of recent requests.
type clientRetryDetector struct {
	timeout      Seconds // the remaining time of the last bin
	histogram    [remainingBins]int
	observations int // the sum of histogram
	modeCount    int // the largest countNear of the histogram
}

// newClientRetryDetector returns the detector for a class with a timeout.
func newClientRetryDetector(timeout Seconds) clientRetryDetector {
	return clientRetryDetector{timeout: timeout}
}

// observe counts a request that arrived with the remaining time until its deadline, and tells whether it
// looks like a retry.
func (d *clientRetryDetector) observe(remaining Seconds) bool {
	commonCount := firstAttemptFraction * float64(d.observations)
	nearCount := d.count(remaining)
	return d.observations > minRemainingObservations &&
		float64(nearCount) < commonCount && float64(d.modeCount) >= commonCount
}

// count adds a remaining time to the histogram, and returns how many were about the same, itself included.
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

// countNear sums a bin and its neighbours.
func (d *clientRetryDetector) countNear(bin int) int {
	sum := 0
	for i := max(bin-1, 0); i <= min(bin+1, remainingBins-1); i++ {
		sum += d.histogram[i]
	}
	return sum
}

// halve halves all counts of the histogram.
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

// likelyRetrying tells whether the customer's clients may be retrying: one of its requests was rejected
// here within the time that clients wait, or it demands more than its rate. Without this, requests inside
// the quota that are sent with little time left would be rejected.
func (c *customer) likelyRetrying(now, timeout Seconds) bool {
	return now-c.rejectedAt < timeout ||
		c.plan.Rate > 0 && c.demand.rateAt(now)+c.quota.othersDemand > c.plan.Rate
}
