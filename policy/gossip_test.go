package policy

import (
	"testing"
)

// What one gateway of many sees too rarely is told: use and sickness of servers ride on messages.
func TestGossipIsPassedOn(t *testing.T) {
	a, ra, ask := asMember(t, ofGateways(100))
	b, rb := newTestGateway(t, func(s *Settings) { s.GatewayCount, s.Self = 100, 1 })
	a.recordFailure(a.endpoints["s2"], a.classes.byName["pay"], 1)
	a.recordLoadReport(a.endpoints["s1"], &LoadReport{Utilization: 0.6})
	ask(100, "q", 2)
	b.HandlePeerMessage(100.01, 0, ra.ofKind("send_to_peer", "")[0].data)
	if b.outlierScore(b.endpoints["s2"], b.classes.byName["pay"]) < 0.9 || b.outlierScore(b.endpoints["s2"], b.classes.byName["read"]) > 0 {
		t.Fatal("sickness was not told on")
	}
	if u := b.endpoints["s1"].utilization; u < 0.59 || u > 0.61 {
		t.Fatalf("use told is %v", u)
	}
	reply, err := testFormat.decode(rb.ofKind("send_to_peer", "")[0].data, 100)
	if err != nil || len(reply.updates) != 2 {
		t.Fatalf("%d updates passed on, want 2 (%v)", len(reply.updates), err)
	}
	old := b.endpoints["s1"].utilizationAt
	if b.mergeGossip(healthUpdate{b.endpoints["s1"].hash, loadUpdate, 0.1, old - 1}); b.endpoints["s1"].utilization < 0.5 {
		t.Fatal("older news overtook newer")
	}
}
