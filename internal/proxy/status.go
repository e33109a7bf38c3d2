package proxy

import "github.com/tidwall/redcon"

// gatewayStatus is what client connections ask of the gateway as a whole: the proxy. Event loop only.
type gatewayStatus interface {
	// isReady reports whether this gateway can serve requests.
	isReady() bool
	// isDraining reports whether connections close between requests.
	isDraining() bool
}

// isReady implements gatewayStatus. While discovery is down and the list that the gateway was started with names no
// endpoint in service, it is ready all the same after a moment: it replies to what comes, and serves once
// discovery is back.
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
