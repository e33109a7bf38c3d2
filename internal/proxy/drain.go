package proxy

import (
	"net"
	"time"

	"reedlead/internal/eventloop"
	"reedlead/policy"
)

const (
	// acceptGrace is the time from the shutdown signal until the listener starts to close. Clients may open connections
	// for 0.4 s after the signal, so it must not close earlier. A connection that arrives as it closes may be lost, which
	// counts as a failure from 0.7 s after the signal on, so it must close before that.
	acceptGrace = 500 * time.Millisecond
	// SIGKILL may follow the shutdown signal after min(longest timeout of a request class, maxSigkillTimeout) +
	// sigkillDelay. Requests that are still open sigkillMargin before SIGKILL get an error reply. The sending sides of
	// the connections are shut down sigkillMargin/2 before SIGKILL, and the connections are closed sigkillMargin/4
	// before it.
	sigkillDelay      = 700 * time.Millisecond
	maxSigkillTimeout = 3 * time.Second
	sigkillMargin     = 150 * time.Millisecond
)

// drain is a graceful shutdown: it stops accepting connections, closes idle ones, and fails the requests that are still
// open after a timeout. The event loop owns it.
type drain struct {
	services *services
	listener *net.TCPListener
	clients  *clientSet
	requests *requestTable

	acceptGrace time.Duration // time after the signal during which connections are accepted
	timeout     time.Duration // time from the signal until open requests fail

	acceptingStopped bool // the accept grace is over, and connections are closed once they are idle
	listenerEnded    bool // the listener is closed, or the drain no longer waits for it
	timedOut         bool // the timeout has passed, and new requests are rejected
}

// init sets the components and the times of the drain. The drain's timeout depends on the longest timeout of a class.
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

// start begins the drain. The event loop calls it on the shutdown signal.
func (d *drain) start() {
	d.services.log.Info("draining")
	d.services.loop.After(d.acceptGrace.Seconds(), d.stopAccepting)
	d.services.loop.After(d.timeout.Seconds(), d.expire)
}

// complete reports whether the process may exit.
func (d *drain) complete() bool {
	return d.acceptingStopped && d.listenerEnded && d.clients.open() == 0
}

// stopAccepting ends the accept grace: the listener accepts the waiting connections and closes, and connections are
// closed once they are idle.
func (d *drain) stopAccepting() {
	d.acceptingStopped = true
	_ = d.listener.SetDeadline(time.Now()) // fails only on a closed listener
	d.clients.closeIdle()
}

// expire runs at the timeout of the drain, sigkillMargin before SIGKILL. It fails the open requests, early
// enough for the error replies to reach the clients, and rejects later requests. sigkillMargin/2 later it shuts down
// the sending sides of the connections, and sigkillMargin/4 after that it closes those that are still open.
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
		d.listenerEnded = true // the listener's goroutine may wait for a free slot, and must not delay the exit
	})
}
