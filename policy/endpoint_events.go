package policy

// The events of Gateway that concern endpoints: the endpoint list, health checks and the ends of attempts.

// HandleEndpoints takes the endpoint list: all entries if it is complete, else those that changed.
func (g *Gateway) HandleEndpoints(now Seconds, list []Endpoint, complete bool) {
	g.clock.advance(now)
	before := len(g.endpoints.listed)
	g.endpoints.apply(list, complete)
	after := len(g.endpoints.listed)
	g.endpointsPerGateway = float64(after) / float64(g.settings.GatewayCount)
	g.updateLoadEstimates()
	g.concurrencyLimit *= float64(max(1, after)) / float64(max(1, before))
	g.dispatchQueued()
}
