package eventloop

import (
	"math"
	"sync/atomic"
	"time"

	"reedlead/policy"
)

// Clock returns the Unix time at which it was created plus the monotonic time since then, so later steps of the wall
// clock do not affect it. It is safe for concurrent use.
type Clock struct {
	base     time.Time
	baseUnix policy.Seconds
}

// NewClock returns a clock that starts at the current time of the wall clock.
func NewClock() Clock {
	base := time.Now()
	return Clock{base, UnixSeconds(base)}
}

// UnixSeconds converts a time to Unix seconds.
func UnixSeconds(t time.Time) policy.Seconds { return float64(t.UnixNano()) / 1e9 }

// Duration converts a span of event time to a time.Duration.
func Duration(span policy.Seconds) time.Duration { return time.Duration(span * float64(time.Second)) }

// Now returns the current time in Unix seconds.
func (c Clock) Now() policy.Seconds { return c.baseUnix + time.Since(c.base).Seconds() }

// Time converts a reading of the clock to a time.Time, such as for the deadline of a connection.
func (c Clock) Time(at policy.Seconds) time.Time {
	return c.base.Add(Duration(at - c.baseUnix))
}

// AtomicTime is a reading of a Clock that several goroutines may load and store. The zero value is the time 0.
type AtomicTime struct{ bits atomic.Uint64 }

// Store sets the time atomically.
func (t *AtomicTime) Store(at policy.Seconds) { t.bits.Store(math.Float64bits(at)) }

// Load returns the time atomically.
func (t *AtomicTime) Load() policy.Seconds { return math.Float64frombits(t.bits.Load()) }
