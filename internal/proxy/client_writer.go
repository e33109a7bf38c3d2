package proxy

import (
	"errors"
	"os"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"
)

const (
	// stallTimeout is the time without write progress after which a connection is closed. It is long because closing
	// the connection loses its unwritten replies. To make room, a stalled client may be evicted earlier.
	stallTimeout = 30 * time.Second
	// evictStalledAfter is the time in seconds without write progress after which a client may be evicted.
	evictStalledAfter policy.Seconds = 5
	// maxKeptOutput is the size in bytes of the largest output buffer that is kept for later replies.
	maxKeptOutput = 4 * readbuf.InitialSize
)

// flush queues the replies that are due, in the order of their commands, and writes them. If a writer goroutine is
// running, writeFinished writes them later. Event loop only.
func (c *clientConn) flush() {
	if c.closed {
		return
	}
	replies, size, reserved := c.pipeline.queueDue()
	c.services.replyBudget.Release(reserved)
	if replies == 0 {
		return
	}
	c.lastUsedAt, c.usedSinceCloseRequest = c.services.loop.Now(), true
	c.hasReplied = true
	if !c.writing {
		c.writePending()
	} else if !c.reserveOutput(size) {
		c.abandon(memoryBudget, nil)
	}
}

// reserveOutput reserves n bytes of the input budget for unwritten replies. If too few are available, it closes
// connections whose writes have made no progress for longer than that of c. It reports whether it has reserved the bytes.
func (c *clientConn) reserveOutput(n int) bool {
	for !c.services.inputBudget.Reserve(n) {
		slowest := c.set.slowestWriter()
		if slowest == nil || slowest == c {
			return false
		}
		slowest.abandon(memoryBudget, nil)
	}
	c.reservedOutput += n
	return true
}

// slowestWriter returns the connection whose writer has made no progress for longest, or nil if none has a writer.
func (s *clientSet) slowestWriter() (slowest *clientConn) {
	for c := range s.conns {
		if c.writing && (slowest == nil || c.writeProgressAt.Load() < slowest.writeProgressAt.Load()) {
			slowest = c
		}
	}
	return slowest
}

// recordWritten records that n more bytes were written to the socket, and releases the permits of the replies that are
// now completely written.
func (c *clientConn) recordWritten(n int) {
	for range c.pipeline.recordWritten(n) {
		select {
		case <-c.permits:
		default: // no permit is held; the event loop must not block
		}
	}
}

// writePending writes the pending replies. It writes as many bytes as the socket has room for, and leaves the rest to a
// writer goroutine. Event loop only.
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
	if n > 0 {
		c.lastOutputAt.Store(shared.clock.Now())
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
		"open_requests", c.unfinishedRequestIDs(),
	)
	c.writing, c.pipeline.pending = true, nil
	c.startWriter(rest)
}

// startWriter starts a writer goroutine for the bytes that the socket had no room for.
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

// writeFinished handles the end of the writer goroutine, which was given n bytes. Event loop only.
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

// allWritten runs when all pending replies are written. After the connection's last reply, it closes the connection, or
// only the sending side while the reader is still discarding input. During a drain, it requests the close of a
// connection without open commands.
func (c *clientConn) allWritten() {
	switch lastWritten := c.pipeline.lastReplyQueued; {
	case lastWritten && !c.inputDiscarded:
		_ = c.conn.CloseWrite() // fails if the connection has ended, which the reader reports
	case lastWritten:
		c.close(lastReplyWritten, nil)
	case c.set.status.isDraining() && len(c.pipeline.slots) == 0:
		c.requestClose(draining)
	}
}

// stalled reports whether a write has made no progress for longer than evictStalledAfter.
func (c *clientConn) stalled(now policy.Seconds) bool {
	return c.writing && now-c.writeProgressAt.Load() > evictStalledAfter
}

// unfinishedRequestIDs returns the ids of the connection's requests whose reply is not completely written.
func (c *clientConn) unfinishedRequestIDs() (ids []string) { return c.pipeline.requestIDs() }
