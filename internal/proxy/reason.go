package proxy

import (
	"context"
	"log/slog"
	"time"
)

// closeReason tells why a connection ended. Its text is what the log holds.
type closeReason string

// Why a client's connection ended.
const (
	peerClosed         closeReason = "peer_closed"          // the other end closed or reset it
	idleTimeout        closeReason = "idle_timeout"         // nothing was asked for long
	evicted            closeReason = "evicted"              // it was idle and made room for others
	draining           closeReason = "draining"             // this process ends
	drainDeadline      closeReason = "drain_deadline"       // and its time to do so is over
	tooManyConnections closeReason = "too_many_connections" // more are open than may be
	protocolError      closeReason = "protocol_error"       // what it sent can't be read
	writeFailed        closeReason = "write_failed"         // an answer could not be written
	unreadAnswers      closeReason = "unread_answers"       // the client leaves too much unread, or for too long
	memoryBudget       closeReason = "memory_budget"        // no memory is left for what it leaves unread
	lastAnswerWritten  closeReason = "last_answer_written"  // the answer after which it was to end is written
)

// Why a connection to a backend ended, beside peerClosed, idleTimeout and evicted.
const (
	backendRetired closeReason = "backend_retired"  // its backend drains, moved, restarted or is gone
	attemptGivenUp closeReason = "attempt_given_up" // its attempt timed out, was cancelled or is not needed
	notUsable      closeReason = "not_usable"       // broken, used up, or no longer where its backend stands
)

// logClientClosed tells why a client's connection ended. Lines about connections on which nothing was owed may
// be thinned, those about others never.
func (p *Proxy) logClientClosed(c *clientConn, why closeReason, err error) {
	attrs := []any{"connection", c.number, "peer", c.conn.RemoteAddr().String(), "reason", string(why)}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	owed := c.owed()
	unwritten := c.reservedOutput + len(c.pipeline.pending)
	if len(owed) == 0 && unwritten == 0 {
		p.log.Debug("client connection closed", attrs...)
		return
	}
	level := slog.LevelWarn
	if why == peerClosed { // its requests are its own to give up
		level = slog.LevelInfo
	}
	attrs = append(attrs, "owed", owed, "unwritten_bytes", unwritten, "open_for", p.loop.Now()-c.openedAt,
		"last_answer_before", p.loop.Now()-c.lastUsedAt)
	p.log.Log(context.Background(), level, "client connection closed", attrs...)
}

// logBackendClosed tells why a connection to a backend ended, with the request whose attempt it carried.
func (p *Proxy) logBackendClosed(c *backendConn, why closeReason, err error) {
	attrs := []any{"backend", c.endpoint.ID, "address", c.dialedAs.Addr, "reason", string(why)}
	if err != nil {
		attrs = append(attrs, "error", err)
	}
	a := c.attempt
	if a == nil || a.request == nil {
		p.log.Debug("backend connection closed", attrs...)
		return
	}
	attrs = append(attrs, "id", a.request.ID, "try", a.number, "written", c.commandWritten.Load(),
		"after", time.Duration((p.loop.Now()-a.sentAt)*float64(time.Second)).String())
	p.log.Info("backend connection closed", attrs...)
}
