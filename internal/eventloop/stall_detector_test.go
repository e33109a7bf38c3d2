package eventloop

import "testing"

// TestStallDetectorReportsRecentStall checks that the detector reports a stall while it lasts, and for StallWindow
// afterwards. Otherwise requests that arrived during a stall would be taken to have arrived after it.
func TestStallDetectorReportsRecentStall(t *testing.T) {
	var detector StallDetector
	detector.SetNextTimerDue(10)
	if got := detector.LastOnTime(10 + StallThreshold/2); got != 10+StallThreshold/2 {
		t.Errorf("timer late by less than the threshold: on time until %v, want the current time", got)
	}
	if got := detector.LastOnTime(10.6); got != 10 {
		t.Errorf("during the stall: on time until %v, want 10", got)
	}
	detector.recordStall(10, 10.6)
	detector.SetNextTimerDue(10.62)
	if got := detector.LastOnTime(10.61); got != 10 {
		t.Errorf("right after the stall: on time until %v, want 10", got)
	}
	if got := detector.LastOnTime(10.6 + StallWindow + StallThreshold/4); got <= 10.6 {
		t.Errorf("after the stall window: on time until %v, want more than 10.6", got)
	}
}
