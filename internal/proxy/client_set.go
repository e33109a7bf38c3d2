package proxy

import (
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// minClients is the least limit on client connections.
	minClients = 8
	// minOverLimit is the least number of connections beyond the limit that are accepted to be rejected.
	minOverLimit = 2
	// clientShare and overLimitShare are what client connections may take of the usable descriptors: those within
	// the limit, and those beyond it.
	clientShare    = 1.0 / 2
	overLimitShare = 1.0 / 8
	// acceptAhead is how many connections may be accepted that the event loop has not handled yet.
	acceptAhead = 8
	// commandTimeout is how long a client may take for its first command, and for a command that it has begun. What
	// can't be read must get a reply within 3 s.
	commandTimeout = 2 * time.Second
	// clientIdleTimeout is how long a connection may be idle.
	clientIdleTimeout policy.Seconds = 10
	// lateClientGrace is the time for a command on a connection that was accepted during a graceful shutdown.
	lateClientGrace = 100 * time.Millisecond

	// reservedDescriptors is for the listener, discovery with its concurrent polls, peers, the configuration file,
	// the connections accepted ahead and the runtime; reservedDescriptorShare for connections that are being closed.
	reservedDescriptors     = 32
	reservedDescriptorShare = 1.0 / 32
)

// usableDescriptors is how many descriptors connections may take of those that the process gets. The rest is kept for
// all that must never wait for one.
func usableDescriptors(limit int) int {
	return limit - reservedDescriptors - int(float64(limit)*reservedDescriptorShare)
}

// clientSet holds the connections of clients and bounds their number. The event loop owns it, but for connSlots.
type clientSet struct {
	services           *services
	requests           *requestTable
	status             gatewayStatus
	conns              map[*clientConn]struct{}
	limit              int // of open connections; lower than configured while descriptors are short
	configuredLimit    int
	overLimitAllowance int // connections beyond the limit that are accepted, to reject their requests with a reply
	closing            int // open connections whose close was requested
	// connSlots has an element for each connection. The listener puts it in before it accepts, the event loop takes it
	// out as it closes the connection.
	connSlots chan struct{}

	stallTimeout   time.Duration
	commandTimeout time.Duration // readers use it too
}

// init sets the limits for a process that gets this number of descriptors.
func (s *clientSet) init(shared *services, requests *requestTable, status gatewayStatus, descriptors int) {
	usable := usableDescriptors(descriptors)
	s.services, s.requests, s.status = shared, requests, status
	s.conns = map[*clientConn]struct{}{}
	s.limit = max(minClients, int(float64(usable)*clientShare))
	s.configuredLimit = s.limit
	s.overLimitAllowance = max(minOverLimit, int(float64(usable)*overLimitShare))
	s.commandTimeout = commandTimeout
	s.stallTimeout = stallTimeout
	s.connSlots = make(chan struct{}, s.limit+s.overLimitAllowance+acceptAhead)
}

// open is the number of open connections.
func (s *clientSet) open() int { return len(s.conns) }

// notClosing is the number of connections that are not about to be closed.
func (s *clientSet) notClosing() int { return len(s.conns) - s.closing }

// add adds a connection that the listener has accepted.
func (s *clientSet) add(c *clientConn) {
	c.overLimit = s.evictToLimit(c)
	if c.overLimit && s.notClosing() >= s.limit+s.overLimitAllowance {
		s.services.warn("client rejected: too many connections", "open", s.open())
		c.close(tooManyConnections, nil)
		return
	}
	now := s.services.loop.Now()
	c.openedAt, c.lastUsedAt = now, now
	s.conns[c] = struct{}{}
	if s.status.isDraining() { // it was accepted before the listener closed, and its command may follow
		s.services.loop.After(lateClientGrace.Seconds(), func() { c.requestClose(draining) })
	}
}

// sweep closes the connections that were idle for too long, those that a client with maxPipelined open commands has
// closed, and those beyond the limit. A client that has sent no command is left to its reader, which replies with an
// error.
func (s *clientSet) sweep() {
	now := s.services.loop.Now()
	for c := range s.conns {
		if c.hasSentCommand && c.idle() && now-c.lastUsedAt > clientIdleTimeout {
			c.requestClose(idleTimeout)
		}
		// The reader of such a connection waits for a permit and does not notice that the client has closed it.
		if c.pipeline.unfinished() >= maxPipelined && netcalls.ClosedByPeer(c.rawConn) {
			c.abandon(peerClosed, nil)
		}
	}
	s.enforceLimit() // a newcomer would do the same, but none may come
}

// enforceLimit closes idle connections while more are open than the limit.
func (s *clientSet) enforceLimit() {
	if s.notClosing() > s.limit {
		s.evictToLimit(nil)
	}
}

// closeIdle closes each connection that waits for no reply.
func (s *clientSet) closeIdle() {
	for c := range s.conns {
		if c.idle() {
			c.requestClose(draining)
		}
	}
}

// evictToLimit closes idle and stalled connections, those of the lowest eviction rank first, until no more are open than
// the limit. The newcomer, which may be nil, is not counted. It reports whether too many are open all the same.
func (s *clientSet) evictToLimit(newcomer *clientConn) (overLimit bool) {
	for {
		candidate, others := s.evictionCandidate(newcomer)
		switch {
		case others < s.limit:
			return false
		case candidate == nil:
			return true
		case candidate.writing:
			candidate.abandon(evicted, nil)
		default:
			candidate.requestClose(evicted)
		}
	}
}

// evictionCandidate is the connection to evict next: of the lowest rank the one unused for longest, nil
// if there is none. others is the number of connections that stay open beside the newcomer.
func (s *clientSet) evictionCandidate(newcomer *clientConn) (candidate *clientConn, others int) {
	var lowest evictionRank
	for c := range s.conns {
		if c == newcomer || c.closeRequested {
			continue
		}
		others++
		if !c.idle() && !c.stalled(s.services.loop.Now()) {
			continue
		}
		rank := c.evictionRank()
		if candidate == nil || rank < lowest || rank == lowest && c.lastUsedAt < candidate.lastUsedAt {
			candidate, lowest = c, rank
		}
	}
	return candidate, others
}

// evictionRank orders the connections that may be evicted; the lowest goes first.
type evictionRank int

const (
	rankLastReplyQueued evictionRank = iota // its last reply was written or is being written
	rankNoCommand                           // nothing has come on it
	rankIdle                                // it waits for nothing
	// rankUnhandledInput has a first command on its way: it could not be closed, and others would have to wait for
	// that.
	rankUnhandledInput
	rankStalled // it takes nothing of its replies
)

// evictionRank is the rank of a connection that is idle or stalled.
func (c *clientConn) evictionRank() evictionRank {
	switch {
	case c.writing:
		return rankStalled
	case c.pipeline.lastReplyQueued:
		return rankLastReplyQueued
	case c.hasSentCommand:
		return rankIdle
	case c.hasReceived.Load() || !netcalls.NoDataPending(c.rawConn):
		return rankUnhandledInput
	}
	return rankNoCommand
}
