package policy

// The owner of a customer: the one gateway that counts the customer's window against the whole quota.

// receives tells whether the customer's requests come to a gateway, of gatewayCount in the fleet.
func (c *customer) receives(gateway, gatewayCount int) bool {
	distance := (gateway - c.firstGateway + gatewayCount) % gatewayCount
	return distance < c.gatewayCount
}

// findPrimaryOwner returns the customer's owner as long as all gateways are reachable.
func (g *Gateway) findPrimaryOwner(c *customer) int {
	return g.ringSuccessor(c, func(int) bool { return true })
}

// ringSuccessor returns the first accepted gateway on the ring of those that receive the customer's requests,
// or this one if there is none.
func (g *Gateway) ringSuccessor(c *customer, accept func(gateway int) bool) int {
	owner, found := g.ring.successor(c.hash, func(gateway int) bool {
		return c.receives(gateway, g.settings.GatewayCount) && accept(gateway)
	})
	if !found {
		return g.settings.Self
	}
	return owner
}

// owner returns the gateway that counts the customer now: its primary owner, or the next one on the ring if
// that is unreachable.
func (g *Gateway) owner(c *customer) int {
	switch {
	case !g.settings.PeerMessages || c.gatewayCount == 1:
		return g.settings.Self
	case c.gatewayCount == 0 || g.protocol.reachable(c.primaryOwner):
		return c.primaryOwner
	}
	return g.ringSuccessor(c, g.protocol.reachable)
}
