package eventloop

import "testing"

// TestLagReportsRecentStall guards against requests that came while the process had stalled and count as new: the stall
// is known while it lasts, and for a moment after the loop has seen it.
func TestLagReportsRecentStall(t *testing.T) {
	var lag Lag
	lag.SetNextTimerDue(10)
	if got := lag.OnScheduleUntil(10 + LagTolerance/2); got != 10+LagTolerance/2 {
		t.Errorf("on time: %v", got)
	}
	if got := lag.OnScheduleUntil(10.6); got != 10 {
		t.Errorf("before the loop ran: %v", got)
	}
	lag.recordStall(10, 10.6)
	lag.SetNextTimerDue(10.62)
	if got := lag.OnScheduleUntil(10.61); got != 10 {
		t.Errorf("right after: %v", got)
	}
	if got := lag.OnScheduleUntil(10.6 + StallMemory + LagTolerance/4); got <= 10.6 {
		t.Errorf("later: %v", got)
	}
}
