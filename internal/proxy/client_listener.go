package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"reedlead/internal/command"
	"reedlead/internal/netcalls"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

const (
	// listenerQuietPeriod is how long no connection must come, once the event loop has given the listener a deadline,
	// for the listener to close.
	listenerQuietPeriod = 10 * time.Millisecond
	// quietPeriodsToClose is how many such periods must pass in a row.
	quietPeriodsToClose = 2
)

// clientListener accepts the connections of clients and starts their readers. Its goroutine, which Proxy.serve starts,
// owns it. When the event loop gives the listener a deadline, it accepts what has come before that, closes the
// listener, notifies the event loop and ends. It also ends with the event loop.
type clientListener struct {
	services     *services
	clients      *clientSet // it uses connSlots alone; the rest belongs to the event loop
	listener     *net.TCPListener
	parser       *command.Parser
	accepted     uint64 // connections so far
	quietPeriods int    // periods after the deadline in which no connection came

	// The event loop calls onError with an error of accept, and onEnd when the listener is closed.
	onError func(error)
	onEnd   func()
}

// acceptClients runs the listener of clients until it ends.
func (p *Proxy) acceptClients(listener *net.TCPListener) {
	l := &clientListener{
		services: &p.services, clients: &p.clients, listener: listener,
		parser: command.NewParser(p.cfg.Settings.Settings),
		onError: func(err error) {
			p.warn("accept failed", "error", err)
			p.descriptors.evictIfExhausted(err)
		},
		onEnd: func() { p.drain.listenerEnded = true },
	}
	l.run()
}

// run accepts connections until the listener ends.
func (l *clientListener) run() {
	loop, clock := l.services.loop, l.services.clock
	defer func() {
		_ = l.listener.Close() // a second close fails and changes nothing
		loop.Post(clock.Now(), l.onEnd)
	}()
	for {
		select {
		case l.clients.connSlots <- struct{}{}:
		case <-loop.Ended():
			return
		}
		if !l.acceptOne() {
			return
		}
	}
}

// acceptOne accepts one connection, for which a slot is taken, or gives the slot back. It reports whether to go on.
func (l *clientListener) acceptOne() (more bool) {
	shared := l.services
	startedAt := time.Now()
	conn, err := shared.calls.Accept(l.listener)
	switch {
	case errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return l.handleAcceptTimeout(time.Since(startedAt))
	}
	var rawConn syscall.RawConn
	if err == nil {
		if rawConn, err = conn.SyscallConn(); err != nil {
			_ = conn.Close() // it is not in use yet
		}
	}
	at := shared.clock.Now()
	if err != nil {
		<-l.clients.connSlots
		shared.loop.Post(at, func() { l.onError(err) })
		shared.calls.Sleep(netcalls.RetryInterval) // without descriptors, other connections must end first
		return true
	}
	l.accepted++
	c := l.newConn(conn, rawConn, at)
	shared.loop.Post(at, func() { l.clients.add(c) })
	go c.reader.run()
	return true
}

// handleAcceptTimeout handles a passed deadline of the listener after a wait. It reports whether to go on, with a new deadline.
func (l *clientListener) handleAcceptTimeout(waited time.Duration) (more bool) {
	l.quietPeriods++
	if waited < listenerQuietPeriod/2 { // accept may have returned without a look, as the deadline had passed already
		l.quietPeriods = 0
	}
	if l.quietPeriods >= quietPeriodsToClose {
		return false
	}
	<-l.clients.connSlots
	_ = l.listener.SetDeadline(time.Now().Add(listenerQuietPeriod)) // it fails on a closed listener, as accept will
	return true
}

// newConn makes the connection that was accepted at a time.
func (l *clientListener) newConn(conn netcalls.Conn, rawConn syscall.RawConn, at policy.Seconds) *clientConn {
	shared := l.services
	c := &clientConn{
		services: shared, set: l.clients, number: l.accepted,
		conn: netcalls.RetryingConn{Conn: conn, Sleep: shared.calls.Sleep}, rawConn: rawConn,
		permits: make(chan struct{}, maxPipelined), done: make(chan struct{}), resume: make(chan struct{}, 1),
	}
	c.reader = clientReader{
		client: c, services: shared, parser: l.parser, buffer: readbuf.NewBuffer(shared.inputBudget),
		arrivals: arrivalTracker{lastEmptyAt: shared.loop.StallDetector().OnTimeUntil(at)},
	}
	return c
}
