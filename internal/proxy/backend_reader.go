package proxy

import (
	"errors"

	"reedlead/internal/readbuf"
	"reedlead/internal/reply"
	"reedlead/internal/resp"
	"reedlead/policy"
)

const (
	// duplicateWindow is the time for which a duplicate of a reply may still arrive after the reply. If the write of
	// the next command starts within that time, the next reply is taken for a duplicate if it equals the earlier reply,
	// or if both are rejections. Genuine replies with values are not equal, as the values or the load reports differ.
	// Genuine errors may be equal. Taking one for a duplicate only costs the connection, as its attempt ends as Error
	// in any case. The attempt of a genuine rejection that is taken for a duplicate ends as Error, not as Rejected.
	duplicateWindow policy.Seconds = 0.1
	// maxLoggedBytes is the maximum number of bytes of a malformed reply that are logged.
	maxLoggedBytes = 40
)

var (
	errDuplicateReply = errors.New("duplicate of an earlier reply")
	errWrongReplyKind = errors.New("reply to another kind of command")
)

// backendReader reads the replies on one connection, and detects the end of the connection even while it is idle. It
// belongs to a goroutine that the event loop starts. That goroutine ends when the connection ends, after input that
// belongs to no command or is not a usable reply, or if the input budget has no memory left for more input.
type backendReader struct {
	conn     *backendConn
	services *services
	buffer   readbuf.Buffer
	history  reply.History
}

// read reads replies until the connection has ended or must not be used any more. It then closes the connection, and
// posts its end to the event loop.
func (c *backendConn) read() {
	shared := c.services
	r := &backendReader{conn: c, services: shared, buffer: readbuf.NewBuffer(shared.inputBudget, 0)}
	defer r.buffer.Free()
	more, cause := true, error(nil)
	for more {
		more, cause = r.readOnce()
	}
	c.unusable.Store(true)
	_ = c.conn.Close() // the connection is not used any more, so the error does not matter
	c.writeMu.Lock()   // waits for the writer, so that commandWritten is final
	if c.writeErr != nil {
		cause = c.writeErr
	}
	c.writeMu.Unlock()
	at := shared.clock.Now()
	shared.loop.Post(at, func() { c.readerEnded(cause, at) })
}

// readOnce waits for input, and handles the reply if it is complete. It reports whether to continue, and returns the
// error of the read.
func (r *backendReader) readOnce() (more bool, err error) {
	c, shared := r.conn, r.services
	space := r.buffer.Space()
	if space == nil {
		r.handleShortage(shared.clock.Now())
		return false, readbuf.ErrExhausted
	}
	n, err := c.conn.Read(space)
	at := shared.clock.Now()
	if n > 0 && !c.awaitingReply.Load() {
		shared.loop.Post(at, func() { shared.warn("unsolicited bytes", "endpoint", c.endpoint.ID, "bytes", n) })
		return false, err // later bytes can't be matched to a command
	}
	r.buffer.Commit(n)
	if !r.handleReply(at) {
		return false, err
	}
	return err == nil, err
}

// handleReply posts the reply in the buffer to the event loop if it is complete, or posts why it can't be used. It
// reports whether to continue reading.
func (r *backendReader) handleReply(at policy.Seconds) (more bool) {
	c, content := r.conn, r.buffer.Bytes()
	size, err := resp.ReplySize(content)
	if err == nil && size == 0 && len(content) > resp.MaxMessage {
		err = resp.ErrOversized
	}
	if err != nil {
		r.handleMalformedReply(at, content, err)
		return false
	}
	if size == 0 {
		return true
	}
	received, err := reply.Parse(content[:size])
	if err != nil {
		r.handleMalformedReply(at, content, err)
		return false
	}
	// A duplicate of a reply that was received after duplicatesSince may still have been in transit when the write of
	// the command started.
	duplicatesSince := c.writeStartedAt.Load() - c.set.duplicateWindow
	if r.history.IsDuplicate(content[:size], received.Status, duplicatesSince) {
		r.handleMalformedReply(at, content, errDuplicateReply)
		return false
	}
	r.history.Add(content[:size], received.Status, at)
	hasMore := len(content) > size
	r.buffer.Discard(len(content))
	if hasMore {
		c.unusable.Store(true)
	}
	c.awaitingReply.Store(false)
	r.services.loop.Post(at, func() { c.replyReceived(received, at) })
	return !hasMore
}

// handleMalformedReply marks the connection as unusable. On the event loop, it logs the first bytes of the reply and
// why it can't be used, and ends the connection's attempt as Error.
func (r *backendReader) handleMalformedReply(at policy.Seconds, got []byte, err error) {
	c, shared := r.conn, r.services
	c.unusable.Store(true)
	prefix := string(got[:min(len(got), maxLoggedBytes)])
	shared.loop.Post(at, func() {
		shared.warn("malformed reply", "endpoint", c.endpoint.ID, "error", err, "bytes", prefix)
		c.finishAttempt(malformedReply(err), at)
	})
}

// handleShortage marks the connection as unusable, because there is no memory for the rest of the reply. On the event
// loop, it ends the connection's attempt as Cancelled: the endpoint may have executed the command, and is not to blame.
func (r *backendReader) handleShortage(at policy.Seconds) {
	c, shared := r.conn, r.services
	c.unusable.Store(true)
	shared.loop.Post(at, func() {
		shared.warn("reply dropped", "endpoint", c.endpoint.ID, "error", readbuf.ErrExhausted)
		c.finishAttempt(attemptResult{status: policy.Cancelled}, at)
	})
}

// replyReceived ends the connection's attempt with the received reply. A successful reply to another kind of command
// counts as malformed. Event loop only.
func (c *backendConn) replyReceived(received reply.Reply, at policy.Seconds) {
	if c.closed || c.attempt == nil {
		return
	}
	result := attemptResult{status: received.Status, value: received.Value, load: received.Load}
	if isHealthCheck := c.attempt.request == nil; received.Status == policy.OK && received.HealthCheck != isHealthCheck {
		c.unusable.Store(true)
		c.services.warn("malformed reply", "endpoint", c.endpoint.ID, "error", errWrongReplyKind)
		result = malformedReply(errWrongReplyKind)
	}
	c.finishAttempt(result, at)
}

// finishAttempt ends the connection's attempt. The connection returns to the pool if it may carry another attempt, and
// is closed otherwise. Event loop only.
func (c *backendConn) finishAttempt(result attemptResult, at policy.Seconds) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if c.commandWritten.Load() && !c.unusable.Load() {
		a.conn = nil
		c.returnToPool()
	}
	c.set.attempts.finish(a, result, at)
}
