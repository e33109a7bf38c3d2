package proxy

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// startWithDecisionModule starts a proxy with the real decision module, which ends with the test.
func startWithDecisionModule(t *testing.T, cfg config.Config) *Proxy {
	t.Helper()
	p, err := open(context.Background(), cfg, slog.New(slog.DiscardHandler), netcalls.System())
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := policy.New(moduleSettings(cfg), 1, p.loop.Now(), p)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.serve(ctx, nil, gateway)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p
}

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
