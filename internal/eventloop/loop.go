// Package eventloop runs events and timers one at a time on a single goroutine, so the state that they share needs no
// locks. Event time is the latest time of the events and timers so far, in seconds of a Clock. It never goes backwards.
package eventloop

import (
	"runtime/debug"
	"time"

	"reedlead/policy"
)

const (
	queueSize = 1024
	// After a stall, the loop sleeps for readerPause at a time so that the goroutines that read sockets can post
	// events. It sleeps at least twice and at most maxReaderPauses times. From the second pause on, it stops after a
	// pause that brings no event.
	readerPause     = 200 * time.Microsecond
	maxReaderPauses = 10
)

// event is a function that the loop runs, with its time: the one given to Post, or the current time for a timer that
// is due.
type event struct {
	at  policy.Seconds
	run func()
}

// Loop runs timers in the order in which they are due, and events in the order in which other goroutines posted them.
// The goroutine that calls Run owns the loop: after the start of Run, only functions that the loop runs may call its
// methods. Post, Ended, QueuedEvents and StallDetector are the exceptions, and are safe for concurrent use.
type Loop struct {
	clock     Clock
	events    chan event
	ended     chan struct{}  // closed when Run has returned
	now       policy.Seconds // event time
	timers    timerHeap
	wakeTimer *time.Timer
	wakeAt    policy.Seconds // when wakeTimer fires; 0 if it is set for no timer
	stalls    StallDetector
	deferred  []func() // functions passed to Defer that have not run
	onPanic   func(cause any, stack []byte)

	// PauseForReaders pauses the loop so that the goroutines that read sockets can run. It may be replaced before Run.
	PauseForReaders func()
}

// New returns a loop that takes event time from a clock. If an event, a timer or a deferred function panics, the loop
// calls onPanic and goes on.
func New(clock Clock, onPanic func(cause any, stack []byte)) *Loop {
	return &Loop{
		clock: clock, now: clock.Now(), onPanic: onPanic,
		events: make(chan event, queueSize), ended: make(chan struct{}),
		wakeTimer:       time.NewTimer(time.Hour),
		PauseForReaders: func() { time.Sleep(readerPause) },
	}
}

// Run handles events and timers until finished returns true. It calls finished each time before it waits, and calls
// onShutdown once when shutdown is closed.
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

// Post queues a function as an event that happened at a given time of the clock. It blocks while the queue is full.
// After Run has returned, it returns at once, and the function does not run.
func (l *Loop) Post(at policy.Seconds, run func()) {
	select {
	case l.events <- event{at, run}:
	case <-l.ended:
	}
}

// Defer runs a function directly after the current event or timer, before any other.
func (l *Loop) Defer(run func()) { l.deferred = append(l.deferred, run) }

// Now returns event time, which advances before each event and timer, not while it runs.
func (l *Loop) Now() policy.Seconds { return l.now }

// Ended returns a channel that is closed when Run has returned.
func (l *Loop) Ended() <-chan struct{} { return l.ended }

// StallDetector returns the record of stalls, for the goroutines that read sockets.
func (l *Loop) StallDetector() *StallDetector { return &l.stalls }

// QueuedEvents returns the number of events in the queue.
func (l *Loop) QueuedEvents() int { return len(l.events) }

// PendingTimers returns the number of timers that have neither run nor been stopped.
func (l *Loop) PendingTimers() int { return len(l.timers) }

// After runs a function on the loop once a delay has passed. If the delay is not positive, the timer is due at once.
func (l *Loop) After(delay policy.Seconds, run func()) *Timer { return l.timers.add(l.now+delay, run) }

// Every runs a function on the loop repeatedly, for the first time after one interval.
func (l *Loop) Every(interval time.Duration, run func()) {
	l.After(interval.Seconds(), func() {
		l.Every(interval, run)
		run()
	})
}

// Stop cancels a timer. It does nothing if the timer is nil, has run or has been stopped.
func (l *Loop) Stop(timer *Timer) { l.timers.remove(timer) }

// AdvanceTo sets event time to a time of the clock. It has no effect if event time is already later.
func (l *Loop) AdvanceTo(at policy.Seconds) { l.now = max(l.now, at) }

// handle runs one event or timer, and then the deferred functions.
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

// runRecovered runs a function, and recovers and reports a panic in it.
func (l *Loop) runRecovered(run func()) {
	defer func() {
		if cause := recover(); cause != nil {
			l.onPanic(cause, debug.Stack())
		}
	}()
	run()
}

// resetWakeTimer makes wakeTimer fire when the first timer is due, and publishes that time to the stall detector. It
// does nothing if there is no timer, or if wakeTimer will already fire by then.
func (l *Loop) resetWakeTimer() {
	if len(l.timers) == 0 || l.wakeAt != 0 && l.wakeAt <= l.timers[0].at {
		return
	}
	l.wakeAt = l.timers[0].at
	l.stalls.SetNextTimerDue(l.wakeAt)
	l.wakeTimer.Reset(max(0, Duration(l.wakeAt-l.clock.Now())))
}

// runTimers runs the timers that are due. It handles the queued events before each timer: a hedged request must not be
// sent, and an attempt must not time out, while the reply, a disconnect or a new endpoint list is in the queue.
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

// hasStalled reports whether the first timer is overdue by more than StallThreshold.
func (l *Loop) hasStalled(now policy.Seconds) bool {
	return len(l.timers) > 0 && now-l.timers[0].at > StallThreshold
}

// letReadersCatchUp gives the goroutines that read sockets time to post what arrived during a stall, and handles it.
func (l *Loop) letReadersCatchUp() {
	for pauses := range maxReaderPauses {
		if l.PauseForReaders(); len(l.events) == 0 && pauses > 0 {
			return
		}
		l.handleQueued()
	}
}

// handleQueued handles the events that are in the queue when it is called.
func (l *Loop) handleQueued() {
	for range len(l.events) {
		l.handle(<-l.events)
	}
}
