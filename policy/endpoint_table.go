package policy

// The list of servers.

import (
	"cmp"
	"slices"
)

// endpointTable holds the endpoints by their list.
type endpointTable struct {
	endpoints           map[string]*endpoint
	endpointOrder       []*endpoint
	endpointsByHash     map[uint16]*endpoint
	endpointsPerGateway float64 // servers a gateway
}

// list takes in a list of servers; it calls restarted for each that has started anew.
func (g *Gateway) applyEndpointList(list []Endpoint, whole bool, restarted func(*endpoint)) {
	for _, s := range g.endpointOrder {
		s.listed = s.listed && !whole
	}
	for _, e := range list {
		s := g.endpoints[e.ID]
		if s == nil {
			s = newEndpoint(g)
			s.hash = uint16(hashName(e.ID))
			s.slowStartCredit = g.initialCredit(s)
			g.endpoints[e.ID] = s
			g.indexByHash(s)
		} else if e.StartedAt != s.StartedAt && e.StartedAt > 0 {
			restarted(s)
		}
		s.Endpoint, s.listed = e, e.State != Removed
	}
	g.endpointOrder = g.endpointOrder[:0]
	for _, s := range g.endpoints {
		if s.listed {
			g.endpointOrder = append(g.endpointOrder, s)
		}
	}
	slices.SortFunc(g.endpointOrder, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
}

// forgetServers drops servers that are not listed any more once nothing is out there.
func (g *Gateway) evictRemovedEndpoints() {
	before := len(g.endpoints)
	for id, s := range g.endpoints {
		if !s.listed && s.inFlight == 0 {
			delete(g.endpoints, id)
		}
	}
	if len(g.endpoints) == before {
		return
	}
	clear(g.endpointsByHash)
	for _, s := range g.endpoints {
		g.indexByHash(s)
	}
}

// index finds a server by its hash. Of two with the same one, what is told of either is not used.
func (g *Gateway) indexByHash(s *endpoint) {
	if _, twice := g.endpointsByHash[s.hash]; twice {
		g.endpointsByHash[s.hash] = nil
		return
	}
	g.endpointsByHash[s.hash] = s
}

// Servers takes the list of servers, whole or only what changed.
func (g *Gateway) HandleEndpoints(now float64, list []Endpoint, whole bool) {
	g.clock.advance(now)
	before := float64(max(1, len(g.endpointOrder)))
	g.applyEndpointList(list, whole, func(s *endpoint) {
		s.latencyFactor, s.ejectedUntil, s.consecutiveConnectFailures, s.consecutiveRejections, s.connections, s.slowStartCredit = 1, 0, 0, 0, 0, g.initialCredit(s)
		clear(s.outlierScores)
		clear(s.consecutiveErrors)
	})
	g.endpointsPerGateway = float64(len(g.endpointOrder)) / float64(g.settings.GatewayCount)
	g.updateLoadEstimates()
	g.concurrencyLimit *= float64(max(1, len(g.endpointOrder))) / before
	g.dispatchQueued()
}
