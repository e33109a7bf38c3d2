package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"reedlead/internal/readbuf"
)

const (
	// How long a client may take nothing of an answer that its socket has no room for. Closing the connection
	// under an answer loses it, so this is long; such a client makes room for others earlier.
	stallTimeout = 30 * time.Second
	// How long one write waits before it is looked at whether the client has taken anything.
	writeSlice = time.Second
	// Seconds without progress after which a client may be closed to make room for others.
	stalledAfterS = 5.0
)

// unsentAnswer is an answer that the socket has not wholly taken. It keeps its permit until then, so that a client
// that does not read is not read from either.
type unwrittenReply struct {
	requestID string // of the request, if it was one
	remaining int    // bytes that are left of it
	hasPermit bool
}

// flush writes the answers that are due, in the order of their commands.
func (p *Proxy) flushReplies(c *clientConn) {
	if c.closed {
		return
	}
	n, before := 0, len(c.pending)
	for n < len(c.pipeline) && c.pipeline[n].reply != nil && !c.lastReplyQueued {
		s := c.pipeline[n]
		unsent := unwrittenReply{remaining: len(s.reply), hasPermit: !s.last}
		if s.request != nil {
			unsent.requestID = s.request.ID
		}
		c.pending = append(c.pending, s.reply...)
		c.unwritten = append(c.unwritten, unsent)
		c.lastReplyQueued = s.last
		n++
	}
	if n == 0 {
		return
	}
	clear(c.pipeline[:n])
	c.pipeline = c.pipeline[:copy(c.pipeline, c.pipeline[n:])]
	c.lastUsedAt, c.usedSinceRequest = p.now, true
	if !c.writing {
		p.writePending(c)
	} else if !p.reserveOutput(c, len(c.pending)-before) {
		p.abandonClient(c, memoryBudget, nil)
	}
}

// hold takes from the budget for what the client has not read.
func (p *Proxy) reserveOutput(c *clientConn, n int) bool {
	if !p.inputBudget.Reserve(n) {
		return false
	}
	c.reservedOutput += n
	return true
}

// sent notes that the socket has taken so many more bytes, and gives back the permits of whole answers.
func (c *clientConn) recordWritten(n int) {
	done := 0
	for done < len(c.unwritten) && n >= c.unwritten[done].remaining {
		n -= c.unwritten[done].remaining
		if c.unwritten[done].hasPermit {
			select {
			case <-c.permits:
			default: // a command that never took one
			}
		}
		done++
	}
	if c.unwritten = c.unwritten[:copy(c.unwritten, c.unwritten[done:])]; len(c.unwritten) > 0 {
		c.unwritten[0].remaining -= n
	}
}

// push writes what is pending: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection, or when the client has taken nothing for too long.
func (p *Proxy) writePending(c *clientConn) {
	p.inputBudget.Release(c.reservedOutput)
	c.reservedOutput = 0
	n, err := p.writeNow(c.raw, c.pending)
	if err != nil {
		p.abandonClient(c, writeFailed, err)
		return
	}
	c.recordWritten(n)
	rest := c.pending[n:]
	if len(rest) == 0 {
		if c.pending = c.pending[:0]; cap(c.pending) > 4*readbuf.Size {
			c.pending = nil
		}
		p.allWritten(c)
		return
	}
	if !p.reserveOutput(c, len(rest)) {
		p.abandonClient(c, memoryBudget, nil)
		return
	}
	p.log.Info("client socket is full", "connection", c.number, "unwritten_bytes", len(rest), "owed", c.owed())
	c.writing, c.pending = true, nil
	progressed := func() { c.writeProgressAt.store(p.clock.now()) }
	progressed()
	go func() {
		err := p.writeAll(c.conn, c.raw, rest, p.clients.stallTimeout, progressed)
		p.post(p.clock.now(), func() { p.writeFinished(c, len(rest), err) })
	}()
}

// pushed takes the end of a write that the loop did not wait for.
func (p *Proxy) writeFinished(c *clientConn, n int, err error) {
	c.writing = false
	switch {
	case c.closed:
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.abandonClient(c, unreadAnswers, err)
	case err != nil:
		p.abandonClient(c, writeFailed, err)
	default:
		c.recordWritten(n)
		p.writePending(c)
	}
}

// stalled tells that the client has taken nothing of its answers for long.
func (c *clientConn) stalled(now float64) bool {
	return c.writing && now-c.writeProgressAt.load() > stalledAfterS
}

// written ends a connection on which nothing more is owed, if it is to end.
func (p *Proxy) allWritten(c *clientConn) {
	switch {
	case c.lastReplyQueued && !c.lingerDone:
		c.conn.CloseWrite()
	case c.lastReplyQueued:
		p.closeClient(c, lastAnswerWritten, nil)
	case p.leaving && len(c.pipeline) == 0:
		p.requestClose(c, draining)
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
		more, failed := p.writeNow(raw, b)
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
func (p *Proxy) writeNow(raw syscall.RawConn, b []byte) (n int, err error) {
	closed := raw.Control(func(fd uintptr) { n, err = p.calls.write(int(fd), b) })
	switch {
	case closed != nil:
		return 0, closed
	case scarce(err):
		return 0, nil
	}
	return max(n, 0), err
}
