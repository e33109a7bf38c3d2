package policy

// smallFleetSize is the number of gateways up to which each sees enough of the traffic to judge every
// endpoint by itself. The gateways of a larger fleet see little of an endpoint, and many of them act on the
// same gossip.
const smallFleetSize = 12

// isLargeFleet tells whether a gateway is one of too many to judge every endpoint by itself.
func isLargeFleet(gatewayCount int) bool { return gatewayCount > smallFleetSize }
