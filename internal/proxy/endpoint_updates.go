package proxy

import (
	"context"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/policy"
)

// followDiscovery runs the discovery client until ctx ends. The client starts from the version of the endpoint list in
// the configuration, and switches to the discovery address of each reloaded configuration.
func (p *Proxy) followDiscovery(ctx context.Context, reloads <-chan config.Config) {
	options := p.discovery
	options.DialContext = p.calls.DialContext
	options.Notify = func(e discovery.Event) {
		p.loop.Post(p.clock.Now(), func() { p.handleDiscoveryEvent(e) })
	}
	addresses := make(chan string)
	go p.forwardAddresses(ctx, reloads, addresses)
	discovery.New(p.cfg.DiscoveryAddress, p.cfg.InitialEndpoints.Version, options).Run(ctx, addresses)
}

// forwardAddresses sends the address of each reloaded configuration to the discovery client, until ctx ends.
func (p *Proxy) forwardAddresses(ctx context.Context, reloads <-chan config.Config, addresses chan<- string) {
	for {
		select {
		case cfg := <-reloads:
			p.log.Info("configuration reloaded", "discovery", cfg.DiscoveryAddress)
			select {
			case addresses <- cfg.DiscoveryAddress:
			case <-ctx.Done():
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// handleDiscoveryEvent applies an update of the endpoint list, or logs a problem that the discovery client reports. It
// also evicts connections if the client found no free descriptor. Event loop only.
func (p *Proxy) handleDiscoveryEvent(e discovery.Event) {
	switch e := e.(type) {
	case discovery.Update:
		p.applyList(e.List)
	case discovery.SkippedEndpoint:
		p.warn("endpoint entry skipped", "error", e.Err)
	case discovery.WatchEnded:
		p.warn("watch ended", "error", e.Err, "address", e.Address, "version", e.Version)
		p.descriptors.evictIfExhausted(e.Err)
	}
}

// applyList passes a complete endpoint list, or a change of it, to the connection pools and the decision module.
func (p *Proxy) applyList(list discovery.List) {
	p.startTimes.Sample(p.clock.Now(), p.wallClock())
	endpoints := make([]policy.Endpoint, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		endpoints = append(endpoints, policy.Endpoint{
			ID: e.ID, Zone: e.Zone, Cell: e.Cell, State: e.EndpointState(),
			Address: e.Addr, Weight: e.Weight, StartedAt: p.startTimes.EventTime(e.ID, e.StartedMS),
		})
	}
	p.endpoints.apply(list)
	p.startTimes.RemoveUnlisted(func(id string) bool { return p.endpoints.byID[id] != nil })
	p.decider.HandleEndpoints(p.loop.Now(), endpoints, list.Full)
}
