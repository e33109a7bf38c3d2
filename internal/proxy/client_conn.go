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
	// shutdownTimeout is the time that closeGracefully gives a client to close its side of a connection.
	shutdownTimeout = 500 * time.Millisecond
	// replyDeliveryTime is the time in seconds after which a written reply is assumed to have reached its client. A
	// reset of the connection before that may destroy the reply.
	replyDeliveryTime policy.Seconds = 1
)

// pastDeadline is a read deadline in the past. Setting it interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)

// clientConn is a connection from a client.
//
// Three goroutines share it:
//   - The reader, started by the listener, owns the field reader except during a pause. It ends with the connection,
//     or after it has discarded input.
//   - The event loop owns the fields after reader and closes the connection.
//   - A writer, started by the event loop when the socket cannot take all pending bytes, owns the write deadline. It
//     ends when the write is complete or has failed, and clears the deadline.
//
// To close an idle connection without losing a command, the event loop first pauses the reader: requestClose interrupts
// the reader with a read deadline in the past, and the reader posts readerPaused and waits for resume or done.
type clientConn struct {
	services *services
	set      *clientSet
	number   uint64 // sequence number in the order of acceptance
	conn     netcalls.Conn
	rawConn  syscall.RawConn
	permits  chan struct{} // holds an element per command whose reply is not completely written; see acquirePermit
	done     chan struct{} // closed when the connection is closed
	resume   chan struct{} // ends a pause of the reader

	pauseRequested  atomic.Bool          // the reader must pause when its read is interrupted
	discardInput    atomic.Bool          // after its pause, the reader must discard further input and end
	hasReceived     atomic.Bool          // at least one byte was read
	partialCommand  atomic.Bool          // the reader has read a part of a command and waits for the rest
	shedding        atomic.Bool          // the reader discards a command that has not ended
	shedRequested   atomic.Bool          // the reader must shed its partial command
	partialInput    atomic.Int64         // bytes of the input budget that the reader holds for a partial command
	openRequests    atomic.Int32         // requests that have no final reply
	lastInputAt     eventloop.AtomicTime // clock time of the last read that returned bytes
	lastOutputAt    eventloop.AtomicTime // clock time of the last write of replies by the event loop
	writeProgressAt eventloop.AtomicTime // last progress of the writer, at first its start

	reader clientReader

	pipeline              replyPipeline
	reservedOutput        int            // bytes of the input budget reserved for unwritten replies
	writing               bool           // a writer goroutine is running
	openedAt              policy.Seconds // when the event loop added the connection
	lastUsedAt            policy.Seconds // when it was added, opened a request or queued a reply, whichever was last
	hasReplied            bool           // a reply was queued
	closeReason           closeReason    // reason given with the close request
	closeRequested        bool           // the reader was asked to pause so that the connection can be closed
	closeWithinCommand    bool           // the connection may be evicted while its client is sending a command
	usedSinceCloseRequest bool           // a reply was queued after the close request
	inputHandled          bool           // a command of the client was handled, or its input was rejected
	inputDiscarded        bool           // the reader has rejected input and finished discarding what follows it
	sendingShutDown       bool           // shutDownSending was called; further commands are ignored
	lingering             bool           // nothing is owed to the client, which gets time to close its side
	keptAt                policy.Seconds // value of lastInputAt when it could not be evicted; see keepUntilNextInput
	overLimit             bool           // accepted beyond the connection limit; requests are rejected until there is room
	closed                bool
}

// idle reports whether the connection has no open command and no reply to write. It does not consider commands that the
// event loop has not handled yet.
func (c *clientConn) idle() bool { return c.pipeline.empty() && !c.writing }

// replyLocally replies to a command, or to rejected input, without the decision module. If last is set, this is the
// connection's last reply, after which the connection is closed. Event loop only.
func (c *clientConn) replyLocally(reply []byte, last bool) {
	c.addReply(&pipelineSlot{reply: reply, last: last})
}

