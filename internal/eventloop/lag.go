package eventloop

import "reedlead/policy"

const (
	// StallThreshold is how late a timer may be without a sign that the process has stalled. The limits on replies and
	// attempts that the specification sets have 50 ms of slack. A timer that is later than a part of that is taken for
	// a sign of a stall: events from before may still be unread in the sockets.
	StallThreshold policy.Seconds = 0.02
	// StallWindow is for how long after a stall what is read may have arrived during it.
	StallWindow policy.Seconds = 0.1
)

// StallDetector reports whether the event loop, and with it the process, keeps up with the clock. A stall is a time during
// which it did not run though a timer was due. The event loop writes it, readers of connections read it. The
// zero value is ready for use.
type StallDetector struct {
	nextTimerDue AtomicTime // 0: no timer is set
	stallStart   AtomicTime // of the last stall that the event loop has noticed
	stallEnd     AtomicTime
}

// OnTimeUntil is the time until which the process is known to have kept up: now, or the start of a stall that
// lasts or has just ended.
func (d *StallDetector) OnTimeUntil(now policy.Seconds) policy.Seconds {
	if due := d.nextTimerDue.Load(); due > 0 && now-due > StallThreshold {
		return due
	}
	if now-d.stallEnd.Load() < StallWindow {
		return d.stallStart.Load()
	}
	return now
}

// SetNextTimerDue notes when the next timer of the loop is due.
func (d *StallDetector) SetNextTimerDue(at policy.Seconds) { d.nextTimerDue.Store(at) }

// recordStall notes a stall that has ended.
func (d *StallDetector) recordStall(start, end policy.Seconds) {
	if start > d.stallEnd.Load()+StallWindow { // else the last one goes on
		d.stallStart.Store(start)
	}
	d.stallEnd.Store(end)
}
