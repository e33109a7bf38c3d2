package policy

import (
	"testing"
)

// A gateway learns the utilization and outlier scores of endpoints from the messages of other gateways, and
// forwards them.
func TestGossipIsForwarded(t *testing.T) {
	a, ra, ask := newTestMember(t, withGatewayCount(100))
	b, rb := newTestGateway(t, func(s *Settings) { s.GatewayCount, s.Self = 100, 1 })
	a.outliers.recordFailure(a.endpoints.byID["s2"], a.classes.byName["pay"].index, 1)
	a.recordLoadReport(a.endpoints.byID["s1"], &LoadReport{Utilization: 0.6})
	ask(100, "q", 2)
	b.HandlePeerMessage(100.01, 0, ra.ofKind("send_to_peer", "")[0].data)
	outlier, loaded := b.endpoints.byID["s2"], b.endpoints.byID["s1"]
	if score := b.outliers.score(outlier, b.classes.byName["pay"].index); score < 0.9 {
		t.Fatalf("the score for the failed class is %.2f, want at least 0.9", score)
	}
	if score := b.outliers.score(outlier, b.classes.byName["read"].index); score > 0 {
		t.Fatalf("the score for another class is %.2f, want 0", score)
	}
	if u := loaded.utilization; u < 0.59 || u > 0.61 {
		t.Fatalf("the utilization is %v, want 0.6", u)
	}
	reply, err := testFormat.decode(rb.ofKind("send_to_peer", "")[0].data, 100)
	if err != nil || len(reply.updates) != 2 {
		t.Fatalf("%d updates forwarded, want 2 (%v)", len(reply.updates), err)
	}
	older := healthUpdate{endpointHash: loaded.hash, class: loadUpdate, value: 0.1, at: loaded.utilizationAt - 1}
	if b.gossip.merge(b.endpoints, older); loaded.utilization < 0.5 {
		t.Fatal("an older update replaced a newer one")
	}
}

func TestGossipBufferSendsTheNewestUpdates(t *testing.T) {
	const now = 100.0
	buffer := &gossipBuffer{}
	for i := range 2 * maxGossip {
		buffer.publish(healthUpdate{endpointHash: uint16(i), at: now})
	}
	if len(buffer.updates) != maxGossip {
		t.Fatalf("%d updates are held, want %d", len(buffer.updates), maxGossip)
	}
	sent := buffer.recent(gossipPerMessage+1, now)
	if len(sent) != gossipPerMessage || sent[0].endpointHash != 2*maxGossip-1 {
		t.Errorf("recent returned %v, want the newest %d updates", sent, gossipPerMessage)
	}
	if sent := buffer.recent(2, now); len(sent) != 2 {
		t.Errorf("recent returned %d updates, want 2", len(sent))
	}
	if sent := buffer.recent(gossipPerMessage, now+gossipExpiry); len(sent) != 0 {
		t.Errorf("recent returned expired updates: %v", sent)
	}
}

func TestMergeForwardsNewerUpdatesOnly(t *testing.T) {
	for name, tc := range map[string]struct {
		class int
		at    Seconds
		want  bool
	}{
		"a newer utilization":             {loadUpdate, 100, true},
		"a hardly newer utilization":      {loadUpdate, 99 + minGossipInterval/2, false},
		"a newer score":                   {0, 100, true},
		"a score before the last success": {1, 98, false},
		"a score of an earlier process":   {0, 40, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, buffer := newTestTable(Endpoint{ID: "a", StartedAt: 50}), &gossipBuffer{}
			e := table.byID["a"]
			e.setUtilization(0.1, 99)
			e.lastSuccessAt[1] = 99
			buffer.merge(table, healthUpdate{endpointHash: e.hash, class: tc.class, value: 0.7, at: tc.at})
			if forwarded := len(buffer.updates) == 1; forwarded != tc.want {
				t.Errorf("forwarded: %t, want %t", forwarded, tc.want)
			}
			applied := e.utilization == 0.7 || e.outlierScores[0].level == 0.7 || e.outlierScores[1].level == 0.7
			if applied != tc.want {
				t.Errorf("applied: %t, want %t", applied, tc.want)
			}
		})
	}
}
