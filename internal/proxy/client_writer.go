package proxy

import (
	"errors"
	"os"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"
)

const (
	// stallTimeout is how long a client may take nothing of a reply that its socket has no room for. A close under a
	// reply loses it, so this is long; such a client may be evicted earlier.
	stallTimeout = 30 * time.Second
	// evictStalledAfter is the time without progress after which a client may be evicted.
	evictStalledAfter policy.Seconds = 5
	// maxKeptOutput is the largest buffer in bytes that is kept for the next reply.
	maxKeptOutput = 4 * readbuf.InitialSize
)

// flush writes the replies that are due, in the order of their commands. Event loop only.
func (c *clientConn) flush() {
	if c.closed {
		return
	}
	replies, size := c.pipeline.queueDue()
	if replies == 0 {
		return
	}
	c.lastUsedAt, c.usedSinceCloseRequest = c.services.loop.Now(), true
	if !c.writing {
		c.writePending()
	} else if !c.reserveOutput(size) {
		c.abandon(memoryBudget, nil)
	}
}

// reserveOutput reserves n bytes of the budget for what the client has not read.
func (c *clientConn) reserveOutput(n int) bool {
	if !c.services.inputBudget.Reserve(n) {
		return false
	}
	c.reservedOutput += n
	return true
}

// recordWritten notes that the socket has taken n more bytes, and gives back the permits of the replies that are
// complete.
func (c *clientConn) recordWritten(n int) {
	for range c.pipeline.recordWritten(n) {
		select {
		case <-c.permits:
		default: // its command never took one
		}
	}
}

// writePending writes what is pending: at once what the socket takes, and the rest on a writer goroutine. Event loop
// only.
func (c *clientConn) writePending() {
	shared := c.services
	shared.inputBudget.Release(c.reservedOutput)
	c.reservedOutput = 0
	pending := c.pipeline.pending
	n, err := shared.calls.TryWrite(c.rawConn, pending)
	if err != nil {
		c.abandon(writeFailed, err)
		return
	}
	c.recordWritten(n)
	rest := pending[n:]
	if len(rest) == 0 {
		if c.pipeline.pending = pending[:0]; cap(pending) > maxKeptOutput {
			c.pipeline.pending = nil
		}
		c.allWritten()
		return
	}
	if !c.reserveOutput(len(rest)) {
		c.abandon(memoryBudget, nil)
		return
	}
	shared.log.Info(
		"client socket is full", "connection", c.number, "unwritten_bytes", len(rest),
		"open_requests", c.openRequestIDs(),
	)
	c.writing, c.pipeline.pending = true, nil
	c.startWriter(rest)
}

// startWriter starts the writer goroutine with what the socket has no room for.
func (c *clientConn) startWriter(rest []byte) {
	shared := c.services
	progressed := func() { c.writeProgressAt.Store(shared.clock.Now()) }
	progressed()
	stall := c.set.stallTimeout
	go func() {
		err := shared.calls.WriteAll(c.conn, c.rawConn, rest, stall, progressed)
		shared.loop.Post(shared.clock.Now(), func() { c.writeFinished(len(rest), err) })
	}()
}

// writeFinished handles the end of the writer goroutine, which had n bytes to write. Event loop only.
func (c *clientConn) writeFinished(n int, err error) {
	c.writing = false
	switch {
	case c.closed:
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.abandon(unreadReplies, err)
	case err != nil:
		c.abandon(writeFailed, err)
	default:
		c.recordWritten(n)
		c.writePending()
	}
}

// allWritten ends a connection on which no reply is pending, if it is to end.
func (c *clientConn) allWritten() {
	switch lastWritten := c.pipeline.lastReplyQueued; {
	case lastWritten && !c.inputDiscarded:
		_ = c.conn.CloseWrite() // it fails on a connection that has ended, which the reader reports
	case lastWritten:
		c.close(lastReplyWritten, nil)
	case c.set.status.isDraining() && len(c.pipeline.slots) == 0:
		c.requestClose(draining)
	}
}

// stalled reports whether the client has taken nothing of its replies for long.
func (c *clientConn) stalled(now policy.Seconds) bool {
	return c.writing && now-c.writeProgressAt.Load() > evictStalledAfter
}

// openRequestIDs returns the ids of the client's requests that have no final reply yet, and of those whose reply is not
// completely written.
func (c *clientConn) openRequestIDs() (ids []string) { return c.pipeline.requestIDs() }
