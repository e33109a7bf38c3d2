package proxy

import (
	"math"
	"sync/atomic"

	"reedlead/policy"
)

// stallMemory is for how long after a stall of the process what is read may have arrived during it.
const stallMemory policy.Seconds = 0.1

// atomicTime is a time of the process's clock that goroutines share. The zero value is the time 0.
type atomicTime struct{ bits atomic.Uint64 }

func (t *atomicTime) store(at policy.Seconds) { t.bits.Store(math.Float64bits(at)) }
func (t *atomicTime) load() policy.Seconds    { return math.Float64frombits(t.bits.Load()) }

// loopLag tells whether the event loop, and with it the process, keeps up with the clock. A stall is a time during
// which it did not run though a timer was due. The event loop writes it, readers of connections read it.
type loopLag struct {
	nextTimerDue atomicTime // 0: no timer is set
	stallStart   atomicTime // of the last stall that the event loop has noticed
	stallEnd     atomicTime
}

// onScheduleUntil is the time until which the process is known to have kept up: now, or the start of a stall that
// lasts or has just ended.
func (l *loopLag) onScheduleUntil(now policy.Seconds) policy.Seconds {
	if due := l.nextTimerDue.load(); due > 0 && now-due > lateS {
		return due
	}
	if now-l.stallEnd.load() < stallMemory {
		return l.stallStart.load()
	}
	return now
}

// recordStall notes a stall that has ended.
func (l *loopLag) recordStall(start, end policy.Seconds) {
	if start > l.stallEnd.load()+stallMemory { // else the last one goes on
		l.stallStart.store(start)
	}
	l.stallEnd.store(end)
}
