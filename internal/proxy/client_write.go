package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"reedlead/internal/netcalls"
)

const (
	// How long a client may take nothing of an answer that its socket has no room for. Closing the connection
	// under an answer loses it, so this is long; such a client makes room for others earlier.
	stallTimeout = 30 * time.Second
	// How long one write waits before it is looked at whether the client has taken anything.
	writeSlice = time.Second
	// Seconds without progress after which a client may be closed to make room for others.
	stalledAfter = 5.0
)

// unsentAnswer is an answer that the socket has not wholly taken. It keeps its permit until then, so that a client
// that does not read is not read from either.
type unsentAnswer struct {
	id     string // of the request, if it was one
	size   int    // bytes that are left of it
	permit bool
}

// flush writes the answers that are due, in the order of their commands.
func (p *Proxy) flush(c *client) {
	if c.closed {
		return
	}
	n, before := 0, len(c.pending)
	for n < len(c.slots) && c.slots[n].answer != nil && !c.ending {
		s := c.slots[n]
		unsent := unsentAnswer{size: len(s.answer), permit: !s.last}
		if s.req != nil {
			unsent.id = s.req.ID
		}
		c.pending = append(c.pending, s.answer...)
		c.unsent = append(c.unsent, unsent)
		c.ending = s.last
		n++
	}
	if n == 0 {
		return
	}
	clear(c.slots[:n])
	c.slots = c.slots[:copy(c.slots, c.slots[n:])]
	c.usedAt, c.used = p.now, true
	if !c.writing {
		p.push(c)
	} else if !p.hold(c, len(c.pending)-before) {
		p.clientGone(c, memoryBudget, nil)
	}
}

// hold takes from the budget for what the client has not read.
func (p *Proxy) hold(c *client, n int) bool {
	if !p.input.take(n) {
		return false
	}
	c.held += n
	return true
}

// sent notes that the socket has taken so many more bytes, and gives back the permits of whole answers.
func (c *client) sent(n int) {
	done := 0
	for done < len(c.unsent) && n >= c.unsent[done].size {
		n -= c.unsent[done].size
		if c.unsent[done].permit {
			select {
			case <-c.permits:
			default: // a command that never took one
			}
		}
		done++
	}
	if c.unsent = c.unsent[:copy(c.unsent, c.unsent[done:])]; len(c.unsent) > 0 {
		c.unsent[0].size -= n
	}
}

// push writes what is pending: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection, or when the client has taken nothing for too long.
func (p *Proxy) push(c *client) {
	p.input.give(c.held)
	c.held = 0
	n, err := p.tryWrite(c.raw, c.pending)
	if err != nil {
		p.clientGone(c, writeFailed, err)
		return
	}
	c.sent(n)
	rest := c.pending[n:]
	if len(rest) == 0 {
		if c.pending = c.pending[:0]; cap(c.pending) > 4*readSize {
			c.pending = nil
		}
		p.written(c)
		return
	}
	if !p.hold(c, len(rest)) {
		p.clientGone(c, memoryBudget, nil)
		return
	}
	p.log.Info("client socket is full", "connection", c.number, "unwritten_bytes", len(rest), "owed", c.owed())
	c.writing, c.pending = true, nil
	progressed := func() { c.progressAt.set(p.clock.now()) }
	progressed()
	go func() {
		err := p.writeAll(c.conn, c.raw, rest, p.clients.stallTimeout, progressed)
		p.post(p.clock.now(), func() { p.pushed(c, len(rest), err) })
	}()
}

// pushed takes the end of a write that the loop did not wait for.
func (p *Proxy) pushed(c *client, n int, err error) {
	c.writing = false
	switch {
	case c.closed:
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.clientGone(c, unreadAnswers, err)
	case err != nil:
		p.clientGone(c, writeFailed, err)
	default:
		c.sent(n)
		p.push(c)
	}
}

// stalled tells that the client has taken nothing of its answers for long.
func (c *client) stalled(now float64) bool {
	return c.writing && now-c.progressAt.get() > stalledAfter
}

// written ends a connection on which nothing more is owed, if it is to end.
func (p *Proxy) written(c *client) {
	switch {
	case c.ending && !c.lingered:
		c.conn.CloseWrite()
	case c.ending:
		p.closeClient(c, lastAnswerWritten, nil)
	case p.leaving && len(c.slots) == 0:
		p.endIdle(c, draining)
	}
}

// writeAll writes all of b, for as long as the other end takes some of it within each stall timeout. No deadline
// of its own outlives it. One that passed while this process stood still is no stall: the socket is asked before
// that is told.
func (p *Proxy) writeAll(conn net.Conn, raw syscall.RawConn, b []byte, stall time.Duration, progressed func()) error {
	defer conn.SetWriteDeadline(time.Time{})
	last := time.Now()
	for {
		conn.SetWriteDeadline(time.Now().Add(min(writeSlice, stall)))
		n, err := conn.Write(b)
		if b = b[n:]; err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		more, failed := p.tryWrite(raw, b)
		if failed != nil {
			return failed
		}
		b = b[more:]
		switch {
		case len(b) == 0:
			return nil
		case n+more > 0:
			last = time.Now()
			progressed()
		case time.Since(last) >= stall:
			return err
		}
	}
}

// tryWrite writes what the socket takes without waiting, which may be nothing. No deadline of the connection matters
// to it.
func (p *Proxy) tryWrite(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Control(func(fd uintptr) { n, err = p.calls.Write(int(fd), b) })
	switch {
	case closed != nil:
		return 0, closed
	case netcalls.IsShortage(err):
		return 0, nil
	}
	return max(n, 0), err
}
