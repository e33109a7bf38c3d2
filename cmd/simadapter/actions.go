package main

import (
	"reedlead/internal/simwire"
	"reedlead/policy"
)

// actions implements policy.Actions by writing the actions of one gateway as lines for the simulator.
type actions struct {
	out      *simwire.Writer
	instance int
}

var _ policy.Actions = actions{}

// Send implements policy.Actions. It ignores the last parameter, the time within which the attempt must be written,
// because the simulator writes attempts immediately.
func (a actions) Send(id, endpoint string, timeout, _ policy.Seconds) {
	line := a.out.Begin("FORWARD", a.instance).ID("id", id).ID("backend", endpoint)
	if timeout != 0 {
		line.Float("withinS", timeout)
	}
	line.End()
}

// Reject implements policy.Actions.
func (a actions) Reject(id string, retryAfter policy.Seconds, _ policy.Reason) {
	line := a.out.Begin("BOUNCE", a.instance).ID("id", id)
	if retryAfter > 0 {
		line.Float("retryInS", retryAfter)
	}
	line.End()
}

// Fail implements policy.Actions.
func (a actions) Fail(id string, _ policy.Reason) {
	a.out.Begin("ERROR", a.instance).ID("id", id).End()
}

// Cancel implements policy.Actions.
func (a actions) Cancel(id string, attempt int) {
	a.out.Begin("STOP_ATTEMPT", a.instance).ID("id", id).Int("hop", int64(attempt)).End()
}

// SetTimer implements policy.Actions.
func (a actions) SetTimer(token uint64, delay policy.Seconds) {
	a.out.Begin("WAKE_AT", a.instance).Int("mark", int64(token)).Float("offsetS", delay).End()
}

// HealthCheck implements policy.Actions.
func (a actions) HealthCheck(endpoint string) {
	a.out.Begin("HEALTH_CHECK", a.instance).ID("backend", endpoint).End()
}

// SendToPeer implements policy.Actions.
func (a actions) SendToPeer(gateway int, data []byte) {
	a.out.Begin("BROADCAST_TO", a.instance).Int("addressee", int64(gateway)).Hex("data", data).End()
}
