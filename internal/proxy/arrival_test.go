package proxy

import (
	"testing"

	"reedlead/internal/eventloop"
)

// TestArrivalEstimates guards the bounds on when the bytes of a read arrived.
func TestArrivalEstimates(t *testing.T) {
	addr, conns := listenEndpoint(t)
	mine := newTestConn(t, mustDial(t, addr))
	raw := rawConnOf(t, receive(t, conns).Conn)
	mine.send("PING") // just now, by the record of the socket
	for name, tc := range map[string]struct {
		emptyAt, dueAt, began, ended float64
		filled                       bool
		earliest                     float64
	}{
		"as it came":                       {emptyAt: 1, began: 1, ended: 9, earliest: 9},
		"behind a reader that was held up": {emptyAt: 1, began: 1.5, ended: 1.5, earliest: 1},
		"in a stall":                       {emptyAt: 1, dueAt: 2, began: 1, ended: 2.6, earliest: 2},
		"after a stall, new":               {emptyAt: 2.55, dueAt: 2, began: 2.55, ended: 2.6, earliest: 2.55},
		"with more behind it":              {emptyAt: 1, began: 1.5, ended: 1.5, filled: true, earliest: 1},
	} {
		var lag eventloop.StallDetector
		lag.SetNextTimerDue(tc.dueAt)
		tracker := arrivalTracker{lastEmptyAt: tc.emptyAt}
		got := tracker.estimate(raw, &lag, tc.began, tc.ended, tc.filled)
		if got.earliest > tc.earliest || got.earliest < tc.earliest-1 || got.lastByte < got.earliest || got.lastByte > tc.ended {
			t.Errorf("%s: got %+v, want the earliest at %v", name, got, tc.earliest)
		}
		if tc.filled && (got.lastByte != got.earliest || tracker.lastEmptyAt != tc.emptyAt) {
			t.Errorf("%s: got %+v, the socket empty at %v", name, got, tracker.lastEmptyAt)
		}
	}
}

// TestArrivalOfPipelinedCommands guards the arrival of commands whose bytes came in several reads.
func TestArrivalOfPipelinedCommands(t *testing.T) {
	var tracker arrivalTracker
	tracker.record(10, arrival{1, 2})
	tracker.record(10, arrival{9, 9}) // a read that added nothing
	tracker.record(30, arrival{3, 4})
	for end, want := range map[int]float64{5: 1, 10: 2, 20: 3, 30: 4} {
		if got := tracker.commandArrival(end); got != want {
			t.Errorf("at %d: %v, want %v", end, got, want)
		}
	}
	tracker.discard(12)
	if got := tracker.commandArrival(18); got != 4 || len(tracker.reads) != 1 {
		t.Errorf("after a part was parsed: %v, %d buffered reads", got, len(tracker.reads))
	}
}
