package policy

import "testing"

// TestEventClockCountsFromTheEndOfAStall checks that eventClock.since does not count the time before the
// end of a stall. A stalled gateway reads no replies, so that time says nothing about other processes.
func TestEventClockCountsFromTheEndOfAStall(t *testing.T) {
	clock := &eventClock{now: 100}
	clock.advance(100.05)
	if got := clock.since(100); got != clock.now-100 {
		t.Errorf("%v since 100 without a stall, want %v", got, clock.now-100)
	}
	clock.advance(100.05 + 2*stallThreshold)
	if got := clock.since(100); got != 0 {
		t.Errorf("%v since a time before the stall, want 0", got)
	}
	resumedAt := clock.now
	clock.advance(resumedAt + 0.01)
	if got, want := clock.since(100), clock.now-resumedAt; got != want {
		t.Errorf("%v since a time before the stall, want %v", got, want)
	}
}
