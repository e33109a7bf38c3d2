package proxy

import (
	"os"

	"reedlead/internal/netcalls"
)

// The limits on connections leave a reserve of descriptors. Where the process gets fewer than its configuration says,
// idle connections are evicted, so that discovery, new connections and files never have to wait for one.

const (
	// evictionDivisor: one in evictionDivisor client connections is closed when there is no descriptor left.
	evictionDivisor = 8
	// limitRecoveryDivisor: each check that finds a descriptor raises the limit on client connections by this
	// fraction of the configured one.
	limitRecoveryDivisor = 32
)

// probeDescriptor fails if no descriptor is to be had.
func probeDescriptor() error {
	file, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	return file.Close()
}

// descriptorGuard evicts connections, and lowers the limit on clients, when descriptors run out. The event loop owns it.
type descriptorGuard struct {
	services  *services
	clients   *clientSet
	endpoints *endpointSet
	// probe fails if no descriptor is to be had.
	probe func() error
}

// check probes for a free descriptor and evicts connections if there is none; else it raises a lowered limit on
// clients again.
func (g *descriptorGuard) check() {
	s := g.clients
	if !g.evictIfExhausted(g.probe()) && s.limit < s.configuredLimit {
		s.limit = min(s.configuredLimit, s.limit+max(1, s.configuredLimit/limitRecoveryDivisor))
	}
}

// evictIfExhausted reports whether a call failed for want of descriptors. Idle connections are closed then: those to
// endpoints first, which cost a new dial at most, and clients that wait for no reply, those idle for longest first.
func (g *descriptorGuard) evictIfExhausted(err error) bool {
	if !netcalls.IsOutOfDescriptors(err) {
		return false
	}
	s := g.clients
	evictions := max(1, s.notClosing()/evictionDivisor)
	g.services.warn("no descriptor left", "clients", s.open(), "backend_connections", g.endpoints.openConns)
	for range max(1, evictions/2) {
		if !g.endpoints.evictIdle() {
			break
		}
	}
	s.limit = max(minClients, min(s.limit, s.notClosing()-evictions))
	s.evictToLimit(nil)
	return true
}
