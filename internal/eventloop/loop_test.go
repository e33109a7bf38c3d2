package eventloop

import (
	"slices"
	"testing"
)

// runLoop runs a loop until the test has called finish.
func runLoop(t *testing.T, loop *Loop, shutdown <-chan struct{}, onShutdown func()) (finish func()) {
	t.Helper()
	finished, ended := false, make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(func() bool { return finished }, shutdown, onShutdown)
	}()
	finish = func() {
		loop.Post(0, func() { finished = true })
		<-ended
	}
	t.Cleanup(finish)
	return finish
}

func failOnPanic(t *testing.T) func(any, []byte) {
	return func(cause any, _ []byte) { t.Errorf("panic: %v", cause) }
}

// TestEventTimeIsMonotonic guards the time of events against one that happened before an event already handled.
func TestEventTimeIsMonotonic(t *testing.T) {
	clock := NewClock()
	loop := New(clock, failOnPanic(t))
	var times []float64
	note := func() { times = append(times, loop.Now()) }
	finish := runLoop(t, loop, nil, nil)
	later := clock.Now() + 5
	loop.Post(later, note)
	loop.Post(0, note)
	finish()
	if !slices.Equal(times, []float64{later, later}) {
		t.Errorf("times of %v, want %v twice", times, later)
	}
}

// TestPanicEndsOnlyItsEvent guards the process, and what an event deferred, against its panic.
func TestPanicEndsOnlyItsEvent(t *testing.T) {
	var order []string
	loop := New(NewClock(), func(cause any, stack []byte) {
		if len(stack) == 0 {
			t.Error("no stack")
		}
		order = append(order, cause.(string))
	})
	finish := runLoop(t, loop, nil, nil)
	loop.Post(0, func() {
		loop.Defer(func() { order = append(order, "deferred") })
		panic("panic")
	})
	loop.Post(0, func() { order = append(order, "next") })
	finish()
	if want := []string{"panic", "deferred", "next"}; !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
}

// TestTimersRunInOrder guards the order of timers, that a stopped one does not run, and that a queued event goes before
// an overdue timer.
func TestTimersRunInOrder(t *testing.T) {
	loop := New(NewClock(), failOnPanic(t))
	var order []string
	note := func(name string) func() { return func() { order = append(order, name) } }
	done := make(chan struct{})
	loop.After(0.002, note("second"))
	stopped := loop.After(0.001, note("stopped"))
	loop.After(0.003, func() { close(done) })
	loop.After(-1, note("overdue"))
	loop.Stop(stopped)
	loop.Stop(stopped)
	loop.Stop(nil)
	loop.Post(0, note("queued"))
	finish := runLoop(t, loop, nil, nil)
	<-done
	finish()
	if want := []string{"queued", "overdue", "second"}; !slices.Equal(order, want) {
		t.Errorf("got %v, want %v", order, want)
	}
	if n := loop.PendingTimers(); n != 0 {
		t.Errorf("%d timers are left", n)
	}
}

// TestShutdownIsHandledOnce guards the start of a graceful shutdown.
func TestShutdownIsHandledOnce(t *testing.T) {
	loop := New(NewClock(), failOnPanic(t))
	shutdown, handled, calls := make(chan struct{}), make(chan struct{}), 0
	finish := runLoop(t, loop, shutdown, func() { calls++; close(handled) })
	close(shutdown)
	<-handled
	finish()
	if calls != 1 {
		t.Errorf("handled %d times", calls)
	}
}

// TestPostAfterRunReturnsDoesNotBlock guards goroutines that outlive the loop.
func TestPostAfterRunReturnsDoesNotBlock(t *testing.T) {
	loop := New(NewClock(), failOnPanic(t))
	loop.Run(func() bool { return true }, nil, nil)
	for range queueSize + 1 {
		loop.Post(0, func() { t.Error("an event was handled after the end") })
	}
}
