package proxy

import (
	"time"

	"reedlead/internal/netcalls"
)

// While a reader waits for one of its connection's commands to be replied to, it reads ahead. As long as unread bytes
// fill the socket, the end of the connection behind them does not reach this machine, and open requests would be
// forwarded for a client that has disconnected.

const (
	// readAheadInterval is how often a reader that waits looks at its socket.
	readAheadInterval = 10 * time.Millisecond
	// maxReadAhead is up to how many unhandled bytes it reads ahead.
	maxReadAhead = 256 << 10
	// readAheadBudgetShare is the share of the input budget that is left for others.
	readAheadBudgetShare = 0.5
)

// acquirePermit waits until the connection may have another command open, and reads ahead meanwhile; false if the
// connection has ended.
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

// readAhead reads what has come without waiting, as far as there is room for it. If the connection has ended, it
// notifies the event loop and returns true.
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
