package policy

// The ring of gateway numbers on which customers find their owner.

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Times are in seconds.
const (
	ringPoints    = 512  // points a gateway, as in the post, but
	maxRingPoints = 8192 // on the whole ring no more than about so many
)

// ownerRing holds the points of all gateways.
type ownerRing struct {
	ring []ringPoint
}

type ringPoint struct {
	hash    uint64
	gateway int
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashOf is a customer's point on the ring.
func hashCustomer(customer string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(customer))
	return mixBits(h.Sum64())
}

// walk goes on the ring from the customer's point to the first gateway that serves it, and with
// skip to the first that is not silent.
func (g *Gateway) ringSuccessor(c *customer, skip bool) int {
	after := func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) }
	i, _ := slices.BinarySearchFunc(g.ring, c.hash, after)
	for n := range g.ring {
		gw := g.ring[(i+n)%len(g.ring)].gateway
		if d := (gw - c.firstGateway + g.settings.GatewayCount) % g.settings.GatewayCount; d < c.gatewayCount && (!skip || g.reachable(gw)) {
			return gw
		}
	}
	return g.settings.Self
}

// alive tells that a peer answers: reports in a row without one take it off the ring for a while.
func (g *Gateway) reachable(gw int) bool {
	return g.protocol.reachable(gw)
}

// owner is the gateway that counts the customer.
func (g *Gateway) owner(c *customer) int {
	switch {
	case !g.settings.PeerMessages || c.gatewayCount == 1:
		return g.settings.Self
	case c.gatewayCount == 0 || g.reachable(c.primaryOwner):
		return c.primaryOwner
	}
	return g.ringSuccessor(c, true)
}
