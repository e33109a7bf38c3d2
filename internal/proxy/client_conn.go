package proxy

import (
	"sync/atomic"
	"syscall"
	"time"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// shutdownTimeout is how long a client may take to close its side of a connection whose sending side this gateway
	// has shut down.
	shutdownTimeout = 500 * time.Millisecond
	// replyDeliveryTime is how long a reply may be on its way, so that a reset of its connection would destroy it.
	replyDeliveryTime policy.Seconds = 1
)

// pastDeadline is a deadline that has passed: it ends a read at once.
var pastDeadline = time.Unix(1, 0)

// clientConn is one client's connection.
//
// Three goroutines share it. Its reader, which the listener starts, owns reader and the read deadline, and ends with
// the connection; the event loop owns the fields after reader, and closes the connection. While the socket takes less
// than is pending, a writer goroutine that the event loop starts owns the write deadline; it ends with the write, at
// its stall timeout, or with the connection, and leaves no deadline behind.
//
// The event loop closes a connection between commands only when its reader has paused: requestClose asks for that by a
// read deadline that has passed, the reader posts readerPaused and waits for resume or done.
type clientConn struct {
	services *services
	set      *clientSet // that it is in
	number   uint64     // in the order of acceptance
	conn     netcalls.Conn
	rawConn  syscall.RawConn
	permits  chan struct{} // one element for each open command: the reader puts it in, the event loop takes it out
	done     chan struct{} // closed with the connection
	resume   chan struct{} // ends a pause of the reader

	pauseRequested  atomic.Bool          // the reader is to pause between commands
	discardInput    atomic.Bool          // the reader is to discard what still comes
	hasReceived     atomic.Bool          // something was read
	writeProgressAt eventloop.AtomicTime // when the socket last took something of a write that it had no room for

	reader clientReader

	pipeline              replyPipeline
	reservedOutput        int  // bytes of the budget, for what is pending or with the writer
	writing               bool // a writer goroutine runs
	openedAt              policy.Seconds
	lastUsedAt            policy.Seconds
	closeReason           closeReason // why its close was requested
	closeRequested        bool        // the reader is to pause, so that the connection can be closed
	usedSinceCloseRequest bool        // a reply was queued since the close was requested
	hasSentCommand        bool        // a complete command has come
	inputDiscarded        bool        // the reader has discarded input behind a malformed command for long enough
	sendingShutDown       bool        // no reply can be sent any more, and what comes is discarded
	overLimit             bool        // beyond the limit: its requests are rejected while that holds
	closed                bool
}

// idle reports whether the client waits for nothing, as far as its commands were handled.
func (c *clientConn) idle() bool { return c.pipeline.empty() && !c.writing }

// replyLocally replies to a command that the decision module never sees. Event loop only.
func (c *clientConn) replyLocally(reply []byte, last bool) {
	if c.closed || c.sendingShutDown {
		return
	}
	c.hasSentCommand = true
	c.pipeline.add(&pipelineSlot{reply: reply, last: last})
	c.flush()
}

// requestClose closes a connection between commands. Its reader may be in the middle of a command, and a command that
// it has posted may be in the event queue: the connection is closed when the reader has paused, unless there was one.
// Event loop only.
func (c *clientConn) requestClose(why closeReason) {
	switch {
	case c.closed || c.closeRequested:
	case c.pipeline.lastReplyQueued: // what still comes is discarded
		c.close(why, nil)
	default:
		c.closeRequested, c.usedSinceCloseRequest, c.closeReason = true, false, why
		c.set.closing++
		c.pauseRequested.Store(true)
		_ = c.conn.SetReadDeadline(pastDeadline) // it fails on a connection that has ended, which the reader reports
	}
}

// readerPaused handles a pause of the reader: all that it has read before was handled. Event loop only.
func (c *clientConn) readerPaused() {
	if c.closed {
		return
	}
	unused := c.set.status.isDraining() || !c.usedSinceCloseRequest
	if unused && c.idle() && c.reader.buffer.Len() == 0 && netcalls.NoDataPending(c.rawConn) {
		c.closeGracefully()
		return
	}
	c.closeRequested = false
	c.set.closing--
	c.pauseRequested.Store(false)
	c.resume <- struct{}{}
	c.set.enforceLimit() // another one has to be closed in its place
}

// closeGracefully ends a connection on which no reply is pending. Bytes may come at this very moment: a close over them
// would reset the connection, and so destroy replies that the client has not received yet. Where one was written
// lately only the sending side is shut down, and what still comes is discarded until the client closes too; it repeats
// on another connection what it had sent meanwhile.
func (c *clientConn) closeGracefully() {
	if c.services.loop.Now()-c.lastUsedAt > replyDeliveryTime {
		c.close(c.closeReason, nil)
		return
	}
	c.shutDownSending()
	c.discardInput.Store(true)
	c.resume <- struct{}{}
}

// shutDownSending ends the sending side of the connection. Event loop only.
func (c *clientConn) shutDownSending() {
	c.sendingShutDown = true
	_ = c.conn.CloseWrite() // it fails on a connection that has ended, which the reader reports
}

// abandon closes a connection with its pending replies: its open requests end, and the decision module is notified
// that their client is gone. Event loop only.
func (c *clientConn) abandon(why closeReason, cause error) {
	if c.closed {
		return
	}
	slots := c.pipeline.slots
	c.close(why, cause)
	for _, slot := range slots {
		if slot.request != nil {
			c.set.requests.abandon(slot.request)
		}
	}
}

// close closes the connection. The cause is what ended it, nil if this gateway did. Event loop only.
func (c *clientConn) close(why closeReason, cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.logClosed(why, cause)
	c.services.inputBudget.Release(c.reservedOutput)
	c.reservedOutput = 0
	c.pipeline.drop()
	if c.closeRequested {
		c.set.closing--
	}
	close(c.done)
	_ = c.conn.Close() // nothing more is written on it
	delete(c.set.conns, c)
	<-c.set.connSlots
}
