package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"reedlead/internal/discovery"
	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// backendConn is a connection to an endpoint. It carries one attempt at a time.
//
// Three goroutines share it. Its reader, which the event loop starts after the dial, ends with the connection, and
// posts each reply and the end; the event loop owns the fields after writeErr, and closes the connection. While the
// socket takes less than a complete command, a writer goroutine that the event loop starts writes the rest and owns the
// write deadline; it ends with the write, at its deadline, or with the connection. Nobody sets a read deadline:
// attempts have timers, and an idle connection is closed.
//
// Whether commandWritten is set decides what the end of a connection means to its attempt. Where a writer may be
// running, the connection is closed first, and writeMu is locked to wait for the writer.
type backendConn struct {
	services *services
	set      *endpointSet // that its endpoint is in
	endpoint *endpoint
	dialedAs discovery.Endpoint // as the entry of the list was at the dial
	conn     netcalls.Conn
	rawConn  syscall.RawConn

	awaitingReply  atomic.Bool          // a command was or is being written, and its reply has not come
	unusable       atomic.Bool          // not to be used for another command
	commandWritten atomic.Bool          // the complete command of the attempt
	writeStartedAt eventloop.AtomicTime // of that command

	writeMu  sync.Mutex // held while a writer runs
	writeErr error      // of the writer; guarded by writeMu

	attempt   *attempt // that it carries; nil while it is idle
	idleSince policy.Seconds
	closed    bool
}

// close closes the connection. The cause is what ended it, nil if this gateway did. Event loop only.
func (c *backendConn) close(why closeReason, cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.logClosed(why, cause)
	c.unusable.Store(true)
	_ = c.conn.Close() // nothing more is written on it
	c.set.openConns--
	c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(idle *backendConn) bool { return idle == c })
}

// readerEnded handles the end of the connection as its reader has detected it. Event loop only.
func (c *backendConn) readerEnded(cause error, at policy.Seconds) {
	c.close(peerClosed, cause)
	a := c.attempt
	if a == nil || a.done {
		return
	}
	status := policy.Reset
	if !c.commandWritten.Load() {
		status = policy.ConnectFailed
	}
	c.set.attempts.finish(a, attemptResult{status: status}, at)
}
