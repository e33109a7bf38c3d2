package proxy

import (
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// minBackendConns is the lower bound of the limit on backend connections.
	minBackendConns = 8
	// backendConnShare is the fraction of the usable descriptors that backend connections may take.
	backendConnShare = 3.0 / 8
	// idleTimeoutShare is this gateway's idle timeout as a fraction of the endpoints' idle timeout. The gateway must
	// close an idle connection before the endpoint does: an attempt on a connection that the endpoint has closed may
	// end as Reset.
	idleTimeoutShare = 0.5
	// maxLocalFaultRetryTimeout limits the time for which a dial is retried because of a local fault.
	maxLocalFaultRetryTimeout = 250 * time.Millisecond
)

// endpoint is an entry of the endpoint list, together with the idle connections to the endpoint and the attempts that
// wait for a dial to it.
type endpoint struct {
	discovery.Endpoint
	state        policy.EndpointState
	idle         []*backendConn // ordered by idleSince, the most recently used last
	waiting      []*attempt     // attempts that wait for a dial, oldest first
	pendingDials int            // number of dials in progress
}

// endpointSet holds the endpoints of the endpoint list, and limits the number of connections to them. The event loop
// owns it. Other goroutines may read services, trace, dial, localFaultRetryTimeout, duplicateWindow and afterWrite,
// which do not change while the loop runs.
type endpointSet struct {
	services     *services
	attempts     *attemptRunner
	descriptors  *descriptorGuard
	trace        *tracer
	byID         map[string]*endpoint
	openConns    int // open connections and pending dials
	maxConns     int // limit on openConns
	idleTimeout  policy.Seconds
	writeTimeout policy.Seconds
	// commandBuffer holds the encoded command while the event loop writes it. It is reused for the next command.
	commandBuffer []byte

	dial                   func(addr string) (netcalls.Conn, error)
	localFaultRetryTimeout time.Duration
	duplicateWindow        policy.Seconds
	afterWrite             func(*backendConn) // test hook: runs after a writer's write, before commandWritten is set
}

// init initializes the set with the limits of the configuration.
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

// hasInService reports whether any endpoint is in service.
func (s *endpointSet) hasInService() bool {
	for _, e := range s.byID {
		if e.state == policy.InService {
			return true
		}
	}
	return false
}

// apply applies a complete endpoint list, or a change of it. It retires endpoints that have moved, restarted or left
// service.
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
			delete(s.byID, id) // attempts in flight keep a pointer to the endpoint
		}
	}
}

// retire closes the idle connections to an endpoint. Unless the endpoint is in service, the attempts that wait for a
// dial to it end as NotSent.
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

// sweep closes the connections that have been idle for longer than idleTimeout.
func (s *endpointSet) sweep() {
	for _, e := range s.byID {
		for len(e.idle) > 0 && s.services.loop.Now()-e.idle[0].idleSince > s.idleTimeout {
			e.idle[0].close(idleTimeout, nil)
		}
	}
}

// evictIdle closes the connection that has been idle for longest, and reports whether there was one.
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
