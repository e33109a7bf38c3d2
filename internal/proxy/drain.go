package proxy

import (
	"net"
	"time"

	"reedlead/internal/eventloop"
	"reedlead/policy"
)

const (
	// acceptGrace is how long after the signal new connections are accepted. They come for up to 0.4 s after a
	// planned restart was announced, and what is lost from 0.7 s on counts: the listener closes between the two.
	acceptGrace = 500 * time.Millisecond
	// SIGKILL may follow sigkillDelay after the longest timeout, which counts as maxSigkillTimeout where it is longer.
	// By sigkillMargin before that, all requests have their reply, and by half of it each connection is closed.
	sigkillDelay      = 700 * time.Millisecond
	maxSigkillTimeout = 3 * time.Second
	sigkillMargin     = 150 * time.Millisecond
)

// drain is a graceful shutdown: it stops accepting connections, closes those that are idle, and after a time fails the
// requests that are still open. The event loop owns it.
type drain struct {
	services *services
	listener *net.TCPListener
	clients  *clientSet
	requests *requestTable

	acceptGrace time.Duration // how long after the signal new connections are accepted
	timeout     time.Duration // after which all requests have their reply at the latest

	acceptingStopped bool // no new connections are accepted, and connections close between requests
	listenerEnded    bool // the listener is closed, and all pending connections were accepted
	timedOut         bool // requests that come now are rejected at once
}

// init sets the times by the deadlines of the request classes.
func (d *drain) init(
	shared *services, listener *net.TCPListener, clients *clientSet, requests *requestTable, classes []policy.Class,
) {
	longest := policy.Seconds(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	sigkillAfter := min(eventloop.Duration(longest), maxSigkillTimeout) + sigkillDelay
	d.services, d.listener, d.clients, d.requests = shared, listener, clients, requests
	d.acceptGrace, d.timeout = acceptGrace, sigkillAfter-sigkillMargin
}

// start begins the shutdown, on the signal to end.
func (d *drain) start() {
	d.services.log.Info("draining")
	d.services.loop.After(d.acceptGrace.Seconds(), d.stopAccepting)
	d.services.loop.After(d.timeout.Seconds(), d.expire)
}

// complete reports whether the process may end.
func (d *drain) complete() bool {
	return d.acceptingStopped && d.listenerEnded && d.clients.open() == 0
}

// stopAccepting ends the time in which new connections are accepted. From here on all that is open has time until
// expire: clients go on sending on connections that stay open.
func (d *drain) stopAccepting() {
	d.acceptingStopped = true
	_ = d.listener.SetDeadline(time.Now()) // it fails on a closed listener alone
	d.clients.closeIdle()
}

// expire ends a shutdown that takes too long: open requests fail while their clients can get the reply. What comes
// after that is rejected at once, until its connection is quiet for long enough to be closed.
func (d *drain) expire() {
	d.timedOut = true
	if !d.acceptingStopped {
		d.stopAccepting()
	}
	d.requests.failOpenRequests(shuttingDown)
	d.clients.closeIdle()
	d.services.loop.After(sigkillMargin.Seconds()/2, func() {
		for c := range d.clients.conns {
			c.shutDownSending()
		}
	})
	d.services.loop.After(sigkillMargin.Seconds()*3/4, func() {
		for c := range d.clients.conns {
			c.close(drainDeadline, nil)
		}
		d.listenerEnded = true // it may wait for a free slot until SIGKILL comes
	})
}
