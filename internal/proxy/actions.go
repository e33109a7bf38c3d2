package proxy

import "reedlead/policy"

// The methods of this file and SendToPeer implement policy.Actions. The decision module calls them on the event loop.

// Send implements policy.Actions. A timeout of 0 stands for the request's deadline. An attempt with a negative timeout
// is not written, as it has timed out already. The write of the command must end within writeWithin; 0 sets no such
// limit.
func (p *Proxy) Send(id, endpointID string, timeout, writeWithin policy.Seconds) {
	r := p.requests.byID[id]
	if r == nil {
		p.warn("attempt ignored: request is not open", "id", id)
		return
	}
	p.attempts.send(r, endpointID, timeout, writeWithin)
}

// Cancel implements policy.Actions.
func (p *Proxy) Cancel(id string, number int) {
	if r := p.requests.byID[id]; r != nil {
		p.attempts.cancel(r, number)
	}
}

// HealthCheck implements policy.Actions.
func (p *Proxy) HealthCheck(endpointID string) { p.attempts.checkHealth(endpointID) }

// Reject implements policy.Actions.
func (p *Proxy) Reject(id string, retryAfter policy.Seconds, why policy.Reason) {
	if r := p.requests.byID[id]; r != nil {
		p.requests.reject(r, retryAfter, why)
	}
}

// Fail implements policy.Actions.
func (p *Proxy) Fail(id string, why policy.Reason) {
	if r := p.requests.byID[id]; r != nil {
		p.requests.fail(r, why)
	}
}

// SetTimer implements policy.Actions. A negative delay counts as 0.
func (p *Proxy) SetTimer(token uint64, delay policy.Seconds) {
	p.loop.After(max(delay, 0), func() { p.decider.HandleTimer(p.loop.Now(), token) })
}
