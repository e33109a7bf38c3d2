package proxy

import (
	"context"
	"log/slog"
	"time"
)

// closeReason is why a connection was closed. Its text is what the log holds.
type closeReason string

// String returns the text that the log holds.
func (r closeReason) String() string { return string(r) }

// Why a client's connection was closed.
const (
	peerClosed         closeReason = "peer_closed"          // the other end closed or reset it
	idleTimeout        closeReason = "idle_timeout"         // it was idle for too long
	evicted            closeReason = "evicted"              // it was idle and made room for others
	draining           closeReason = "draining"             // this process ends
	drainDeadline      closeReason = "drain_deadline"       // and the time for that is over
	tooManyConnections closeReason = "too_many_connections" // more are open than may be
	protocolError      closeReason = "protocol_error"       // what it sent can't be parsed
	writeFailed        closeReason = "write_failed"         // a reply could not be written
	unreadReplies      closeReason = "unread_replies"       // the client leaves too much unread, or for too long
	memoryBudget       closeReason = "memory_budget"        // no memory is left for what it leaves unread
	lastReplyWritten   closeReason = "last_reply_written"   // the reply after which it was to be closed is written
)

// Why a backend connection was closed, beside peerClosed, idleTimeout and evicted.
const (
	endpointRetired  closeReason = "endpoint_retired"  // its endpoint drains, moved, restarted or was removed
	attemptAbandoned closeReason = "attempt_abandoned" // its attempt timed out, was cancelled or is not needed
	notUsable        closeReason = "not_usable"        // broken, used up, or no longer where its endpoint listens
)

// logClosed logs why a client's connection was closed. Lines about connections with a request or a reply open
// are never thinned out, others may be.
func (c *clientConn) logClosed(why closeReason, err error) {
	attrs := []any{"connection", c.number, "peer", c.conn.RemoteAddr().String(), "reason", why.String()}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	open := c.openRequestIDs()
	unwritten := c.reservedOutput + len(c.pipeline.pending)
	if len(open) == 0 && unwritten == 0 {
		c.services.log.Debug("client connection closed", attrs...)
		return
	}
	level := slog.LevelWarn
	if why == peerClosed { // its requests are its own to give up
		level = slog.LevelInfo
	}
	now := c.services.loop.Now()
	attrs = append(attrs, "open_requests", open, "unwritten_bytes", unwritten, "open_for", now-c.openedAt,
		"last_reply_before", now-c.lastUsedAt)
	c.services.log.Log(context.Background(), level, "client connection closed", attrs...)
}

// logClosed logs why a backend connection was closed, with the request whose attempt it carried.
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
	elapsed := time.Duration((c.services.loop.Now() - a.sentAt) * float64(time.Second))
	attrs = append(
		attrs, "id", a.request.ID, "attempt", a.number, "written", c.commandWritten.Load(), "after", elapsed.String(),
	)
	c.services.log.Info("backend connection closed", attrs...)
}
