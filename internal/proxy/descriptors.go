package proxy

import (
	"os"

	"reedlead/internal/netcalls"
)

// Descriptors: the bounds on connections leave a reserve, and where the process gets fewer than its
// configuration says, idle clients make room, so that discovery, backends and files are never kept waiting.

const (
	// Of the clients, that go when there is no descriptor left, and of their bound, that comes back with each
	// check that finds one.
	evictShare         = 8
	limitRecoveryShare = 32
)

// spareDescriptor fails if no descriptor is to be had.
func probeDescriptor() error {
	f, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	return f.Close()
}

// checkDescriptors makes room before a call fails that has nobody to tell of it, and gives the bound on
// clients back once there is room again.
func (p *Proxy) checkDescriptors() {
	if s := &p.clients; !p.freeDescriptorsAfter(p.probeDescriptor()) && s.limit < s.configuredLimit {
		s.limit = min(s.configuredLimit, s.limit+max(1, s.configuredLimit/limitRecoveryShare))
	}
}

// makeRoomFor tells whether a call failed for want of descriptors. Idle connections make room then: those to
// backends first, which cost a new one at most, and clients that are owed nothing, those idle for longest first.
func (p *Proxy) freeDescriptorsAfter(err error) bool {
	if !netcalls.IsOutOfDescriptors(err) {
		return false
	}
	s := &p.clients
	n := max(1, s.staying()/evictShare)
	p.warn("no descriptor left", "clients", s.open(), "backends", p.endpoints.openConns)
	for range max(1, n/2) {
		if !p.evictIdle() {
			break
		}
	}
	s.limit = max(minClients, min(s.limit, s.staying()-n))
	s.makeRoom(nil)
	return true
}
