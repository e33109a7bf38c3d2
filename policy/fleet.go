package policy

// smallFleetSize is the maximum number of gateways at which each has enough traffic to judge every endpoint
// by its own attempts. In a larger fleet a gateway depends on gossip, and many gateways act on the same
// gossip.
const smallFleetSize = 12

// isLargeFleet reports whether the fleet is too large for a gateway to judge every endpoint by its own
// attempts.
func isLargeFleet(gatewayCount int) bool { return gatewayCount > smallFleetSize }
