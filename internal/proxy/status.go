package proxy

import "github.com/tidwall/redcon"

// gatewayStatus is the state of the whole gateway that client connections depend on. Proxy implements it. Event loop
// only.
type gatewayStatus interface {
	// isReady reports whether health checks of this gateway succeed.
	isReady() bool
	// isDraining reports whether connections are closed once they are idle, because the process is shutting down.
	isDraining() bool
}

// isReady implements gatewayStatus. Even without an endpoint in service, the gateway becomes ready at readyAt: it
// replies to requests, although it can serve them only once an endpoint is in service.
func (p *Proxy) isReady() bool {
	return p.endpoints.hasInService() || p.loop.Now() >= p.readyAt
}

// isDraining implements gatewayStatus.
func (p *Proxy) isDraining() bool { return p.drain.acceptingStopped }

// replyToPing replies to a health check of this gateway. Event loop only.
func (c *clientConn) replyToPing() {
	if !c.set.status.isReady() {
		c.replyLocally(redcon.AppendError(nil, "LOADING no backends known yet"), false)
		return
	}
	c.replyLocally(redcon.AppendString(nil, "PONG"), false)
}
