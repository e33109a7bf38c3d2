package proxy

import (
	"io"
	"syscall"
	"time"

	"reedlead/internal/netcalls"
)

// A reader that waits for one of its connection's commands to be answered reads on meanwhile. While bytes that are
// unread fill the socket, the end of the connection behind them does not come to this machine, and open requests
// would be sent on for a client that has left.

const (
	// How often a reader that waits looks at its socket.
	readAheadEvery = 10 * time.Millisecond
	// How many bytes it keeps of what came meanwhile.
	maxReadAhead = 256 << 10
	// The share of the budget for input that must be left for others.
	readAheadBudgetShare = 0.5
)

// takePermit waits until the connection may have another command open; false if it has ended.
func (c *client) takePermit(p *Proxy) bool {
	select {
	case c.permits <- struct{}{}:
		return true
	default:
	}
	look := time.NewTicker(readAheadEvery)
	defer look.Stop()
	ended := false
	for {
		select {
		case c.permits <- struct{}{}:
			return true
		case <-c.quit:
			return false
		case <-look.C:
		}
		if !ended {
			ended = c.readAhead(p)
		}
	}
}

// readAhead takes in what has come without waiting for more, as far as there is room for it. It tells the loop, and
// returns true, if the connection has ended.
func (c *client) readAhead(p *Proxy) (ended bool) {
	for len(c.buf.b) < maxReadAhead && p.input.left.Load() > p.input.readAheadLeft {
		room := c.buf.room()
		if room == nil {
			return false
		}
		at := p.clock.now()
		n, err := receive(c.raw, room)
		if netcalls.IsShortage(err) {
			return false
		}
		if err != nil {
			p.post(at, func() { p.clientGone(c, peerClosed, err) })
			return true
		}
		came := c.arrivals.took(c.raw, &p.pace, at, at, n == len(room))
		c.buf.grew(n)
		c.arrivals.mark(len(c.buf.b), came)
		if n < len(room) {
			return false
		}
	}
	return false
}

// receive reads what has come on a connection, without waiting; io.EOF at its end.
func receive(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
	})
	switch {
	case closed != nil:
		return 0, closed
	case err == nil && n == 0:
		return 0, io.EOF
	}
	return max(n, 0), err
}
