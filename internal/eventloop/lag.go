package eventloop

import "reedlead/policy"

const (
	// LagTolerance is how late a timer may be without a sign that the process has stalled. Each time limit has
	// 50 ms of slack; when a timer is later than a part of it, what came meanwhile may still lie in the sockets.
	LagTolerance policy.Seconds = 0.02
	// StallMemory is for how long after a stall what is read may have arrived during it.
	StallMemory policy.Seconds = 0.1
)

// Lag reports whether the event loop, and with it the process, keeps up with the clock. A stall is a time during
// which it did not run though a timer was due. The event loop writes it, readers of connections read it. The
// zero value is ready for use.
type Lag struct {
	nextTimerDue AtomicTime // 0: no timer is set
	stallStart   AtomicTime // of the last stall that the event loop has noticed
	stallEnd     AtomicTime
}

// OnScheduleUntil is the time until which the process is known to have kept up: now, or the start of a stall that
// lasts or has just ended.
func (l *Lag) OnScheduleUntil(now policy.Seconds) policy.Seconds {
	if due := l.nextTimerDue.Load(); due > 0 && now-due > LagTolerance {
		return due
	}
	if now-l.stallEnd.Load() < StallMemory {
		return l.stallStart.Load()
	}
	return now
}

// SetNextTimerDue notes when the next timer of the loop is due.
func (l *Lag) SetNextTimerDue(at policy.Seconds) { l.nextTimerDue.Store(at) }

// recordStall notes a stall that has ended.
func (l *Lag) recordStall(start, end policy.Seconds) {
	if start > l.stallEnd.Load()+StallMemory { // else the last one goes on
		l.stallStart.Store(start)
	}
	l.stallEnd.Store(end)
}
