// Package proxy runs a gateway on real sockets. The decision module, package policy, decides about quotas, endpoints
// and retries. Package proxy executes its decisions and reports the outcomes to it.
package proxy

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
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
	// inputMemoryShare is the share of the process memory that buffered input, the arguments of open requests and
	// unwritten replies may use, in addition to one buffer of readbuf.InitialSize per connection. Garbage that has not
	// been collected takes about as much again, and the program itself needs several MB.
	inputMemoryShare = 0.2
	// requestReserveShare is the share of the input budget that buffered input of clients leaves to requests and replies,
	// and replyReserveShare is the share that requests leave to replies.
	requestReserveShare = 0.25
	replyReserveShare   = 0.125
	// replyMemoryShare is the share of the process memory that values may use which wait for a slow command of their
	// connection.
	replyMemoryShare = 0.1
	// customerMemoryShare is the share of the process memory that the state of customers may use.
	customerMemoryShare = 0.15
	// executedRequestShare is the share of the process memory that the IDs of requests that may have executed may use.
	executedRequestShare = 0.02
	defaultMemoryMB      = 192 // used if the configuration sets none
	minExecutedRequests  = 1024
	minCustomers         = 1024 // lower bound of the number of customers, for a process with little memory
	sweepInterval        = time.Second
	// readyTimeout is the time from the start until the gateway reports that it is ready even without an endpoint in
	// service. Nine in ten gateways have to be ready within 10 s.
	readyTimeout = 2 * time.Second
)

// Proxy is a gateway on real sockets. It executes the actions of the decision module and passes events to it.
//
// The event loop owns all state that is not documented as owned by another goroutine. These goroutines post events
// to the loop:
//   - the client listener
//   - a reader per client connection and per backend connection
//   - a writer for each client connection whose socket is full
//   - a goroutine per dial
//   - the discovery client
//   - the receiver of the peer link
//
// The writers of backend connections and the sender of the peer link post no events.
type Proxy struct {
	services

	cfg        config.Config
	drain      drain
	startTimes discovery.StartTimes
	// wallClock returns the Unix time, which jumps when the system clock is set.
	wallClock func() policy.Seconds

	listener    *net.TCPListener
	clients     clientSet
	requests    requestTable
	attempts    attemptRunner
	endpoints   endpointSet
	descriptors descriptorGuard
	trace       tracer
	peers       *peerlink.Link    // nil if peer messages are disabled
	discovery   discovery.Options // without the options that followDiscovery adds
	// readyAt is the time from which on the gateway reports that it is ready even without an endpoint in service.
	readyAt policy.Seconds
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. From each configuration received on
// reloads, which may be nil, only the discovery address is applied.
func Run(ctx context.Context, cfg config.Config, reloads <-chan config.Config, log *slog.Logger) error {
	p, err := open(ctx, cfg, log, netcalls.System())
	if err != nil {
		return err
	}
	gateway, err := policy.New(moduleSettings(cfg), cfg.Seed, p.loop.Now(), p)
	if err != nil {
		p.close()
		return fmt.Errorf("settings: %w", err)
	}
	p.serve(ctx, reloads, gateway)
	return nil
}

// processMemory returns the memory limit of the process in bytes.
func processMemory(cfg config.Config) int64 {
	return int64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)) << 20
}

// moduleSettings returns the settings of the decision module, with the numbers of customers and of executed
// requests that fit into their shares of the memory, and a random StartID: the configuration may hold the seed of an earlier start.
func moduleSettings(cfg config.Config) policy.Settings {
	s := cfg.Settings.Settings
	s.StartID = rand.Uint32()
	s.MaxCustomers = max(minCustomers, int(float64(processMemory(cfg))*customerMemoryShare)/policy.CustomerMemory)
	s.MaxExecutedRequests = max(
		minExecutedRequests, int(float64(processMemory(cfg))*executedRequestShare)/policy.ExecutedRequestMemory,
	)
	return s
}

// open creates a proxy and its sockets. Nothing is read from them yet.
func open(ctx context.Context, cfg config.Config, log *slog.Logger, calls *netcalls.Calls) (*Proxy, error) {
	p := &Proxy{
		services:  services{log: log, calls: calls, clock: eventloop.NewClock(), yield: runtime.Gosched},
		cfg:       cfg,
		wallClock: func() policy.Seconds { return eventloop.UnixSeconds(time.Now()) },
		discovery: discovery.DefaultOptions(cfg.Settings.DrainGrace),
	}
	p.loop = eventloop.New(p.clock, p.logPanic)
	p.startTimes.Sample(p.loop.Now(), p.wallClock())
	p.readyAt = p.loop.Now() + readyTimeout.Seconds()
	input := int64(float64(processMemory(cfg)) * inputMemoryShare)
	p.replyBudget = readbuf.NewBudget(int64(float64(processMemory(cfg))*replyMemoryShare), 0)
	p.inputBudget = readbuf.NewBudget(input, int64(float64(input)*readAheadReserveShare))
	if err := p.openSockets(ctx); err != nil {
		return nil, err
	}
	p.connectComponents()
	return p, nil
}

// connectComponents creates the components and links each to those that it uses. The sockets must be open.
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

// openSockets opens the client listener and, if peer messages are enabled, the link to the other gateways.
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
		_ = p.listener.Close() // nothing was accepted on it
	}
	return err
}

// close closes the sockets that open created.
func (p *Proxy) close() {
	_ = p.listener.Close() // fails if the listener is closed already
	if p.peers != nil {
		p.peers.Close()
	}
}

// serve applies the initial endpoint list, starts the goroutines and runs the event loop until the drain is complete. It
// then closes the sockets that open created.
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

// sweep runs every sweepInterval. It samples the wall clock, runs the periodic checks of the endpoints, the clients and
// the descriptors, and logs the resource usage.
func (p *Proxy) sweep() {
	p.startTimes.Sample(p.clock.Now(), p.wallClock())
	p.endpoints.sweep()
	p.clients.sweep()
	p.descriptors.check()
	p.logUsage()
}

// logUsage logs the sizes of what takes up memory, at debug level.
func (p *Proxy) logUsage() {
	p.log.Debug(
		"resource usage", "customers", p.decider.CustomerCount(), "requests", len(p.requests.byID),
		"clients", p.clients.open(), "input_budget_left", p.inputBudget.Available(), "queued_events", p.loop.QueuedEvents(),
		"clients_closing", p.clients.closing, "client_slots_used", len(p.clients.connSlots),
		"client_slots", cap(p.clients.connSlots), "close_requests", p.clients.closeRequests,
		"refused_closes", p.clients.refusedCloses,
	)
}
