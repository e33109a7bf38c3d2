package eventloop

import "testing"

// TestStallDetectorReportsRecentStall guards against requests that came while the process had stalled and count as new: the stall
// is known while it lasts, and for a moment after the loop has seen it.
func TestStallDetectorReportsRecentStall(t *testing.T) {
	var detector StallDetector
	detector.SetNextTimerDue(10)
	if got := detector.OnTimeUntil(10 + StallThreshold/2); got != 10+StallThreshold/2 {
		t.Errorf("on time: %v", got)
	}
	if got := detector.OnTimeUntil(10.6); got != 10 {
		t.Errorf("before the loop ran: %v", got)
	}
	detector.recordStall(10, 10.6)
	detector.SetNextTimerDue(10.62)
	if got := detector.OnTimeUntil(10.61); got != 10 {
		t.Errorf("right after: %v", got)
	}
	if got := detector.OnTimeUntil(10.6 + StallWindow + StallThreshold/4); got <= 10.6 {
		t.Errorf("later: %v", got)
	}
}
