package proxy

import (
	"time"

	"reedlead/internal/netcalls"
)

// A connection has maxPipelined permits. Each command holds one until its reply is written. A reader that waits for a
// permit reads ahead, because unread commands could otherwise fill the receive buffer of the socket. This machine would
// then not receive a FIN behind them, and the gateway would go on forwarding open requests of a client that has
// disconnected.

const (
	// readAheadInterval is the interval at which a waiting reader checks its socket.
	readAheadInterval = 10 * time.Millisecond
	// maxReadAhead is the number of buffered bytes at which a waiting reader stops reading ahead.
	maxReadAhead = 256 << 10
	// readAheadReserveShare is the share of the input budget that must be available for a reader to read ahead.
	readAheadReserveShare = 0.5
)

// acquirePermit waits for a permit for the next command, and reads ahead in the meantime. It returns false if the
// connection is closed first.
func (r *clientReader) acquirePermit() bool {
	c := r.client
	select {
	case c.permits <- struct{}{}:
		return true
	default:
	}
	ticker := time.NewTicker(readAheadInterval)
	defer ticker.Stop()
	ended := false
	for {
		select {
		case c.permits <- struct{}{}:
			return true
		case <-c.done:
			return false
		case <-ticker.C:
		}
		if !ended {
			ended = r.readAhead()
		}
	}
}

// readAhead reads the available input without blocking, as far as the limits on buffered input allow. If the connection
// has ended, it posts a call of abandon to the event loop and returns true.
func (r *clientReader) readAhead() (ended bool) {
	shared, c := r.services, r.client
	for r.buffer.Len() < maxReadAhead && shared.inputBudget.AllowsReadAhead() {
		space := r.buffer.Space()
		if space == nil {
			return false
		}
		at := shared.clock.Now()
		n, err := netcalls.TryRead(c.rawConn, space)
		if netcalls.IsShortage(err) {
			return false
		}
		if err != nil {
			shared.loop.Post(at, func() { c.abandon(peerClosed, err) })
			return true
		}
		arrived := r.arrivals.estimate(c.rawConn, shared.loop.StallDetector(), at, at, n == len(space))
		r.buffer.Commit(n)
		r.arrivals.record(r.buffer.Len(), arrived)
		if n < len(space) {
			return false
		}
	}
	return false
}
