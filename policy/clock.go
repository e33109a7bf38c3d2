package policy

// stallThreshold is the time without events after which this gateway itself is taken to have
// stood still.
const stallThreshold Seconds = 0.1

// clockUncertainty is how much older than measured what another process said or did may be.
const clockUncertainty Seconds = 0.05

// eventClock is the time of the event being handled, which all parts of a Gateway share. Only Gateway
// advances it.
type eventClock struct {
	now Seconds
	// resumedAt is when this gateway last came back from a standstill of its own. Silence that
	// lies before it tells nothing of others.
	resumedAt Seconds
}

// advance sets the time of the next event, and notes when this gateway itself stood still.
func (c *eventClock) advance(now Seconds) {
	if now-c.now > stallThreshold {
		c.resumedAt = now
	}
	c.now = now
}

// since is the time since a point in time, or since this gateway resumed, where that came later.
func (c *eventClock) since(at Seconds) Seconds { return c.now - max(at, c.resumedAt) }
