package proxy

import (
	"context"
	"log/slog"

	"reedlead/internal/eventloop"
)

// closeReason is the reason why a connection was closed, as it appears in the log.
type closeReason string

// String returns the text for the log.
func (r closeReason) String() string { return string(r) }

// Reasons for closing a client connection.
const (
	peerClosed         closeReason = "peer_closed"          // closed or reset by the other end, or its reader failed
	idleTimeout        closeReason = "idle_timeout"         // it was idle for too long
	evicted            closeReason = "evicted"              // closed to make room for other connections
	draining           closeReason = "draining"             // the process is shutting down
	drainDeadline      closeReason = "drain_deadline"       // still open shortly before SIGKILL
	tooManyConnections closeReason = "too_many_connections" // the limit and the allowance beyond it are exhausted
	protocolError      closeReason = "protocol_error"       // its input was rejected with an error
	readerFailed       closeReason = "reader_failed"        // a panic in its reader
	writeFailed        closeReason = "write_failed"         // writing a reply failed
	unreadReplies      closeReason = "unread_replies"       // writing replies made no progress for stallTimeout
	memoryBudget       closeReason = "memory_budget"        // the input budget has no room for its unwritten replies
	lastReplyWritten   closeReason = "last_reply_written"   // the last reply of the connection was written
)

// Reasons for closing a backend connection, in addition to peerClosed, idleTimeout, evicted and writeFailed.
const (
	endpointRetired  closeReason = "endpoint_retired"  // it was idle when its endpoint left service, moved or restarted
	attemptAbandoned closeReason = "attempt_abandoned" // its attempt ended before the reply was read, such as by a timeout
	notUsable        closeReason = "not_usable"        // broken, idle for too long, or its endpoint left service or changed
)

// logClosed logs why a client connection was closed. It logs at debug level if the connection has neither open requests
// nor unwritten replies.
func (c *clientConn) logClosed(why closeReason, err error) {
	attrs := []any{"connection", c.number, "peer", c.conn.RemoteAddr().String(), "reason", why.String()}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	open := c.unfinishedRequestIDs()
	unwritten := c.reservedOutput + len(c.pipeline.pending)
	if len(open) == 0 && unwritten == 0 {
		c.services.log.Debug("client connection closed", attrs...)
		return
	}
	level := slog.LevelWarn
	if why == peerClosed { // the client itself gave up its requests
		level = slog.LevelInfo
	}
	now := c.services.loop.Now()
	attrs = append(attrs, "open_requests", open, "unwritten_bytes", unwritten, "open_for", now-c.openedAt,
		"last_reply_before", now-c.lastUsedAt)
	c.services.log.Log(context.Background(), level, "client connection closed", attrs...)
}

// logClosed logs why a backend connection was closed, and which attempt of a request it carried, if any.
func (c *backendConn) logClosed(why closeReason, err error) {
	attrs := []any{"endpoint", c.endpoint.ID, "address", c.dialedAs.Addr, "reason", why.String()}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	a := c.attempt
	if a == nil || a.request == nil {
		c.services.log.Debug("backend connection closed", attrs...)
		return
	}
	elapsed := eventloop.Duration(c.services.loop.Now() - a.createdAt)
	attrs = append(
		attrs, "id", a.request.ID, "attempt", a.number, "written", c.commandWritten.Load(), "after", elapsed.String(),
	)
	c.services.log.Info("backend connection closed", attrs...)
}
