package eventloop

import (
	"math"
	"sync/atomic"
	"time"

	"reedlead/policy"
)

// Clock gives Unix time that advances by the monotonic clock alone: steps of the wall clock after NewClock do
// not change it. It is safe for concurrent use.
type Clock struct {
	base     time.Time
	baseUnix policy.Seconds
}

// NewClock returns a clock that shows the wall clock's time now.
func NewClock() Clock {
	base := time.Now()
	return Clock{base, UnixSeconds(base)}
}

// UnixSeconds returns a time as Unix time.
func UnixSeconds(t time.Time) policy.Seconds { return float64(t.UnixNano()) / 1e9 }

// Now returns the time in Unix seconds.
func (c Clock) Now() policy.Seconds { return c.baseUnix + time.Since(c.base).Seconds() }

// Time translates a time of the clock, such as for the deadline of a connection.
func (c Clock) Time(at policy.Seconds) time.Time {
	return c.base.Add(time.Duration((at - c.baseUnix) * float64(time.Second)))
}

// AtomicTime is a time of a Clock that goroutines share. The zero value is the time 0.
type AtomicTime struct{ bits atomic.Uint64 }

// Store sets the time.
func (t *AtomicTime) Store(at policy.Seconds) { t.bits.Store(math.Float64bits(at)) }

// Load returns the time.
func (t *AtomicTime) Load() policy.Seconds { return math.Float64frombits(t.bits.Load()) }
