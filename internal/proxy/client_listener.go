package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/internal/command"
	"reedlead/internal/readbuf"
)

const (
	// listenerQuietPeriod is how long no connection must come, once the event loop has given the listener a deadline,
	// for the listener to close.
	listenerQuietPeriod = 10 * time.Millisecond
	// quietWaitsToClose is how many such periods must pass in a row.
	quietWaitsToClose = 2
)

// clientListener accepts the connections of clients and starts their readers. Its goroutine, which Proxy.serve starts,
// owns it. When the event loop gives the listener a deadline, it accepts what has come before that, closes the
// listener, tells the event loop and ends. It also ends with the event loop.
type clientListener struct {
	proxy      *Proxy
	listener   *net.TCPListener
	parser     *command.Parser
	accepted   uint64 // connections so far
	quietWaits int    // periods after the deadline in which no connection came
}

// acceptClients runs the listener until it ends.
func (p *Proxy) acceptClients(listener *net.TCPListener) {
	l := &clientListener{
		proxy: p, listener: listener, parser: command.NewParser(p.cfg.Settings.Settings),
	}
	defer func() {
		_ = listener.Close() // a second close of it fails, and changes nothing
		p.post(p.clock.now(), func() { p.accepted = true })
	}()
	for {
		select {
		case p.clients.places <- struct{}{}:
		case <-p.done:
			return
		}
		if !l.acceptOne() {
			return
		}
	}
}

// acceptOne accepts one connection, for which the place is taken, or gives the place back. It tells whether to go on.
func (l *clientListener) acceptOne() (goOn bool) {
	p := l.proxy
	startedAt := time.Now()
	conn, err := p.calls.Accept(l.listener)
	switch {
	case errors.Is(err, net.ErrClosed):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return l.waitQuietly(time.Since(startedAt))
	}
	var rawConn syscall.RawConn
	if err == nil {
		if rawConn, err = conn.SyscallConn(); err != nil {
			_ = conn.Close() // nobody knows it yet
		}
	}
	at := p.clock.now()
	if err != nil {
		<-p.clients.places
		p.post(at, func() {
			p.warn("accept failed", "error", err)
			p.freeDescriptorsAfter(err)
		})
		p.calls.Sleep(netcalls.RetryInterval) // without descriptors, other connections must end first
		return true
	}
	l.accepted++
	c := l.newConn(conn, rawConn, at)
	p.post(at, func() { p.clients.add(c) })
	go c.reader.run()
	return true
}

// waitQuietly handles a passed deadline of the listener after a wait. It tells whether to go on, with a new deadline.
func (l *clientListener) waitQuietly(waited time.Duration) (goOn bool) {
	l.quietWaits++
	if waited < listenerQuietPeriod/2 { // accept may have returned without a look, as the deadline had passed already
		l.quietWaits = 0
	}
	if l.quietWaits >= quietWaitsToClose {
		return false
	}
	<-l.proxy.clients.places
	_ = l.listener.SetDeadline(time.Now().Add(listenerQuietPeriod)) // it fails on a closed listener, as accept will
	return true
}

// newConn makes the connection that was accepted at a time.
func (l *clientListener) newConn(conn netcalls.Conn, rawConn syscall.RawConn, at float64) *clientConn {
	p := l.proxy
	c := &clientConn{
		proxy: p, number: l.accepted, conn: netcalls.RetryingConn{Conn: conn, Sleep: p.calls.Sleep}, rawConn: rawConn,
		permits: make(chan struct{}, maxPipelined), done: make(chan struct{}), resume: make(chan struct{}, 1),
	}
	c.reader = clientReader{
		client: c, proxy: p, parser: l.parser, buffer: readbuf.NewBuffer(p.inputBudget),
		arrivals: arrivalTracker{lastEmptyAt: p.loopLag.onScheduleUntil(at)},
	}
	return c
}
