package eventloop

import (
	"slices"
	"testing"
)

// runLoop runs a loop on another goroutine until the test calls finish, or ends.
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

// TestEventTimeIsMonotonic checks that event time does not go backwards when an event is posted with an earlier time
// than the event before it.
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
		t.Errorf("event times are %v, want %v twice", times, later)
	}
}

// TestPanicEndsOnlyItsEvent checks that the loop continues after a panic in an event, and still runs the functions that
// the event had deferred.
func TestPanicEndsOnlyItsEvent(t *testing.T) {
	var order []string
	loop := New(NewClock(), func(cause any, stack []byte) {
		if len(stack) == 0 {
			t.Error("onPanic got an empty stack")
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

// TestTimersRunInOrder checks that timers run in the order in which they are due, that a stopped timer does not run,
// and that a queued event is handled before an overdue timer.
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
		t.Errorf("%d timers are pending, want none", n)
	}
}

// TestShutdownIsHandledOnce checks that onShutdown is called exactly once, although the closed shutdown channel stays
// ready to receive from.
func TestShutdownIsHandledOnce(t *testing.T) {
	loop := New(NewClock(), failOnPanic(t))
	shutdown, handled, calls := make(chan struct{}), make(chan struct{}), 0
	finish := runLoop(t, loop, shutdown, func() { calls++; close(handled) })
	close(shutdown)
	<-handled
	finish()
	if calls != 1 {
		t.Errorf("onShutdown was called %d times, want once", calls)
	}
}

// TestPostAfterRunReturnsDoesNotBlock checks that goroutines that outlive the loop do not block in Post. Nothing
// receives from the event queue once Run has returned. So the test posts more events than the queue holds.
func TestPostAfterRunReturnsDoesNotBlock(t *testing.T) {
	loop := New(NewClock(), failOnPanic(t))
	loop.Run(func() bool { return true }, nil, nil)
	for range queueSize + 1 {
		loop.Post(0, func() { t.Error("an event was handled after Run had returned") })
	}
}
