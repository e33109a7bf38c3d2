package eventloop

import "reedlead/policy"

const (
	// StallThreshold is the lateness of a timer above which the process is taken to have stalled. After a stall, the
	// sockets may still hold unread bytes from before the timer was due. The threshold is well below the 50 ms by
	// which the specification lets replies and attempts exceed their limits.
	StallThreshold policy.Seconds = 0.02
	// StallWindow is the time after a stall in which bytes that arrived during the stall may still be read.
	StallWindow policy.Seconds = 0.1
)

// StallDetector records stalls of the process: periods in which the event loop did not run although a timer was due.
// The event loop writes the record, and the goroutines that read connections use it to bound arrival times. The zero
// value is ready for use.
type StallDetector struct {
	nextTimerDue AtomicTime // 0 until a timer has been set
	stallStart   AtomicTime // start of the last recorded stall
	stallEnd     AtomicTime
}

// LastOnTime returns the latest time at which the process is known to have kept up with the clock: now, or the start
// of a stall that is in progress or ended less than StallWindow ago.
func (d *StallDetector) LastOnTime(now policy.Seconds) policy.Seconds {
	if due := d.nextTimerDue.Load(); due > 0 && now-due > StallThreshold {
		return due
	}
	if now-d.stallEnd.Load() < StallWindow {
		return d.stallStart.Load()
	}
	return now
}

// SetNextTimerDue records when the loop is due to wake for a timer. The timer may be stopped before then.
func (d *StallDetector) SetNextTimerDue(at policy.Seconds) { d.nextTimerDue.Store(at) }

// recordStall records that the loop did not run from start, when a timer was due, until end. A stall that starts within
// StallWindow after the end of the previous one continues it, and keeps its start.
func (d *StallDetector) recordStall(start, end policy.Seconds) {
	if start > d.stallEnd.Load()+StallWindow {
		d.stallStart.Store(start)
	}
	d.stallEnd.Store(end)
}
