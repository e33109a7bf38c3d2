// Package proxy carries out on real sockets what the decision module, package policy, decides, and hands it the
// outcomes. It decides nothing about quotas, endpoints or retries itself.
package proxy

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/internal/peerlink"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

const (
	// inputMemoryShare is the share of the memory that unfinished and queued input may take, beside a first buffer
	// for each connection. Garbage that is not collected yet takes about as much again, and the program itself needs
	// some MB.
	inputMemoryShare = 0.2
	defaultMemoryMB  = 192 // where the configuration gives none
	sweepInterval    = time.Second
	// readyTimeout is how long after the start a list with an endpoint in service is waited for before this
	// gateway reports that it is ready. Nine in ten gateways have to be within 10 s.
	readyTimeout = 2 * time.Second
)

// Proxy is a gateway on real sockets. It carries out the actions of the decision module and hands it the events.
//
// The event loop owns all of its state that is not said to belong to another goroutine. Goroutines of their own
// are: the client listener, until its socket is closed; a reader for each connection, until the connection ends; one
// for each dial and each write that takes long; the discovery client, until serve returns; and the receiver and
// the sender of the peer link, until it is closed. All of them post what they find to the loop.
type Proxy struct {
	services

	cfg        config.Config
	drain      drain
	startTimes discovery.StartTimes
	// wallClock returns Unix time by the wall clock, which may be stepped.
	wallClock func() policy.Seconds

	listener    *net.TCPListener
	clients     clientSet
	requests    requestTable
	attempts    attemptRunner
	endpoints   endpointSet
	descriptors descriptorGuard
	trace       tracer
	peers       *peerlink.Link    // nil without peer messages
	discovery   discovery.Options // but for what followDiscovery adds
	// readyAt is when the gateway reports that it is ready even without an endpoint in service.
	readyAt policy.Seconds
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each configuration that
// comes on reloads, which may be nil, the address of discovery is taken over.
func Run(ctx context.Context, cfg config.Config, reloads <-chan config.Config, log *slog.Logger) error {
	p, err := open(ctx, cfg, log, netcalls.System())
	if err != nil {
		return err
	}
	gateway, err := policy.New(cfg.Settings.Settings, cfg.Seed, p.loop.Now(), p)
	if err != nil {
		p.close()
		return fmt.Errorf("settings: %w", err)
	}
	p.serve(ctx, reloads, gateway)
	return nil
}

// open makes a proxy and its sockets; nothing is read from them yet.
func open(ctx context.Context, cfg config.Config, log *slog.Logger, calls *netcalls.Calls) (*Proxy, error) {
	p := &Proxy{
		services:  services{log: log, calls: calls, clock: eventloop.NewClock()},
		cfg:       cfg,
		wallClock: func() policy.Seconds { return eventloop.UnixSeconds(time.Now()) },
		discovery: discovery.DefaultOptions(cfg.Settings.DrainGrace),
	}
	p.loop = eventloop.New(p.clock, p.logPanic)
	p.startTimes.Sample(p.loop.Now(), p.wallClock())
	p.readyAt = p.loop.Now() + readyTimeout.Seconds()
	input := int64(float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20) * inputMemoryShare)
	p.inputBudget = readbuf.NewBudget(input, int64(float64(input)*readAheadBudgetShare))
	if err := p.openSockets(ctx); err != nil {
		return nil, err
	}
	p.connectComponents()
	return p, nil
}

// connectComponents makes the parts, once the sockets are open, and hands each of them the others that it uses.
func (p *Proxy) connectComponents() {
	shared, configured := &p.services, &p.cfg.Settings
	p.trace = tracer{services: shared, classes: configured.Classes}
	p.requests = requestTable{
		services: shared, settings: configured, drain: &p.drain, trace: &p.trace, attempts: &p.attempts,
		byID: map[string]*request{},
	}
	p.attempts = attemptRunner{
		services: shared, settings: configured, endpoints: &p.endpoints, requests: &p.requests, trace: &p.trace,
	}
	p.descriptors = descriptorGuard{
		services: shared, clients: &p.clients, endpoints: &p.endpoints, probe: probeDescriptor,
	}
	p.drain.init(shared, p.listener, &p.clients, &p.requests, configured.Classes)
	p.clients.init(shared, &p.requests, p, p.cfg.MaxDescriptors)
	p.endpoints.init(shared, &p.attempts, &p.descriptors, &p.trace, p.cfg)
}

// openSockets makes the listener and, with peer messages, the link to the other gateways.
func (p *Proxy) openSockets(ctx context.Context) error {
	address, err := net.ResolveTCPAddr("tcp", p.cfg.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	p.listener, err = netcalls.RetryAtStart(ctx, p.calls.Sleep, func() (*net.TCPListener, error) {
		return p.calls.Listen(address)
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if !p.cfg.Settings.PeerMessages {
		return nil
	}
	if p.peers, err = p.openPeerLink(ctx); err != nil {
		_ = p.listener.Close() // nothing has come on it
	}
	return err
}

// close closes the sockets that open made.
func (p *Proxy) close() {
	_ = p.listener.Close() // nothing is accepted any more
	if p.peers != nil {
		p.peers.Close()
	}
}

// serve starts the goroutines and runs the event loop to the end of the drain.
func (p *Proxy) serve(ctx context.Context, reloads <-chan config.Config, module decider) {
	defer p.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.decider = module
	p.applyList(p.cfg.InitialEndpoints)
	go p.followDiscovery(background, reloads)
	go p.acceptClients(p.listener)
	if p.peers != nil {
		go p.receivePeerMessages()
	}
	p.loop.Every(sweepInterval, p.sweep)
	p.loop.Run(p.drain.complete, ctx.Done(), p.drain.start)
}

// sweep samples the wall clock, closes connections that were idle for too long, and checks that descriptors are free. It
// runs once a second.
func (p *Proxy) sweep() {
	p.startTimes.Sample(p.clock.Now(), p.wallClock())
	p.endpoints.sweep()
	p.clients.sweep()
	p.descriptors.check()
}
