package proxy

import (
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// minClients is the lower bound of the limit on client connections.
	minClients = 8
	// minOverLimit is the lower bound of overLimitAllowance.
	minOverLimit = 2
	// clientShare and overLimitShare are the shares of the usable descriptors for client connections within the limit
	// and beyond it.
	clientShare    = 1.0 / 2
	overLimitShare = 1.0 / 8
	// acceptAhead is the number of slots in connSlots for accepted connections that wait for the event loop.
	acceptAhead = 8
	// commandTimeout is the time in which a client has to send its first command, and to complete any later command. It
	// is below 3 s, because input that cannot be parsed must get a reply within 3 s.
	commandTimeout = 2 * time.Second
	// clientIdleTimeout is the time in seconds after which an idle connection is closed.
	clientIdleTimeout policy.Seconds = 10
	// lateClientGrace is the time in which a client has to send its first command on a connection that is added during
	// a drain, after the accept grace.
	lateClientGrace = 100 * time.Millisecond

	// reservedDescriptors is the number of descriptors kept for the listener, discovery with its concurrent polls, the
	// peer link, the configuration file, the connections accepted ahead and the runtime. reservedDescriptorShare is the
	// share of all descriptors kept for connections that are being closed.
	reservedDescriptors     = 32
	reservedDescriptorShare = 1.0 / 32
)

// usableDescriptors returns the number of descriptors that connections may use. limit is the number that the process
// may open. The difference is reserved: see reservedDescriptors.
func usableDescriptors(limit int) int {
	return limit - reservedDescriptors - int(float64(limit)*reservedDescriptorShare)
}

// clientSet holds the client connections and limits their number. The event loop owns it. The listener also uses
// connSlots, and readers use commandTimeout and requests.
type clientSet struct {
	services           *services
	requests           *requestTable
	status             gatewayStatus
	conns              map[*clientConn]struct{}
	limit              int            // requests on further connections are rejected; lowered while descriptors are short
	configuredLimit    int            // highest value of limit
	overLimitAllowance int            // number of connections accepted beyond the limit so that their requests get a rejection
	closing            int            // number of open connections whose close was requested
	roomCheckScheduled bool           // see scheduleRoomCheck
	lastRoomAt         policy.Seconds // when there was room for a new connection last; see enforceLimit
	closeRequests      int            // number of requests to close a connection so far, for the log
	refusedCloses      int            // number of these after which the connection stayed open
	// connSlots holds an element for each connection. The listener adds it before it accepts the connection, and the
	// event loop removes it when it closes the connection.
	connSlots chan struct{}

	// These hold the constants of the same names. Tests change all but stallTimeout.
	stallTimeout      time.Duration
	commandTimeout    time.Duration
	inputStallTimeout policy.Seconds
	inputMemoryWait   time.Duration
}

// init initializes the set, and derives its limits from the number of descriptors that the process may open.
func (s *clientSet) init(shared *services, requests *requestTable, status gatewayStatus, descriptors int) {
	usable := usableDescriptors(descriptors)
	s.services, s.requests, s.status = shared, requests, status
	s.conns = map[*clientConn]struct{}{}
	s.limit = max(minClients, int(float64(usable)*clientShare))
	s.configuredLimit = s.limit
	s.overLimitAllowance = max(minOverLimit, int(float64(usable)*overLimitShare))
	s.commandTimeout = commandTimeout
	s.stallTimeout = stallTimeout
	s.inputStallTimeout = inputStallTimeout
	s.inputMemoryWait = inputMemoryWait
	s.connSlots = make(chan struct{}, s.limit+s.overLimitAllowance+acceptAhead)
}

// open returns the number of open connections.
func (s *clientSet) open() int { return len(s.conns) }

// notClosing returns the number of open connections whose close was not requested.
func (s *clientSet) notClosing() int { return len(s.conns) - s.closing }

// add adds a connection that the listener has accepted. If the limit is reached, it tries to evict others. If
// overLimitAllowance is used up too and all others have open commands, it closes the new one.
func (s *clientSet) add(c *clientConn) {
	c.overLimit = s.makeRoom(c)
	s.closeLingering()
	if c.overLimit && s.full() && !s.hasIdle() {
		s.services.warn("client rejected: too many connections", "open", s.open())
		c.close(tooManyConnections, nil)
		return
	}
	if c.overLimit {
		s.scheduleRoomCheck()
	} else {
		s.lastRoomAt = s.services.loop.Now()
	}
	now := s.services.loop.Now()
	c.openedAt, c.lastUsedAt = now, now
	s.conns[c] = struct{}{}
	if s.status.isDraining() { // accepted before the listener closed; its command may still arrive
		s.services.loop.After(lateClientGrace.Seconds(), func() { c.requestClose(draining) })
	}
}

// sweep closes connections that have been idle for too long. It also closes a connection whose client has disconnected
// if the connection has maxPipelined or more unfinished commands. If more than limit are open, it evicts idle and
// stalled ones. The idle timeout applies only after the first command: until then, the reader enforces the command
// timeout.
func (s *clientSet) sweep() {
	now := s.services.loop.Now()
	for c := range s.conns {
		if c.inputHandled && c.idle() && now-c.lastUsedAt > clientIdleTimeout {
			c.requestClose(idleTimeout)
		}
		// The reader may be waiting for a permit, and not notice the disconnect because reading ahead is limited.
		if c.pipeline.unfinished() >= maxPipelined && netcalls.ClosedByPeer(c.rawConn) {
			c.abandon(peerClosed, nil)
		}
	}
	s.enforceLimit() // add also evicts, but there may be no new connection
}

// closeIdle requests the close of all idle connections during a drain.
func (s *clientSet) closeIdle() {
	for c := range s.conns {
		if c.idle() {
			c.requestClose(draining)
		}
	}
}