// addReply adds a slot with its final reply to the pipeline. Event loop only.
func (c *clientConn) addReply(slot *pipelineSlot) {
	if c.closed || c.sendingShutDown {
		c.services.replyBudget.Release(slot.reserved)
		return
	}
	c.inputHandled = true
	c.pipeline.add(slot)
	c.flush()
}

// requestClose asks the reader to pause. readerPaused then closes the connection, or keeps it open if it is in use
// again. Closing the connection directly could lose a command that the reader is reading or has posted. If the last
// reply has been queued, requestClose closes the connection immediately. Event loop only.
func (c *clientConn) requestClose(why closeReason) {
	switch {
	case c.closed || c.closeRequested:
	case c.pipeline.lastReplyQueued: // further input is discarded anyway
		c.close(why, nil)
	default:
		c.closeRequested, c.usedSinceCloseRequest, c.closeReason = true, false, why
		c.closeWithinCommand = false
		c.set.closing++
		c.set.closeRequests++
		c.pauseRequested.Store(true)
		_ = c.conn.SetReadDeadline(pastDeadline) // fails if the connection has ended, which the reader reports
	}
}

// readerPaused runs when the reader has paused and all commands that it has read are handled. It closes the connection
// if mayClose allows it. Otherwise the reader continues. Event loop only.
func (c *clientConn) readerPaused() {
	if c.closed {
		return
	}
	if c.mayClose() {
		if c.reader.hasPartialCommand() {
			c.replyLocally(errorReply(errNoCommand), true)
		}
		c.closeGracefully()
		return
	}
	c.closeRequested = false
	c.set.closing--
	c.set.refusedCloses++
	if c.closeReason == evicted && !c.usedSinceCloseRequest {
		c.keepUntilNextInput()
	}
	c.pauseRequested.Store(false)
	c.resume <- struct{}{}
	c.set.enforceLimit() // another connection may have to be closed instead
}

// mayClose reports whether a connection whose reader has paused may be closed. It has to be idle and have no unread
// input. Except during a drain, it must not have queued a reply since the close request. A part of a command keeps it
// open, unless mayCloseWithinCommand allows its eviction.
func (c *clientConn) mayClose() bool {
	unused := c.set.status.isDraining() || !c.usedSinceCloseRequest
	if !unused || !c.idle() || !netcalls.NoDataPending(c.rawConn) {
		return false
	}
	return !c.reader.hasPartialCommand() || c.mayCloseWithinCommand()
}

// closeGracefully closes a connection without pending replies. Closing a socket that holds unread bytes resets the
// connection, which destroys replies that the client has not received yet. So if a reply was queued within
// replyDeliveryTime, only the sending side is shut down at first, and the reader discards further input for up to
// shutdownTimeout before the connection is closed. The client has to repeat the discarded commands on another
// connection.
func (c *clientConn) closeGracefully() {
	if !c.hasReplied || c.services.loop.Now()-c.lastUsedAt > replyDeliveryTime {
		c.close(c.closeReason, nil)
		return
	}
	c.shutDownSending()
	c.lingering = true
	c.discardInput.Store(true)
	c.resume <- struct{}{}
}

// shutDownSending closes the sending side of the connection. Later commands are ignored. Event loop only.
func (c *clientConn) shutDownSending() {
	c.sendingShutDown = true
	_ = c.conn.CloseWrite() // fails if the connection has ended, which the reader reports
}

// abandon closes a connection without writing its pending replies. It finishes the open requests and notifies the
// decision module that their client has disconnected. Event loop only.
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

// close closes the connection and logs why. cause is the error that ended it, or nil. Event loop only.
func (c *clientConn) close(why closeReason, cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.logClosed(why, cause)
	c.services.inputBudget.Release(c.reservedOutput)
	c.reservedOutput = 0
	c.services.replyBudget.Release(c.pipeline.drop())
	if c.closeRequested {
		c.set.closing--
	}
	close(c.done)
	_ = c.conn.Close() // an error has no effect, as the connection is not used any more
	delete(c.set.conns, c)
	<-c.set.connSlots
}
