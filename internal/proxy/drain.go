package proxy

import (
	"time"

	"reedlead/policy"
)

const (
	// acceptGrace is how long after the signal new connections are accepted. They come for up to 0.4 s after a
	// planned restart was announced, and what is lost from 0.7 s on counts: the listener closes between the two.
	acceptGrace = 500 * time.Millisecond
	// SIGKILL may follow killDelay after the longest timeout, which counts as maxKillTimeout where it is longer.
	// By drainMargin before that, all requests have their reply, and by half of it each connection is closed.
	killDelay      = 700 * time.Millisecond
	maxKillTimeout = 3 * time.Second
	drainMargin    = 150 * time.Millisecond
)

// drainState is the progress of a graceful shutdown. The event loop owns it.
type drainState struct {
	acceptGrace time.Duration // how long after the signal new connections are accepted
	timeout     time.Duration // after which all requests have their reply at the latest

	started       bool // connections close between requests
	acceptorEnded bool // the listener is closed, and all pending connections were accepted
	timedOut      bool // requests that come now are rejected at once
}

func newDrainState(classes []policy.Class) drainState {
	longest := policy.Seconds(0)
	for _, class := range classes {
		longest = max(longest, class.Timeout)
	}
	killAfter := min(time.Duration(longest*float64(time.Second)), maxKillTimeout) + killDelay
	return drainState{acceptGrace: acceptGrace, timeout: killAfter - drainMargin}
}

// isDraining implements gatewayStatus.
func (p *Proxy) isDraining() bool { return p.drain.started }

// startDrain is called on the signal to end.
func (p *Proxy) startDrain() {
	p.log.Info("draining")
	p.loop.After(p.drain.acceptGrace.Seconds(), p.stopAccepting)
	p.loop.After(p.drain.timeout.Seconds(), p.endDrain)
}

// drained reports whether the process may end.
func (p *Proxy) drained() bool {
	return p.drain.started && p.drain.acceptorEnded && p.clients.open() == 0
}

// stopAccepting ends the time in which new connections are accepted. From here on all that is open has time until
// endDrain: clients go on sending on connections that stay open.
func (p *Proxy) stopAccepting() {
	p.drain.started = true
	_ = p.listener.SetDeadline(time.Now()) // it fails on a closed listener alone
	p.clients.closeIdle()
}

// endDrain ends a drain that takes too long: open requests fail while their clients can get the reply. What comes
// after that is rejected at once, until its connection is quiet for long enough to be closed.
func (p *Proxy) endDrain() {
	p.drain.timedOut = true
	if !p.drain.started {
		p.stopAccepting()
	}
	p.requests.failOpen(shuttingDown)
	p.clients.closeIdle()
	p.loop.After(drainMargin.Seconds()/2, func() {
		for c := range p.clients.conns {
			c.shutDownSending()
		}
	})
	p.loop.After(drainMargin.Seconds()*3/4, func() {
		for c := range p.clients.conns {
			c.close(drainDeadline, nil)
		}
		p.drain.acceptorEnded = true // it may wait for a free slot until SIGKILL comes
	})
}
