package proxy

import (
	"syscall"

	"reedlead/internal/eventloop"
	"reedlead/policy"

	"golang.org/x/sys/unix"
)

// A request's time runs from the arrival of its last byte at this machine, not from when a reader read it: the reader
// may wait behind open commands, and the whole process may have stalled. Neither the socket nor the clock gives the
// arrival of each byte, so it is bounded by what is known, on the early side.

// arrival bounds when the bytes of one read arrived.
type arrival struct {
	earliest policy.Seconds // the earliest time at which any of them may have arrived
	lastByte policy.Seconds // when the last of them had arrived
}

// commandArrivedAt is when a command had arrived completely. endsRead is set where its last byte is the last of the read;
// else more bytes came behind it.
func (a arrival) commandArrivedAt(lastInRead bool) policy.Seconds {
	if lastInRead {
		return a.lastByte
	}
	return a.earliest
}

// arrivalTracker follows the arrival of the bytes in one connection's buffer. It belongs to the connection's reader.
type arrivalTracker struct {
	lastEmptyAt policy.Seconds // when the socket was last known to be empty
	reads       []bufferedRead // of the reads whose bytes are in the buffer, oldest first
}

// bufferedRead is when the bytes of one read arrived.
type bufferedRead struct {
	end     int // of them, in the buffer
	arrival arrival
}

// record notes when the bytes arrived that the last read has added to the buffer, up to end.
func (t *arrivalTracker) record(end int, arrived arrival) {
	if n := len(t.reads); n > 0 && t.reads[n-1].end == end || end == 0 {
		return // it has added none
	}
	t.reads = append(t.reads, bufferedRead{end, arrived})
}

// commandArrival is when the command had arrived completely that ends at an offset of the buffer.
func (t *arrivalTracker) commandArrival(end int) policy.Seconds {
	for _, mark := range t.reads {
		if end <= mark.end {
			return mark.arrival.commandArrivedAt(end == mark.end)
		}
	}
	return t.lastEmptyAt
}

// discard forgets the first n bytes of the buffer.
func (t *arrivalTracker) discard(n int) {
	kept := t.reads[:0]
	for _, mark := range t.reads {
		if mark.end -= n; mark.end > 0 {
			kept = append(kept, mark)
		}
	}
	t.reads = kept
}

// estimate bounds when the bytes of a read arrived, from when the read was started and ended, and whether it filled
// its space.
func (t *arrivalTracker) estimate(raw syscall.RawConn, lag *eventloop.StallDetector, startedAt, endedAt policy.Seconds, filled bool) arrival {
	read := arrival{earliest: endedAt, lastByte: endedAt}
	if startedAt-t.lastEmptyAt > eventloop.StallThreshold {
		// The reader was delayed: all may have arrived right after the last read.
		read.earliest = t.lastEmptyAt
	} else {
		read.earliest = max(lag.OnTimeUntil(endedAt), t.lastEmptyAt)
	}
	if age, ok := lastDataAge(raw); ok && !filled {
		read.lastByte = max(endedAt-age, t.lastEmptyAt)
	} else if filled { // what arrived last may still be in the socket
		read.lastByte = read.earliest
	}
	read.earliest = min(read.earliest, read.lastByte)
	if !filled {
		t.lastEmptyAt = endedAt
	}
	return read
}

// lastDataAge is how long ago data last arrived on a connection, to the millisecond, if the system reports it.
func lastDataAge(raw syscall.RawConn) (age policy.Seconds, ok bool) {
	const milliseconds = 1000 // in a second
	failed := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age, ok = policy.Seconds(info.Last_data_recv)/milliseconds, true
		}
	})
	return age, ok && failed == nil
}
