// Package eventloop runs events and timers one at a time on one goroutine, which thereby owns the state that
// they work on. Event time is that of a monotonic clock in seconds, and never goes back.
package eventloop

import (
	"runtime/debug"
	"time"

	"reedlead/policy"
)

const (
	queueSize = 1024
	// After a stall the loop sleeps for readerPause, so that the readers of sockets run, until one such pause brings no
	// event, and maxReaderPauses times at most.
	readerPause     = 200 * time.Microsecond
	maxReaderPauses = 10
)

// event is something that happened outside the loop, with the time at which it did.
type event struct {
	at  policy.Seconds
	run func()
}

// Loop runs events of other goroutines in their order, and timers. The goroutine that calls Run owns it. All methods are
// for functions that the loop runs, and for use before Run; Post, Ended and StallDetector are safe for concurrent use.
type Loop struct {
	clock     Clock
	events    chan event
	ended     chan struct{} // closed when Run has returned
	now       policy.Seconds
	timers    timerHeap
	wakeTimer *time.Timer
	wakeAt    policy.Seconds // when wakeTimer fires; 0: it is not set
	stalls    StallDetector
	deferred  []func()
	onPanic   func(cause any, stack []byte)

	// PauseForReaders lets the readers of sockets run for a moment. It may be replaced before Run.
	PauseForReaders func()
}

// New returns a loop whose event time is that of a clock. onPanic is called on the loop with the cause of a
// panic, which ends the event that met it and not the process.
func New(clock Clock, onPanic func(cause any, stack []byte)) *Loop {
	return &Loop{
		clock: clock, now: clock.Now(), onPanic: onPanic,
		events: make(chan event, queueSize), ended: make(chan struct{}),
		wakeTimer:       time.NewTimer(time.Hour),
		PauseForReaders: func() { time.Sleep(readerPause) },
	}
}

// Run handles events and timers until finished returns true, which is called before each of them. Once shutdown is
// closed, onShutdown is called.
func (l *Loop) Run(finished func() bool, shutdown <-chan struct{}, onShutdown func()) {
	defer close(l.ended)
	for !finished() {
		l.resetWakeTimer()
		select {
		case e := <-l.events:
			l.handle(e)
		case <-l.wakeTimer.C:
			l.wakeAt = 0
			l.runTimers()
		case <-shutdown:
			shutdown = nil
			onShutdown()
		}
	}
}

// Post hands the loop an event of another goroutine, which happened at a time of the clock. It blocks while the
// queue is full, and drops the event once Run has returned.
func (l *Loop) Post(at policy.Seconds, run func()) {
	select {
	case l.events <- event{at, run}:
	case <-l.ended:
	}
}

// Defer runs a function after the event that is being handled, before any other.
func (l *Loop) Defer(run func()) { l.deferred = append(l.deferred, run) }

// Now returns the time of the event that is being handled, or that of the one before.
func (l *Loop) Now() policy.Seconds { return l.now }

// Ended returns a channel that is closed when Run has returned.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// StallDetector returns the record of stalls, for readers of sockets.
func (l *Loop) StallDetector() *StallDetector { return &l.stalls }

// QueuedEvents returns how many events wait to be handled.
func (l *Loop) QueuedEvents() int { return len(l.events) }

// PendingTimers returns how many timers are set.
func (l *Loop) PendingTimers() int { return len(l.timers) }

// After runs a function on the loop after a delay from now. A delay that is not positive has expired at once.
func (l *Loop) After(delay policy.Seconds, run func()) *Timer { return l.timers.add(l.now+delay, run) }

// Every runs a function on the loop at an interval, the first time after one.
func (l *Loop) Every(interval time.Duration, run func()) {
	l.After(interval.Seconds(), func() {
		l.Every(interval, run)
		run()
	})
}

// Stop keeps a timer from running. It does nothing for nil or a timer that has run.
func (l *Loop) Stop(timer *Timer) { l.timers.remove(timer) }

// AdvanceTo moves event time on, unless it is later already.
func (l *Loop) AdvanceTo(at policy.Seconds) { l.now = max(l.now, at) }

// handle runs one event and what it deferred.
func (l *Loop) handle(e event) {
	l.AdvanceTo(e.at)
	l.runRecovered(e.run)
	for len(l.deferred) > 0 {
		run := l.deferred[0]
		l.deferred = l.deferred[1:]
		l.runRecovered(run)
	}
	l.deferred = nil
}

// runRecovered runs a function. A panic costs the event, not the process.
func (l *Loop) runRecovered(run func()) {
	defer func() {
		if cause := recover(); cause != nil {
			l.onPanic(cause, debug.Stack())
		}
	}()
	run()
}

// resetWakeTimer sets the one system timer to the first timer, unless it fires before that anyway, and publishes when that
// timer is due.
func (l *Loop) resetWakeTimer() {
	if len(l.timers) == 0 || l.wakeAt != 0 && l.wakeAt <= l.timers[0].at {
		return
	}
	l.wakeAt = l.timers[0].at
	l.stalls.SetNextTimerDue(l.wakeAt)
	l.wakeTimer.Reset(max(0, Duration(l.wakeAt-l.clock.Now())))
}

// runTimers runs the timers that are due. Queued events go first: a hedge must not be sent, nor an attempt time out,
// when its reply, a disconnect or a new endpoint list is in the queue.
func (l *Loop) runTimers() {
	now := l.clock.Now()
	if l.hasStalled(now) {
		l.stalls.recordStall(l.timers[0].at, now)
		l.letReadersCatchUp()
	}
	for {
		l.handleQueued()
		if len(l.timers) == 0 || l.timers[0].at > now {
			return
		}
		l.handle(event{now, l.timers.popFirst().run})
	}
}

// hasStalled reports whether a timer is so overdue that the process must have stalled.
func (l *Loop) hasStalled(now policy.Seconds) bool {
	return len(l.timers) > 0 && now-l.timers[0].at > StallThreshold
}

// letReadersCatchUp handles what the readers of sockets find after a stall.
func (l *Loop) letReadersCatchUp() {
	for pauses := range maxReaderPauses {
		if l.PauseForReaders(); len(l.events) == 0 && pauses > 0 {
			return
		}
		l.handleQueued()
	}
}

// handleQueued handles what is in the queue by now.
func (l *Loop) handleQueued() {
	for range len(l.events) {
		l.handle(<-l.events)
	}
}
