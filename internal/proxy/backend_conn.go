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
// Three goroutines share it:
//   - The event loop owns the fields after writeErr, and calls close.
//   - The reader posts each reply, and the end of the connection, to the event loop. The event loop starts the reader
//     after the dial. The reader closes the connection when it ends, and ends when the connection is closed.
//   - The writer writes the part of a command that the socket did not accept at once. The event loop sets the write
//     deadline and starts the writer. The writer ends with the write, at the deadline, or with the connection.
//
// There is no read deadline: attempts have timers, and the event loop closes idle connections.
//
// If the connection ends, the endpoint can have executed the command only if commandWritten is set. A running writer
// may still set it. To read the final value, close the connection and then lock writeMu, which waits for the writer.
type backendConn struct {
	services *services
	set      *endpointSet // the set that contains endpoint
	endpoint *endpoint
	dialedAs discovery.Endpoint // the entry of the endpoint list at the time of the dial
	conn     netcalls.Conn
	rawConn  syscall.RawConn

	awaitingReply  atomic.Bool          // a command is being written or was written, and its reply has not arrived
	unusable       atomic.Bool          // must not carry another command
	commandWritten atomic.Bool          // the last command was written completely
	writeStartedAt eventloop.AtomicTime // when the write of the last command started

	writeMu  sync.Mutex // held while a writer runs
	writeErr error      // error of the writer; guarded by writeMu

	attempt   *attempt       // nil while the connection is idle
	idleSince policy.Seconds // event time at which the connection last returned to the pool
	closed    bool           // close was called; the reader or the writer may close conn before that
}

// close closes the connection, logs why, and removes it from the pool. The cause is the error that ended the
// connection, or nil if there was no error. Event loop only.
func (c *backendConn) close(why closeReason, cause error) {
	if c.closed {
		return
	}
	c.closed = true
	c.logClosed(why, cause)
	c.unusable.Store(true)
	_ = c.conn.Close() // the connection is not used any more, so the error does not matter
	c.set.openConns--
	c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(idle *backendConn) bool { return idle == c })
}

// readerEnded closes the connection after its reader has ended at the given time. An attempt that is still in flight
// ends as ConnectFailed if its command was not completely written, and as Reset otherwise. Event loop only.
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
