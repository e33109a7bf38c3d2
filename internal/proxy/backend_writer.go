package proxy

import (
	"bytes"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const (
	// writeTimeout is how long what the socket does not take at once may take to be written: the command holds the time
	// that its client had left as its writing started, which may be 0.15 s too much.
	writeTimeout policy.Seconds = 0.1
	// A command of more than longCommandSize bytes holds less time than its client has left, as it may take longer to
	// write: writeReserveShare of it less, but not more than maxWriteReserve.
	longCommandSize                  = 16 << 10
	writeReserveShare                = 0.25
	maxWriteReserve   policy.Seconds = 0.5
	// maxKeptBufferSize is the largest buffer in bytes that is kept for the next command.
	maxKeptBufferSize = 4 * readbuf.InitialSize
)

// writeCommand sends the command of an attempt: at once what the socket takes, the rest on a writer goroutine. The last
// byte goes out in the attempt's time or never: the loop's time is that of the event that it handles, and may be well
// behind the clock; a dial, and an endpoint that reads slowly, take time as well. Event loop only.
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

// appendCommand appends what the attempt sends if its writing starts at a time. It returns also how long the writing
// may take beyond the usual, which its client has left and the command does not hold.
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

// startWriter starts the writer goroutine with what the socket has not taken of a command.
func (c *backendConn) startWriter(a *attempt, rest []byte, startedAt policy.Seconds, deadline time.Time) {
	shared := c.services
	c.writeMu.Lock()                      // only the connection's reader locks it too, briefly, when it ends
	_ = c.conn.SetWriteDeadline(deadline) // where it fails, so does the write
	go func() {
		defer c.writeMu.Unlock()
		_, err := c.conn.Write(rest)
		c.set.afterWrite(c)
		if err != nil {
			c.writeErr = err
			_ = c.conn.Close() // its reader reports the end
			return
		}
		_ = c.conn.SetWriteDeadline(time.Time{}) // first of all: once it is written, the connection may be used again
		c.commandWritten.Store(true)
		c.set.trace.attemptSent(a, c.dialedAs, startedAt, shared.clock.Now())
	}()
}

// abortWrite reports whether the command on the connection was never completely written, and closes the connection then.
// While a writer runs, that is not known: the connection is closed first, which ends the writer, and then commandWritten
// is read. Event loop only.
func (c *backendConn) abortWrite() (aborted bool) {
	if c.commandWritten.Load() {
		return false
	}
	c.close(attemptAbandoned, nil)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return !c.commandWritten.Load()
}
