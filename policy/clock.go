package policy

// stallThreshold is the time without an event after which a gateway is assumed to have stalled. The timer of
// a running gateway causes an event every timerInterval.
const stallThreshold Seconds = 0.1

// clockUncertainty is the safety margin for the measured age of a possible execution at an endpoint, and of
// an owner's reply. The true age may be higher by up to this time.
const clockUncertainty Seconds = 0.05

// eventClock holds the time of the current event. All components of a Gateway share it; only Gateway advances
// it.
type eventClock struct {
	now Seconds
	// resumedAt is the time of the first event after the last stall. Time without a reply before resumedAt may
	// be due to the stall, so it does not count against other processes.
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
