package proxy

import (
	"os"

	"reedlead/internal/netcalls"
)

// The connection limits leave a reserve of descriptors. The process may still run out of them, such as when it can open
// fewer than its configuration says. Connections are then evicted to free descriptors for discovery, new connections
// and files.

const (
	// evictionDivisor sets how many client connections to evict when no descriptor is left: about 1/evictionDivisor of
	// them.
	evictionDivisor = 8
	// limitRecoveryDivisor determines how fast a lowered client limit recovers: each check that finds a free descriptor
	// raises it by about 1/limitRecoveryDivisor of the configured limit.
	limitRecoveryDivisor = 32
)

// probeDescriptor opens and closes a file, which fails if no descriptor is free.
func probeDescriptor() error {
	file, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	return file.Close()
}

// descriptorGuard evicts connections and lowers the client limit when descriptors run out, and later raises the limit
// again. The event loop owns it.
type descriptorGuard struct {
	services  *services
	clients   *clientSet
	endpoints *endpointSet
	// probe fails if no descriptor is free.
	probe func() error
}

// check evicts connections if no descriptor is free. Otherwise it raises a lowered client limit.
func (g *descriptorGuard) check() {
	s := g.clients
	if !g.evictIfExhausted(g.probe()) && s.limit < s.configuredLimit {
		s.limit = min(s.configuredLimit, s.limit+max(1, s.configuredLimit/limitRecoveryDivisor))
	}
}

// evictIfExhausted reports whether err says that no descriptor is left. If so, it lowers the client limit and evicts
// connections. It starts with idle backend connections, since their loss costs at most a new dial, and goes on with
// client connections.
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
	s.evictDownTo(s.limit-1, evictForRequest, nil)
	s.closeLingering()
	return true
}
