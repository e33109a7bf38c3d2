package proxy

import (
	"os"

	"reedlead/internal/netcalls"
)

// The limits on connections leave a reserve of descriptors. Where the process gets fewer than its configuration says,
// idle connections make room, so that discovery, new connections and files never have to wait for one.

const (
	// evictionDivisor: one in so many client connections is closed when there is no descriptor left.
	evictionDivisor = 8
	// limitRecoveryDivisor: each check that finds a descriptor gives back one in so many of the limit on client
	// connections.
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

// checkDescriptors makes room before a call fails that nobody learns of, and gives the limit on clients back once there
// is room again.
func (p *Proxy) checkDescriptors() {
	s := &p.clients
	if !p.freeDescriptorsAfter(p.probeDescriptor()) && s.limit < s.configuredLimit {
		s.limit = min(s.configuredLimit, s.limit+max(1, s.configuredLimit/limitRecoveryDivisor))
	}
}

// freeDescriptorsAfter tells whether a call failed for want of descriptors. Idle connections are closed then: those to
// endpoints first, which cost a new dial at most, and clients that are owed nothing, those idle for longest first.
func (p *Proxy) freeDescriptorsAfter(err error) bool {
	if !netcalls.IsOutOfDescriptors(err) {
		return false
	}
	s := &p.clients
	evictions := max(1, s.staying()/evictionDivisor)
	p.warn("no descriptor left", "clients", s.open(), "backend_connections", p.endpoints.openConns)
	for range max(1, evictions/2) {
		if !p.endpoints.evictIdle() {
			break
		}
	}
	s.limit = max(minClients, min(s.limit, s.staying()-evictions))
	s.makeRoom(nil)
	return true
}
