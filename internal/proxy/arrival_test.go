package proxy

import (
	"testing"

	"reedlead/internal/eventloop"
)

// TestArrivalEstimates checks the arrival times that are estimated for the bytes of a read. An estimate that is too
// late, for instance after a stall of the process, would set the deadline of the request too late.
func TestArrivalEstimates(t *testing.T) {
	addr, conns := listenEndpoint(t)
	client := newTestConn(t, mustDial(t, addr))
	raw := rawConnOf(t, receive(t, conns).Conn)
	client.send("PING") // the kernel records the time of its arrival
	for name, tc := range map[string]struct {
		emptyAt, dueAt, began, ended float64
		filled                       bool
		earliest                     float64
	}{
		"read as it arrives":                 {emptyAt: 1, began: 1, ended: 9, earliest: 9},
		"behind a delayed reader":            {emptyAt: 1, began: 1.5, ended: 1.5, earliest: 1},
		"during a stall":                     {emptyAt: 1, dueAt: 2, began: 1, ended: 2.6, earliest: 2},
		"after the end of a stall":           {emptyAt: 2.55, dueAt: 2, began: 2.55, ended: 2.6, earliest: 2.55},
		"with more bytes left in the socket": {emptyAt: 1, began: 1.5, ended: 1.5, filled: true, earliest: 1},
	} {
		var stalls eventloop.StallDetector
		stalls.SetNextTimerDue(tc.dueAt)
		tracker := arrivalTracker{lastEmptyAt: tc.emptyAt}
		got := tracker.estimate(raw, &stalls, tc.began, tc.ended, tc.filled)
		if got.earliest > tc.earliest || got.earliest < tc.earliest-1 || got.lastByte < got.earliest || got.lastByte > tc.ended {
			t.Errorf("%s: got %+v, want earliest at most 1 s before %v and not after it, and lastByte between earliest and the end of the read", name, got, tc.earliest)
		}
		if tc.filled && (got.lastByte != got.earliest || tracker.lastEmptyAt != tc.emptyAt) {
			t.Errorf("%s: got %+v and lastEmptyAt %v, want lastByte equal to earliest, and lastEmptyAt unchanged", name, got, tracker.lastEmptyAt)
		}
	}
}

// TestArrivalOfPipelinedCommands checks that a command gets its arrival time from the read that contains its last byte:
// lastByte if the read ends there, and otherwise earliest.
func TestArrivalOfPipelinedCommands(t *testing.T) {
	var tracker arrivalTracker
	tracker.record(10, arrival{1, 2})
	tracker.record(10, arrival{9, 9}) // a read that adds no bytes
	tracker.record(30, arrival{3, 4})
	for end, want := range map[int]float64{5: 1, 10: 2, 20: 3, 30: 4} {
		if got := tracker.commandArrival(end); got != want {
			t.Errorf("command ending at byte %d: arrived at %v, want %v", end, got, want)
		}
	}
	tracker.discard(12)
	if got := tracker.commandArrival(18); got != 4 || len(tracker.reads) != 1 {
		t.Errorf("after the first 12 bytes were discarded: arrived at %v, %d buffered reads, want 4 and 1", got, len(tracker.reads))
	}
}
