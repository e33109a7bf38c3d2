package proxy

import (
	"syscall"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/policy"

	"golang.org/x/sys/unix"
)

// The deadline of a request counts from the arrival of its last byte at this machine. The reader may read that byte
// much later, for instance after a stall of the process or a wait for a permit (see acquirePermit). The kernel does not
// report when each byte arrived, so the arrival time is estimated. Where it is uncertain, the estimate is early rather
// than late, because a late estimate would extend the deadline. A connection may also have waited in the backlog of the
// listener, with a command that had come already.

// arrival holds the estimated arrival times of the bytes of one read.
type arrival struct {
	earliest policy.Seconds // estimated arrival of commands that end before the last byte
	lastByte policy.Seconds // estimated arrival of the last byte
}

// commandArrivedAt returns the estimated arrival time of a command that ends within the read. lastInRead reports
// whether the command ends with the last byte of the read.
func (a arrival) commandArrivedAt(lastInRead bool) policy.Seconds {
	if lastInRead {
		return a.lastByte
	}
	return a.earliest
}

// arrivalTracker records the estimated arrival times of the bytes in a connection's read buffer. The connection's
// reader owns it.
type arrivalTracker struct {
	// lastEmptyAt is the time at which a read last emptied the socket. For its value before that, see newArrivalTracker.
	lastEmptyAt policy.Seconds
	reads       []bufferedRead // reads with bytes in the buffer, oldest first
}

// newArrivalTracker returns the tracker of a connection that was accepted at acceptedAt. What its socket holds already
// may have arrived at any time since the connection was established. Otherwise the socket was empty at acceptedAt, or at
// the start of a stall that was in progress then or had just ended.
func newArrivalTracker(raw syscall.RawConn, stalls *eventloop.StallDetector, acceptedAt policy.Seconds) arrivalTracker {
	lastEmptyAt := stalls.LastOnTime(acceptedAt)
	if !netcalls.NoDataPending(raw) {
		lastEmptyAt = min(lastEmptyAt, acceptedAt-connectionAge(raw))
	}
	return arrivalTracker{lastEmptyAt: lastEmptyAt}
}

// bufferedRead is a read that has bytes in the buffer.
type bufferedRead struct {
	end     int // buffer offset behind its last byte
	arrival arrival
}

// record stores the arrival times of the latest read. end is the buffer offset behind the read's last byte.
func (t *arrivalTracker) record(end int, arrived arrival) {
	if n := len(t.reads); n > 0 && t.reads[n-1].end == end || end == 0 {
		return // the read added no bytes
	}
	t.reads = append(t.reads, bufferedRead{end, arrived})
}

// commandArrival returns the estimated arrival time of the command that ends at the buffer offset end. If no recorded
// read reaches that offset, it returns lastEmptyAt.
func (t *arrivalTracker) commandArrival(end int) policy.Seconds {
	for _, read := range t.reads {
		if end <= read.end {
			return read.arrival.commandArrivedAt(end == read.end)
		}
	}
	return t.lastEmptyAt
}

// discard removes the first n bytes of the buffer from the record.
func (t *arrivalTracker) discard(n int) {
	kept := t.reads[:0]
	for _, read := range t.reads {
		if read.end -= n; read.end > 0 {
			kept = append(kept, read)
		}
	}
	t.reads = kept
}

// estimate returns the estimated arrival times of the bytes of a read, which began at startedAt and ended at endedAt.
// filled reports whether the read filled its buffer space, in which case the socket may hold more bytes. Otherwise the
// socket was empty at endedAt, and estimate records that in lastEmptyAt.
func (t *arrivalTracker) estimate(raw syscall.RawConn, stalls *eventloop.StallDetector, startedAt, endedAt policy.Seconds, filled bool) arrival {
	arrived := arrival{earliest: endedAt, lastByte: endedAt}
	if startedAt-t.lastEmptyAt > eventloop.StallThreshold {
		// The bytes may have arrived at any time since the socket was last empty.
		arrived.earliest = t.lastEmptyAt
	} else {
		arrived.earliest = max(stalls.LastOnTime(endedAt), t.lastEmptyAt)
	}
	if age, ok := lastDataAge(raw); ok && !filled {
		arrived.lastByte = max(endedAt-age, t.lastEmptyAt)
	} else if filled { // the bytes that arrived last may still be in the socket
		arrived.lastByte = arrived.earliest
	}
	arrived.earliest = min(arrived.earliest, arrived.lastByte)
	if !filled {
		t.lastEmptyAt = endedAt
	}
	return arrived
}

// lastDataAge returns the time since data last arrived on a connection. ok is false if the kernel does not report it.
func lastDataAge(raw syscall.RawConn) (age policy.Seconds, ok bool) {
	info, ok := tcpInfo(raw)
	return milliseconds(info.Last_data_recv), ok
}

// connectionAge returns the time since a connection was established on which this side has sent nothing, or 0 if the
// kernel does not report it. The kernel sets the times of the last data in both directions when it is established.
func connectionAge(raw syscall.RawConn) policy.Seconds {
	info, _ := tcpInfo(raw)
	return milliseconds(max(info.Last_data_sent, info.Last_data_recv))
}

// milliseconds converts a time that the kernel counts in whole milliseconds.
func milliseconds(n uint32) policy.Seconds {
	const millisecondsPerSecond = 1000
	return policy.Seconds(n) / millisecondsPerSecond
}

// tcpInfo returns the kernel's record of a connection. ok is false if there is none.
func tcpInfo(raw syscall.RawConn) (info unix.TCPInfo, ok bool) {
	failed := raw.Control(func(fd uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info, ok = *got, true
		}
	})
	return info, ok && failed == nil
}
