package policy

// stallThreshold is the time between two events above which this gateway is assumed to have stalled. Its
// timer otherwise causes an event every timerInterval.
const stallThreshold Seconds = 0.1

// clockUncertainty is the safety margin for the age of anything that another process did or reported, which
// may be older than measured.
const clockUncertainty Seconds = 0.05

// eventClock holds the time of the current event. All components of a Gateway share it; only Gateway advances
// it.
type eventClock struct {
	now Seconds
	// resumedAt is the time at which this gateway last resumed after a stall. A missing reply before that time
	// may be due to the stall and does not count against other processes.
	resumedAt Seconds
}

// advance sets the time of the current event, and detects a stall of this gateway.
func (c *eventClock) advance(now Seconds) {
	if now-c.now > stallThreshold {
		c.resumedAt = now
	}
	c.now = now
}

// since returns the time elapsed since at, not counting time before the end of the last stall.
func (c *eventClock) since(at Seconds) Seconds { return c.now - max(at, c.resumedAt) }
