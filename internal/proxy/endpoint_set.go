package proxy

import (
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// minBackendConns is the least limit on backend connections.
	minBackendConns = 8
	// backendConnShare is what backend connections may take of the usable descriptors.
	backendConnShare = 3.0 / 8
	// idleTimeoutShare is when a connection is retired, as a share of the time after which endpoints close it: a
	// request that is written after that ends as a reset.
	idleTimeoutShare = 0.5
	// maxLocalFaultRetryTimeout is how long a dial that fails for something on this side is made again.
	maxLocalFaultRetryTimeout = 250 * time.Millisecond
)

// endpoint is an entry of the endpoint list with the connections to it.
type endpoint struct {
	discovery.Endpoint
	state        policy.EndpointState
	idle         []*backendConn // the one used last is the last
	waiting      []*attempt     // for a dial, oldest first
	pendingDials int            // under way
}

// endpointSet holds the endpoints of the list, and bounds the connections to them. The event loop owns it, but for
// trace, dial, localFaultRetryTimeout, duplicateWindow and afterWrite, which never change while it runs.
type endpointSet struct {
	services     *services
	attempts     *attemptRunner
	descriptors  *descriptorGuard
	trace        *tracer
	byID         map[string]*endpoint
	openConns    int // with those that are being dialed
	maxConns     int // of them
	idleTimeout  policy.Seconds
	writeTimeout policy.Seconds
	// commandBuffer is kept for the next command that is written.
	commandBuffer []byte

	dial                   func(addr string) (netcalls.Conn, error)
	localFaultRetryTimeout time.Duration
	duplicateWindow        policy.Seconds
	afterWrite             func(*backendConn) // for tests: runs when a writer has written its last byte, before that is noted
}

// init sets the limits by the configuration.
func (s *endpointSet) init(
	shared *services, attempts *attemptRunner, descriptors *descriptorGuard, trace *tracer, cfg config.Config,
) {
	dial, dialTimeout := shared.calls.Dial, cfg.Settings.DialTimeout
	s.services, s.attempts = shared, attempts
	s.descriptors, s.trace = descriptors, trace
	s.byID = map[string]*endpoint{}
	s.maxConns = max(minBackendConns, int(float64(usableDescriptors(cfg.MaxDescriptors))*backendConnShare))
	s.idleTimeout = cfg.Settings.ConnectionIdleTimeout * idleTimeoutShare
	s.writeTimeout = writeTimeout
	s.dial = func(addr string) (netcalls.Conn, error) { return dial(addr, dialTimeout) }
	s.localFaultRetryTimeout = min(dialTimeout, maxLocalFaultRetryTimeout)
	s.duplicateWindow = duplicateWindow
	s.afterWrite = func(*backendConn) {}
}

// hasInService reports whether a request could be sent to any endpoint.
func (s *endpointSet) hasInService() bool {
	for _, e := range s.byID {
		if e.state == policy.InService {
			return true
		}
	}
	return false
}

// apply applies a list, or a change of it. An attempt that waits for a dial to an endpoint that is not in service any
// more ends at once as not sent.
func (s *endpointSet) apply(list discovery.List) {
	listed := map[string]bool{}
	for _, entry := range list.Endpoints {
		listed[entry.ID] = true
		e := s.byID[entry.ID]
		if e == nil {
			e = &endpoint{}
			s.byID[entry.ID] = e
		}
		replaced := e.Addr != entry.Addr || e.StartedMS != entry.StartedMS
		e.Endpoint = entry
		e.state = entry.EndpointState()
		if replaced || e.state != policy.InService {
			s.retire(e)
		}
	}
	for id, e := range s.byID {
		if list.Full && !listed[id] {
			e.state = policy.Removed
			s.retire(e)
		}
		if e.state == policy.Removed {
			delete(s.byID, id) // its attempts keep it until they end
		}
	}
}

// retire closes an endpoint's idle connections and, unless it is in service, ends what waits for a dial.
func (s *endpointSet) retire(e *endpoint) {
	for len(e.idle) > 0 {
		e.idle[len(e.idle)-1].close(endpointRetired, nil)
	}
	if e.state == policy.InService {
		return
	}
	for len(e.waiting) > 0 {
		s.attempts.finishDeferred(e.waiting[0], policy.NotSent)
	}
}

// sweep closes the connections that were idle for too long.
func (s *endpointSet) sweep() {
	for _, e := range s.byID {
		for len(e.idle) > 0 && s.services.loop.Now()-e.idle[0].idleSince > s.idleTimeout {
			e.idle[0].close(idleTimeout, nil)
		}
	}
}

// evictIdle closes the idle connection that was used longest ago, and reports whether there was one.
func (s *endpointSet) evictIdle() bool {
	var oldest *backendConn
	for _, e := range s.byID {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince < oldest.idleSince) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close(evicted, nil)
	return true
}
