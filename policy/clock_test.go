package policy

import "testing"

// Silence that lies before a standstill of this gateway tells nothing of others.
func TestEventClockCountsFromTheEndOfAStall(t *testing.T) {
	clock := &eventClock{now: 100}
	clock.advance(100.05)
	if got := clock.since(100); got != clock.now-100 {
		t.Errorf("%v since 100 without a standstill, want %v", got, clock.now-100)
	}
	clock.advance(100.05 + 2*stallThreshold)
	if got := clock.since(100); got != 0 {
		t.Errorf("%v since a time before the standstill, want 0", got)
	}
	resumedAt := clock.now
	clock.advance(resumedAt + 0.01)
	if got, want := clock.since(100), clock.now-resumedAt; got != want {
		t.Errorf("%v since a time before the standstill, want %v", got, want)
	}
}
