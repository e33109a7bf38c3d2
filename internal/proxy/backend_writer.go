package proxy

import (
	"bytes"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const (
	// writeTimeout limits the write of the part of a command that the socket does not accept at once. The command
	// states the time that its attempt had left when the write started. The stated time must not exceed the time left
	// at the end of the write by more than 0.15 s, so the timeout is shorter than that.
	writeTimeout policy.Seconds = 0.1
	// A request with more than longCommandSize bytes of arguments may take longer to write. Its command states less
	// time than its attempt has left: the time is reduced by the fraction writeReserveShare, but by at most
	// maxWriteReserve.
	longCommandSize                  = 16 << 10
	writeReserveShare                = 0.25
	maxWriteReserve   policy.Seconds = 0.5
	// maxKeptBufferSize is the maximum capacity in bytes of a command buffer that is kept for the next command.
	maxKeptBufferSize = 4 * readbuf.InitialSize
)

// writeCommand writes the command of an attempt. It writes the part that the socket accepts at once, and starts a
// writer goroutine for the rest. If a deadline of the attempt has passed, for example during the dial, it writes
// nothing and the attempt ends as NotSent. The deadlines are compared with the clock, as event time may be well behind
// it. Event loop only.
func (c *backendConn) writeCommand(a *attempt) {
	shared := c.services
	startedAt := shared.clock.Now()
	if startedAt >= min(a.writeDeadline, a.timeoutAt) {
		c.returnToPool()
		c.set.attempts.finishDeferred(a, policy.NotSent)
		return
	}
	command, reserve := a.appendCommand(c.set.commandBuffer[:0], startedAt)
	if c.set.commandBuffer = command; cap(command) > maxKeptBufferSize {
		c.set.commandBuffer = nil
	}
	a.conn, c.attempt = c, a
	c.commandWritten.Store(false)
	c.awaitingReply.Store(true)
	c.writeStartedAt.Store(startedAt)
	n, err := shared.calls.TryWrite(c.rawConn, command)
	switch {
	case err != nil:
		c.close(writeFailed, err)
		c.set.attempts.finishDeferred(a, policy.ConnectFailed)
	case n == len(command):
		c.commandWritten.Store(true)
		c.set.trace.attemptSent(a, c.dialedAs, startedAt, shared.clock.Now())
	default:
		deadline := min(a.writeDeadline, a.timeoutAt, startedAt+reserve+c.set.writeTimeout)
		c.startWriter(a, bytes.Clone(command[n:]), startedAt, shared.clock.Time(deadline))
	}
}

// appendCommand appends the command of an attempt whose write starts at startedAt. The command of a request states the
// time until the attempt times out, minus the reserve, which is extra time for the write of a long command.
func (a *attempt) appendCommand(b []byte, startedAt policy.Seconds) (command []byte, reserve policy.Seconds) {
	if a.request == nil {
		return redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendArray(b, 2), "INFO"), "load"), 0
	}
	remaining := a.timeoutAt - startedAt
	if a.request.Size > longCommandSize {
		reserve = min(remaining*writeReserveShare, maxWriteReserve)
	}
	return a.request.AppendTo(b, remaining-reserve), reserve
}

// startWriter starts the writer goroutine with the part of a command that the socket has not accepted.
func (c *backendConn) startWriter(a *attempt, rest []byte, startedAt policy.Seconds, deadline time.Time) {
	shared := c.services
	c.writeMu.Lock()                      // the ending reader or the previous writer may hold it, but only briefly
	_ = c.conn.SetWriteDeadline(deadline) // if it fails, so does the write
	go func() {
		defer c.writeMu.Unlock()
		_, err := c.conn.Write(rest)
		c.set.afterWrite(c)
		if err != nil {
			c.writeErr = err
			_ = c.conn.Close() // the reader detects and posts the end
			return
		}
		_ = c.conn.SetWriteDeadline(time.Time{}) // must precede commandWritten, after which the connection may be reused
		c.commandWritten.Store(true)
		c.set.trace.attemptSent(a, c.dialedAs, startedAt, shared.clock.Now())
	}()
}

// abortWrite closes the connection unless its command is completely written, and reports whether the command stayed
// incomplete. A running writer may still complete the command before the close takes effect. So abortWrite waits for
// the writer, and reads commandWritten again. Event loop only.
func (c *backendConn) abortWrite() (aborted bool) {
	if c.commandWritten.Load() {
		return false
	}
	c.close(attemptAbandoned, nil)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return !c.commandWritten.Load()
}
