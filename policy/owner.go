package policy

// ownerDirectory tells which gateway owns a customer: the one that counts the customer's window against the
// whole quota. All gateways of a fleet agree on it as long as they can reach the same peers.
type ownerDirectory struct {
	self, gatewayCount int
	peerMessages       bool // without these each gateway owns all its customers
	ring               ownerRing
	reachable          func(gateway int) bool // tells whether a gateway is this one or a peer that replies
}

// newOwnerDirectory returns the directory of a gateway. reachable tells whether a gateway is this one or a
// peer that replies.
func newOwnerDirectory(settings Settings, reachable func(gateway int) bool) *ownerDirectory {
	return &ownerDirectory{
		self:         settings.Self,
		gatewayCount: settings.GatewayCount,
		peerMessages: settings.PeerMessages,
		ring:         newOwnerRing(settings.GatewayCount),
		reachable:    reachable,
	}
}

// owner returns the gateway that counts the customer now: its primary owner, or the next one on the ring if
// that is unreachable.
func (d *ownerDirectory) owner(c *customer) int {
	switch {
	case !d.peerMessages || c.gatewayCount == 1:
		return d.self
	case c.gatewayCount == 0 || d.reachable(c.primaryOwner):
		return c.primaryOwner
	}
	return d.successor(c, d.reachable)
}

// findPrimaryOwner returns the customer's owner while all gateways are reachable.
func (d *ownerDirectory) findPrimaryOwner(c *customer) int {
	return d.successor(c, func(int) bool { return true })
}

// successor returns the first accepted gateway on the ring of those that receive the customer's requests, or
// this one if there is none.
func (d *ownerDirectory) successor(c *customer, accept func(gateway int) bool) int {
	owner, found := d.ring.successor(c.hash, func(gateway int) bool {
		return c.isServedBy(gateway, d.gatewayCount) && accept(gateway)
	})
	if !found {
		return d.self
	}
	return owner
}

// isServedBy tells whether the customer's requests come to a gateway, of gatewayCount in the fleet. They come
// to several in a row, which may go on from the last gateway to the first.
func (c *customer) isServedBy(gateway, gatewayCount int) bool {
	distance := (gateway - c.firstGateway + gatewayCount) % gatewayCount
	return distance < c.gatewayCount
}
