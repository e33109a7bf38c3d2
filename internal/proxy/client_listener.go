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
	// listenerQuietPeriod is the time from a timeout of accept to its next deadline while the listener is being stopped.
	// An accept that waits for at least half of it and times out counts as a quiet period.
	listenerQuietPeriod = 10 * time.Millisecond
	// quietPeriodsToClose is the number of quiet periods after which the listener is closed. An accepted
	// connection does not reset the count. A timeout after less than half of listenerQuietPeriod does, as such an accept
	// may not have checked for connections.
	quietPeriodsToClose = 2
)

// clientListener accepts client connections and starts their readers. Its goroutine, which Proxy.serve starts, owns it.
// After the event loop has set a deadline on the listener, the goroutine accepts the connections that are waiting,
// closes the listener, notifies the event loop and ends. It also ends when the event loop has ended.
type clientListener struct {
	services     *services
	clients      *clientSet // the listener's goroutine uses only connSlots
	listener     *net.TCPListener
	parser       *command.Parser
	accepted     uint64 // number of connections accepted so far
	quietPeriods int    // see quietPeriodsToClose

	// Both are called on the event loop: onError with unexpected errors of accept, onEnd once the listener is closed.
	onError func(error)
	onEnd   func()
}

// acceptClients creates the client listener and runs it until it ends.
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

// run accepts connections until acceptOne returns false or the event loop has ended. It then closes the listener and
// posts onEnd.
func (l *clientListener) run() {
	loop, clock := l.services.loop, l.services.clock
	defer func() {
		_ = l.listener.Close() // fails if the listener is closed already
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

// acceptOne accepts one connection into the slot that the caller has acquired. If it accepts none but is to be called
// again, it releases the slot. It reports whether to continue.
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
			_ = conn.Close() // an error has no effect, as the connection is not used
		}
	}
	at := shared.clock.Now()
	if err != nil {
		<-l.clients.connSlots
		shared.loop.Post(at, func() { l.onError(err) })
		shared.calls.Sleep(netcalls.RetryInterval) // if descriptors have run out, other connections have to end first
		return true
	}
	l.accepted++
	c := l.newConn(conn, rawConn, at)
	shared.loop.Post(at, func() { l.clients.add(c) })
	go c.reader.run()
	return true
}

// handleAcceptTimeout handles an accept that has reached the listener's deadline. waited is the time that the accept
// took. After quietPeriodsToClose quiet periods it returns false. Otherwise it releases the slot, sets the next deadline
// and returns true.
func (l *clientListener) handleAcceptTimeout(waited time.Duration) (more bool) {
	l.quietPeriods++
	if waited < listenerQuietPeriod/2 { // an accept that begins after its deadline does not check for connections
		l.quietPeriods = 0
	}
	if l.quietPeriods >= quietPeriodsToClose {
		return false
	}
	<-l.clients.connSlots
	_ = l.listener.SetDeadline(time.Now().Add(listenerQuietPeriod)) // fails on a closed listener, as the next accept does
	return true
}

// newConn returns the client connection for a socket that was accepted at the given time.
func (l *clientListener) newConn(conn netcalls.Conn, rawConn syscall.RawConn, at policy.Seconds) *clientConn {
	shared := l.services
	c := &clientConn{
		services: shared, set: l.clients, number: l.accepted,
		conn: netcalls.RetryingConn{Conn: conn, Sleep: shared.calls.Sleep}, rawConn: rawConn,
		permits: make(chan struct{}, maxPipelined), done: make(chan struct{}), resume: make(chan struct{}, 1),
		keptAt: neverKept,
	}
	c.reader = clientReader{
		client: c, services: shared, parser: l.parser, buffer: readbuf.NewBuffer(shared.inputBudget, shared.inputBudget.Share(requestReserveShare)),
		arrivals: newArrivalTracker(rawConn, shared.loop.StallDetector(), at), connectedAt: at - connectionAge(rawConn),
	}
	return c
}
