package proxy

import (
	"slices"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// minReuseDelay is the idle time after which a connection is preferred for the next command. By then, the reader has
// usually detected a duplicate that was sent directly after the last reply.
const minReuseDelay policy.Seconds = 0.005

// acquireIdle takes a connection to an endpoint out of the pool, or returns nil if none is usable. Among the
// connections that have been idle for at least minReuseDelay, it takes the most recently used one. If there are none,
// it takes the connection that has been idle for longest. If the chosen connection is unusable or has been idle for
// longer than idleTimeout, acquireIdle closes it and chooses another. The socket is checked for unread bytes and the
// end of the stream, as the reader may not have detected them yet.
func (s *endpointSet) acquireIdle(e *endpoint) *backendConn {
	now := s.services.loop.Now()
	for len(e.idle) > 0 {
		i := len(e.idle) - 1
		for i > 0 && now-e.idle[i].idleSince < minReuseDelay {
			i--
		}
		c := e.idle[i]
		if c.unusable.Load() || now-c.idleSince > s.idleTimeout || !netcalls.NoDataPending(c.rawConn) {
			c.close(notUsable, nil)
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		return c
	}
	return nil
}

// usable reports whether the connection may carry another command. The endpoint must be in service, and must have the
// same address and start time as at the dial. Its zone and cell must be the same too: they make up the dedup group, on
// which the choice of the endpoint may have depended.
func (c *backendConn) usable() bool {
	e, dialed := c.endpoint, c.dialedAs
	return !c.closed && !c.unusable.Load() && e.state == policy.InService && dialed.Addr == e.Addr &&
		dialed.StartedMS == e.StartedMS && dialed.Zone == e.Zone && dialed.Cell == e.Cell
}

// assign gives a connection to the attempt that has waited longest, and writes its command. Attempts that must not be
// sent any more end as NotSent instead. If no attempt is left, assign returns the connection to the pool.
func (s *endpointSet) assign(c *backendConn) {
	e := c.endpoint
	for len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !s.attempts.mayStillStart(a) {
			s.attempts.finishDeferred(a, policy.NotSent)
			continue
		}
		c.writeCommand(a)
		return
	}
	c.returnToPool()
}

// returnToPool puts the connection into the pool, or closes it if it is not usable. It does not give the connection to
// a waiting attempt: each waiting attempt has a dial in progress, and a duplicate of the last reply may still arrive on
// this connection.
func (c *backendConn) returnToPool() {
	c.attempt = nil
	if !c.usable() {
		c.close(notUsable, nil)
		return
	}
	c.idleSince = c.services.loop.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// queueForDial starts a dial to the attempt's endpoint, and queues the attempt for the next connection to that
// endpoint. It returns false if the limit on connections is reached and no idle connection can be evicted.
func (s *endpointSet) queueForDial(a *attempt) bool {
	if s.openConns >= s.maxConns && !s.evictIdle() {
		return false
	}
	e := a.endpoint
	e.waiting = append(e.waiting, a)
	e.pendingDials++
	s.openConns++
	go s.dialEndpoint(e, e.Endpoint)
	return true
}

// dialEndpoint dials an endpoint, and posts the connection or the error to the event loop. It runs on a goroutine that
// queueForDial starts. The dial timeout and localFaultRetryTimeout bound the time for which it dials.
func (s *endpointSet) dialEndpoint(e *endpoint, dialedAs discovery.Endpoint) {
	shared := s.services
	conn, err := s.dialWithRetry(dialedAs.Addr)
	var c *backendConn
	if err == nil {
		c, err = s.newBackendConn(e, dialedAs, conn)
	}
	shared.loop.Post(shared.clock.Now(), func() { s.handleDialResult(e, c, err) })
}

// dialWithRetry dials an address. While the dial fails because of a local fault, it retries until
// localFaultRetryTimeout has passed. If the first dial fails because no descriptor is free, the event loop evicts
// connections meanwhile.
func (s *endpointSet) dialWithRetry(addr string) (netcalls.Conn, error) {
	shared := s.services
	startedAt := shared.clock.Now()
	conn, err := s.dial(addr)
	for first := true; netcalls.IsLocalFault(err) && shared.clock.Now()-startedAt < s.localFaultRetryTimeout.Seconds(); first = false {
		if dialErr := err; first {
			shared.loop.Post(shared.clock.Now(), func() { s.descriptors.evictIfExhausted(dialErr) })
		}
		shared.calls.Sleep(netcalls.RetryInterval)
		conn, err = s.dial(addr)
	}
	return conn, err
}

// newBackendConn returns the backendConn for a dialed TCP connection. If it fails, it closes the TCP connection.
func (s *endpointSet) newBackendConn(e *endpoint, dialedAs discovery.Endpoint, conn netcalls.Conn) (*backendConn, error) {
	shared := s.services
	c := &backendConn{
		services: shared, set: s, endpoint: e, dialedAs: dialedAs,
		conn: netcalls.RetryingConn{Conn: conn, Sleep: shared.calls.Sleep},
	}
	var err error
	if c.rawConn, err = c.conn.SyscallConn(); err != nil {
		_ = conn.Close() // nothing was written, so the error does not matter
		return nil, err
	}
	return c, nil
}

// handleDialResult handles the end of a dial, which has returned either a connection or an error. If more attempts are
// waiting than dials are pending, the excess attempts get an idle connection or end. Event loop only.
func (s *endpointSet) handleDialResult(e *endpoint, c *backendConn, err error) {
	e.pendingDials--
	var failure policy.AttemptStatus // status of the excess attempts
	if c != nil {
		failure = s.dialSucceeded(c)
	} else {
		failure = s.dialFailed(e, err)
	}
	for len(e.waiting) > e.pendingDials {
		if idle := s.acquireIdle(e); idle != nil {
			s.assign(idle)
			continue
		}
		s.attempts.finish(e.waiting[0], attemptResult{status: failure}, s.services.loop.Now())
	}
}

// dialFailed handles the error of a dial. It returns the status of the attempts that are left without a dial. The
// status is NotSent after a local fault, which says nothing about the endpoint, and ConnectFailed otherwise.
func (s *endpointSet) dialFailed(e *endpoint, err error) policy.AttemptStatus {
	s.openConns--
	s.services.warn("dial failed", "endpoint", e.ID, "error", err)
	s.descriptors.evictIfExhausted(err)
	if netcalls.IsLocalFault(err) {
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// dialSucceeded starts the reader of a new connection, and assigns the connection if it is usable, or closes it. It
// returns the status of the attempts that are left without a dial. The status is NotSent if the endpoint has changed
// since the dial, and ConnectFailed otherwise. If the reader has already found the connection unusable, only a change
// of the endpoint's address counts.
func (s *endpointSet) dialSucceeded(c *backendConn) policy.AttemptStatus {
	go c.read()
	if c.usable() {
		s.assign(c)
		return policy.ConnectFailed
	}
	failure := policy.ConnectFailed
	if !c.unusable.Load() || c.dialedAs.Addr != c.endpoint.Addr {
		failure = policy.NotSent // the dial says nothing about the endpoint as it is now
	}
	c.close(notUsable, nil)
	return failure
}
