package proxy

import (
	"slices"

	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// minReuseDelay is how long a connection should have been idle before it carries another command. A duplicate of a reply
// arrives right behind it, and is detected within that time.
const minReuseDelay policy.Seconds = 0.005

// acquireIdle takes a connection of an endpoint out of the pool, nil if there is none that can be used: the one used
// last of those that have been idle for minReuseDelay, else the one idle for longest. A connection that has unsolicited
// bytes, or that has ended, must not get a command, also if its reader has not noticed yet.
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

// usable reports whether the connection may carry another command: its endpoint is in service, and is the one that it
// was dialed as, in the group for which the decision module chose it.
func (c *backendConn) usable() bool {
	e, dialed := c.endpoint, c.dialedAs
	return !c.closed && !c.unusable.Load() && e.state == policy.InService && dialed.Addr == e.Addr &&
		dialed.StartedMS == e.StartedMS && dialed.Zone == e.Zone && dialed.Cell == e.Cell
}

// assign gives a connection to the attempt that has waited longest, else to the pool.
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

// returnToPool puts the connection into the pool. No waiting attempt gets it: each of them has a dial under way, and a
// duplicate of the reply may be right behind it.
func (c *backendConn) returnToPool() {
	c.attempt = nil
	if !c.usable() {
		c.close(notUsable, nil)
		return
	}
	c.idleSince = c.services.loop.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// queueForDial has the attempt wait for a new connection; false if there may be no more of them.
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

// dialEndpoint makes one connection, and hands it or the failure to the event loop. Its goroutine, which queueForDial
// starts, ends with the timeout of the dial at the latest.
func (s *endpointSet) dialEndpoint(e *endpoint, dialedAs discovery.Endpoint) {
	shared := s.services
	conn, err := s.dialWithRetry(dialedAs.Addr)
	var c *backendConn
	if err == nil {
		c, err = s.newBackendConn(e, dialedAs, conn)
	}
	shared.loop.Post(shared.clock.Now(), func() { s.handleDialResult(e, c, err) })
}

// dialWithRetry dials an address, again for a while where that fails for something on this side.
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

// newBackendConn makes a backend connection of what was dialed.
func (s *endpointSet) newBackendConn(e *endpoint, dialedAs discovery.Endpoint, conn netcalls.Conn) (*backendConn, error) {
	shared := s.services
	c := &backendConn{
		services: shared, set: s, endpoint: e, dialedAs: dialedAs,
		conn: netcalls.RetryingConn{Conn: conn, Sleep: shared.calls.Sleep},
	}
	var err error
	if c.rawConn, err = c.conn.SyscallConn(); err != nil {
		_ = conn.Close() // it is not in use yet
		return nil, err
	}
	return c, nil
}

// handleDialResult handles the end of a dial: with a connection, or with nil and an error. Event loop only.
func (s *endpointSet) handleDialResult(e *endpoint, c *backendConn, err error) {
	e.pendingDials--
	var failure policy.AttemptStatus // of attempts that wait for no dial any more
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

// dialFailed returns the status of the attempts that are left without a dial.
func (s *endpointSet) dialFailed(e *endpoint, err error) policy.AttemptStatus {
	s.openConns--
	s.services.warn("dial failed", "endpoint", e.ID, "error", err)
	s.descriptors.evictIfExhausted(err)
	if netcalls.IsLocalFault(err) { // not the endpoint's
		return policy.NotSent
	}
	return policy.ConnectFailed
}

// dialSucceeded starts the reader of a connection, and assigns it if it can be used. It returns the status of the
// attempts that are left without a dial: ConnectFailed, or NotSent where the endpoint has moved meanwhile and the dial
// says nothing about it.
func (s *endpointSet) dialSucceeded(c *backendConn) policy.AttemptStatus {
	go c.read()
	if c.usable() {
		s.assign(c)
		return policy.ConnectFailed
	}
	failure := policy.ConnectFailed
	if !c.unusable.Load() || c.dialedAs.Addr != c.endpoint.Addr {
		failure = policy.NotSent // the endpoint is another one by now, about which the dial says nothing
	}
	c.close(notUsable, nil)
	return failure
}
