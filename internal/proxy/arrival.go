package proxy

import (
	"math"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// A request's time runs from when its last byte came to this machine, not from when a reader got to it: the reader
// may wait behind open commands, and the whole process may have stood still. Neither the socket nor the clock tells
// that moment for each byte, so it is bounded by what is known, on the early side.

// standstillMemory is for how many seconds after a standstill what is read may have come during it.
const stallMemoryS = 0.1

// atomicTime is a time of the clock that goroutines share.
type atomicTime struct{ bits atomic.Uint64 }

func (t *atomicTime) store(at float64) { t.bits.Store(math.Float64bits(at)) }
func (t *atomicTime) load() float64    { return math.Float64frombits(t.bits.Load()) }

// pace tells whether the process has kept up with the clock. The loop writes it, readers ask it.
type loopLag struct {
	nextTimerDue atomicTime // when the loop's next timer is due
	stallStart   atomicTime // of the last standstill that the loop saw: from when
	stallEnd     atomicTime // and until when
}

// keptUpUntil is the time until which the process is known to have kept up: now, or the start of a standstill that
// lasts or has just ended.
func (p *loopLag) onScheduleUntil(now float64) float64 {
	if due := p.nextTimerDue.load(); due > 0 && now-due > lateS {
		return due
	}
	if now-p.stallEnd.load() < stallMemoryS {
		return p.stallStart.load()
	}
	return now
}

// noteStandstill notes one that has ended.
func (p *loopLag) recordStall(from, until float64) {
	if from > p.stallEnd.load()+stallMemoryS { // else it is the same one still
		p.stallStart.store(from)
	}
	p.stallEnd.store(until)
}

// arrival bounds when the bytes of one read had come.
type arrival struct {
	first float64 // the earliest that any of them may have come
	last  float64 // when the last of them had come
}

// of is when a command had come whole, which ends the bytes that were read, or has more of them behind it.
func (a arrival) ofCommand(ends bool) float64 {
	if ends {
		return a.last
	}
	return a.first
}

// arrivals follows one connection's reads. It belongs to the connection's reader.
type arrivalTracker struct {
	lastEmptyAt float64       // when the socket was last known to be empty
	marks       []arrivalMark // of the bytes that wait to be parsed, oldest first
}

// arrivalMark tells when the bytes of one read had come.
type arrivalMark struct {
	end int // of them, in the buffer
	arrival
}

// mark notes when the bytes had come that the last read added, up to an end.
func (a *arrivalTracker) record(end int, came arrival) {
	if n := len(a.marks); n > 0 && a.marks[n-1].end == end || end == 0 {
		return // it added none
	}
	a.marks = append(a.marks, arrivalMark{end, came})
}

// of is when a command had come whole that ends at a place of the buffer.
func (a *arrivalTracker) ofCommandEndingAt(end int) float64 {
	for _, m := range a.marks {
		if end <= m.end {
			return m.arrival.ofCommand(end == m.end)
		}
	}
	return a.lastEmptyAt
}

// drop forgets so many bytes.
func (a *arrivalTracker) discard(n int) {
	kept := a.marks[:0]
	for _, m := range a.marks {
		if m.end -= n; m.end > 0 {
			kept = append(kept, m)
		}
	}
	a.marks = kept
}

// took tells when the bytes of a read had come, which began and ended at given times and filled its room or not.
func (a *arrivalTracker) estimate(raw syscall.RawConn, p *loopLag, began, ended float64, filled bool) arrival {
	read := arrival{first: ended, last: ended}
	switch {
	case began-a.lastEmptyAt > lateS: // the reader was held up: it may all have come right after
		read.first = a.lastEmptyAt
	default:
		read.first = max(p.onScheduleUntil(ended), a.lastEmptyAt)
	}
	if age, ok := lastDataAge(raw); ok && !filled {
		read.last = max(ended-age, a.lastEmptyAt)
	} else if filled { // what came last may still lie in the socket
		read.last = read.first
	}
	read.first = min(read.first, read.last)
	if !filled {
		a.lastEmptyAt = ended
	}
	return read
}

// lastDataAge tells how many seconds ago data last came on a connection.
func lastDataAge(raw syscall.RawConn) (age float64, ok bool) {
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age, ok = float64(info.Last_data_recv)/1000, true
		}
	})
	return age, ok
}
