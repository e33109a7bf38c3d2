package policy

// ownerDirectory determines the owner of a customer: the gateway that counts the customer's usage against
// the whole quota. If peer messages are enabled, the gateways that receive the customer's requests
// determine the same owner while all of them are reachable.
type ownerDirectory struct {
	self, gatewayCount int
	peerMessages       bool // if false, each gateway owns all its customers
	ring               ownerRing
	reachable          func(gateway int) bool
}

// newOwnerDirectory returns the directory of a gateway. reachable must return true for this gateway and for
// peers that reply.
func newOwnerDirectory(settings Settings, reachable func(gateway int) bool) *ownerDirectory {
	return &ownerDirectory{
		self:         settings.Self,
		gatewayCount: settings.GatewayCount,
		peerMessages: settings.PeerMessages,
		ring:         newOwnerRing(settings.GatewayCount),
		reachable:    reachable,
	}
}

// owner returns the current owner of the customer: its primary owner or, while that is unreachable, the
// next of the customer's gateways on the ring that is reachable. It returns this gateway if none of them is
// reachable, if peer messages are disabled, or if the customer has a single gateway.
func (d *ownerDirectory) owner(c *customer) int {
	switch {
	case !d.peerMessages || c.gatewayCount == 1:
		return d.self
	case c.gatewayCount == 0 || d.reachable(c.primaryOwner):
		return c.primaryOwner
	}
	return d.successor(c, d.reachable)
}

// findPrimaryOwner returns the first of the customer's gateways on the ring, starting at the customer's
// hash.
func (d *ownerDirectory) findPrimaryOwner(c *customer) int {
	return d.successor(c, func(int) bool { return true })
}

// successor returns the first gateway on the ring, starting at the customer's hash, that receives the
// customer's requests and for which accept returns true. If there is none, it returns this gateway.
func (d *ownerDirectory) successor(c *customer, accept func(gateway int) bool) int {
	owner, found := d.ring.successor(c.hash, func(gateway int) bool {
		return c.isServedBy(gateway, d.gatewayCount) && accept(gateway)
	})
	if !found {
		return d.self
	}
	return owner
}

// isServedBy reports whether a gateway receives the customer's requests, in a fleet of gatewayCount gateways.
// The gateways that receive them are consecutive and may wrap around from the last gateway to the first.
func (c *customer) isServedBy(gateway, gatewayCount int) bool {
	distance := (gateway - c.firstGateway + gatewayCount) % gatewayCount
	return distance < c.gatewayCount
}
