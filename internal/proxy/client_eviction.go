package proxy

import (
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// At the limit on client connections, connections that nothing is owed to make room for new ones. A connection is
// evicted by pausing its reader, which may find that the connection must stay open. So only those are asked that are
// likely to be closed, and one that stayed open is not asked again before its client has sent something.
//
// Clients that have stopped go first. Where there is none yet, new connections beyond the limit stay open for the time
// being, and wait in the backlog of the listener once the slots are used up. Turning them away at once would only have
// them come back, and would give a client that sends its request no better chance than one that doesn't.

// roomCheckInterval is the interval at which evictions are tried while more than limit connections are open.
const roomCheckInterval = 10 * time.Millisecond

// evictionScope says which connections may be evicted.
type evictionScope int

const (
	// evictUnused takes clients that have stopped. Idle and stalled ones are taken only if no client has just connected or
	// is sending its command, because it will either be handled or have stopped soon.
	evictUnused evictionScope = iota
	// evictForRequest takes all that have no command on its way.
	evictForRequest
	// evictAll also takes those that are sending a command, which gets an error.
	evictAll
)

// eviction is the result of a search for a connection to evict.
type eviction struct {
	candidate *clientConn // nil if none can be evicted
	rank      evictionRank
	others    int  // connections whose close was not requested
	inUse     int  // those of them that have handled a command, and do not wait for the rest of another
	arriving  bool // a client has just connected, or is sending a command
}

// allows reports whether the candidate may be evicted.
func (e eviction) allows(scope evictionScope) bool {
	switch {
	case e.candidate == nil:
		return false
	case scope == evictAll:
		return true
	case scope == evictForRequest:
		return e.rank <= rankStalled
	}
	return e.rank <= rankStopped || e.rank <= rankStalled && !e.arriving
}

// enforceLimit evicts connections beyond the limit. While there are any, it runs again after roomCheckInterval. If
// that has left no room for inputStallTimeout, it evicts any connection without an open command.
func (s *clientSet) enforceLimit() {
	if s.notClosing() <= s.limit {
		return
	}
	s.evictDownTo(s.limit, evictUnused, nil)
	now := s.services.loop.Now()
	switch {
	case !s.full():
		s.lastRoomAt = now
	case now-s.lastRoomAt > s.inputStallTimeout:
		s.evictDownTo(s.limit, evictAll, nil)
	}
	s.closeLingering()
	s.scheduleRoomCheck()
}

// full reports whether the connections beyond the limit have used up overLimitAllowance.
func (s *clientSet) full() bool { return s.notClosing() >= s.limit+s.overLimitAllowance }

// scheduleRoomCheck has enforceLimit run after roomCheckInterval, if it is not scheduled yet.
func (s *clientSet) scheduleRoomCheck() {
	if s.roomCheckScheduled {
		return
	}
	s.roomCheckScheduled = true
	s.services.loop.After(roomCheckInterval.Seconds(), func() {
		s.roomCheckScheduled = false
		s.enforceLimit()
	})
}

// makeRoom evicts unused connections until fewer than limit are open. It returns true if limit or more remain and none
// of them may be evicted. newcomer, which may be nil, is neither counted nor evicted.
func (s *clientSet) makeRoom(newcomer *clientConn) (overLimit bool) {
	return !s.evictDownTo(s.limit-1, evictUnused, newcomer)
}

// evictDownTo evicts connections, the lowest eviction rank first, until at most the given number remain. It returns false
// if more remain and none of them may be evicted. Connections whose close was requested do not count. newcomer, which
// may be nil, is neither counted nor evicted.
func (s *clientSet) evictDownTo(remaining int, scope evictionScope, newcomer *clientConn) bool {
	for {
		next := s.nextEviction(newcomer)
		switch {
		case next.others <= remaining:
			return true
		case !next.allows(scope):
			return false
		}
		next.candidate.evict(scope)
	}
}

// admitsRequest reports whether a request on a connection beyond the limit may be handled, because fewer than limit
// others are in use, or one of these can be evicted in return. Connections that are not in use are evicted by
// enforceLimit.
func (s *clientSet) admitsRequest(newcomer *clientConn) bool {
	for {
		next := s.nextEviction(newcomer)
		switch {
		case next.inUse < s.limit:
			return true
		case !next.allows(evictForRequest):
			return false
		case next.candidate.evict(evictForRequest):
			return true
		}
	}
}

// hasIdle reports whether any connection has no open command, so that it may be evicted soon.
func (s *clientSet) hasIdle() bool {
	for c := range s.conns {
		if c.idle() {
			return true
		}
	}
	return false
}

// evict closes a connection, or asks its reader to pause so that it can be closed. It returns false if the connection
// has unread input and stays open.
func (c *clientConn) evict(scope evictionScope) bool {
	switch {
	case c.writing:
		c.abandon(evicted, nil)
	case c.hasUnreadInput():
		c.keepUntilNextInput()
		return false
	default:
		c.requestClose(evicted)
		c.closeWithinCommand = scope == evictAll
	}
	return true
}

// nextEviction finds the connection to evict next. It is one of the lowest rank, and among these the one that has been
// quiet for longest. newcomer, which may be nil, is not considered.
func (s *clientSet) nextEviction(newcomer *clientConn) eviction {
	now := s.services.clock.Now()
	next := eviction{rank: notEvictable}
	for c := range s.conns {
		if c == newcomer || c.closeRequested {
			continue
		}
		next.others++
		if c.inputHandled && !c.partialCommand.Load() {
			next.inUse++
		}
		rank := c.evictionRank(now)
		if rank == rankNothingReceived || rank == rankReceiving {
			next.arriving = true
		}
		if rank < next.rank || next.candidate != nil && rank == next.rank && c.quietSince() < next.candidate.quietSince() {
			next.candidate, next.rank = c, rank
		}
	}
	return next
}

// closeLingering closes connections of which only the sending side was shut down, the oldest first, until fewer than
// limit and overLimitAllowance are open. Otherwise they could take up the slots of new connections.
func (s *clientSet) closeLingering() {
	for s.open() >= s.limit+s.overLimitAllowance {
		var oldest *clientConn
		for c := range s.conns {
			if c.lingering && (oldest == nil || c.lastUsedAt < oldest.lastUsedAt) {
				oldest = c
			}
		}
		if oldest == nil {
			return
		}
		oldest.close(oldest.closeReason, nil)
	}
}

// evictionRank is the order of eviction: connections of the lowest rank are evicted first.
type evictionRank int

// Ranks in the order of eviction.
const (
	rankLastReplyQueued evictionRank = iota // the last reply was written, and the reader is still discarding input
	rankStopped                             // the client has sent nothing, or a part of a command, and then nothing more
	rankNothingReceived                     // the client has not sent any bytes, but has just connected
	rankIdle                                // a command was handled, none is open, and no reply is left to write
	rankStalled                             // the client does not read its replies
	rankReceiving                           // the client is sending a command
	notEvictable
)

// evictionRank returns the rank of a connection at the given time of the clock.
func (c *clientConn) evictionRank(now policy.Seconds) evictionRank {
	quiet := now-c.quietSince() > c.set.inputStallTimeout
	switch {
	case c.writing && c.stalled(c.services.loop.Now()):
		return rankStalled
	case !c.idle():
		return notEvictable
	case c.pipeline.lastReplyQueued:
		return rankLastReplyQueued
	case c.keptAt == c.lastInputAt.Load():
		return notEvictable
	case c.partialCommand.Load() && quiet, !c.hasReceived.Load() && quiet:
		return rankStopped
	case !c.hasReceived.Load():
		return rankNothingReceived
	case c.partialCommand.Load():
		return rankReceiving
	case !c.inputHandled: // an event is on its way
		return notEvictable
	}
	return rankIdle
}

// quietSince returns the time at which the connection was last used, or its last bytes were read.
func (c *clientConn) quietSince() policy.Seconds { return max(c.lastUsedAt, c.lastInputAt.Load()) }

// hasUnreadInput reports whether the reader of a connection without open commands has input to read, or is about to find
// the end of the connection.
func (c *clientConn) hasUnreadInput() bool {
	return !c.pipeline.lastReplyQueued && !netcalls.NoDataPending(c.rawConn)
}

// neverKept is the value of keptAt of a connection that could always be evicted.
const neverKept policy.Seconds = -1

// keepUntilNextInput excludes a connection from eviction until its reader has read more.
func (c *clientConn) keepUntilNextInput() { c.keptAt = c.lastInputAt.Load() }

// mayCloseWithinCommand reports whether an eviction may close the connection although the client has sent a part of a
// command. Only while the reader is paused.
func (c *clientConn) mayCloseWithinCommand() bool {
	return c.closeReason == evicted && (c.closeWithinCommand || c.hasStopped())
}

// hasStopped reports whether the client has sent nothing for inputStallTimeout.
func (c *clientConn) hasStopped() bool {
	return c.services.clock.Now()-c.lastInputAt.Load() > c.set.inputStallTimeout
}
