package proxy

import (
	"testing"
	"time"

	"reedlead/internal/discovery"
	"reedlead/policy"
)

// TestNoRetryInTheGroupOfAProcessThatHasGone guards against a request that is executed twice: a new process has taken over
// the address of an endpoint before the request was sent there, and belongs to another dedup group, but the endpoint list
// tells that later.
func TestNoRetryInTheGroupOfAProcessThatHasGone(t *testing.T) {
	address, conns := listenEndpoint(t)
	otherAddress, otherConns := listenEndpoint(t)
	cfg := testConfig(address)
	cfg.InitialEndpoints.Endpoints[0].Cell = 1
	cfg.Settings.Classes[1].DedupScope, cfg.Settings.Classes[1].IdempotencyWindow = policy.DedupCell, 2
	p := startWithDecisionModule(t, cfg)
	client := newTestConn(t, mustDial(t, p.listener.Addr().String()))
	client.send("CALL.POST", testCustomer, "a", "c=hold,t=basic,k=5c0f,d=1500,units=2,spread=2,first=1", "body")
	endpoint := receive(t, conns)
	endpoint.readCommand()
	takenOver, other := inService("new", address), inService("other", otherAddress)
	takenOver.Cell, takenOver.StartedMS = 2, time.Now().Add(-time.Second).UnixMilli()
	other.Cell = 1
	applied := make(chan struct{})
	p.loop.Post(0, func() {
		defer close(applied)
		p.applyList(discovery.List{Endpoints: []discovery.Endpoint{takenOver, other}})
	})
	receive(t, applied)
	endpoint.disconnect(byReset)
	client.wantLines("-ERR failed")
	if len(otherConns) != 0 {
		t.Error("the request was sent to an endpoint of the group of the process that has gone")
	}
}
