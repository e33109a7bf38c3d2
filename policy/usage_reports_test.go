package policy

import (
	"testing"
)

// Guards round 24: with a hundred gateways a split is under one request and news are old; what is asked
// beyond the quota passed at each of them, or was refused with room.
func TestMemberAwaitsTheOwnersGrant(t *testing.T) {
	for _, grant := range []float64{0, 2} {
		g, r, ask := asMember(t, ofGateways(100))
		ask(100, "q", 2)
		if len(r.ofKind("send", ""))+len(r.ofKind("reject", "")) != 0 {
			t.Fatal("a gateway of a hundred decided alone")
		}
		from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Total += grant; v.Remaining = 1 })
		g.HandlePeerMessage(100.03, from, b)
		if sent := len(r.ofKind("send", "q")); sent != int(grant/2) || sent+len(r.ofKind("reject", "q")) != 1 {
			t.Fatalf("granted %v of 2 units: %v", grant, r.actions)
		}
	}
}

func TestUnansweredReportFallsBackToTheLocalWindow(t *testing.T) {
	g, r, ask := asMember(t, ofGateways(100))
	ask(100, "q", 2)
	first := r.ofKind("send_to_peer", "")[0].to
	now := 100.0
	for ; len(r.ofKind("send", ""))+len(r.ofKind("reject", "")) == 0 && now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.ofKind("send", "q")) != 1 || now > 100+(maxGrantAttempts+1)*(grantTimeout+timerInterval) {
		t.Fatalf("no local window by %v", now)
	}
	if tells := r.ofKind("send_to_peer", ""); len(tells) < maxGrantAttempts || tells[len(tells)-1].to == first {
		t.Fatalf("a silent owner was never passed over: %v", tells)
	}
	if g.reachable(first) {
		t.Fatal("an owner that left all unanswered counts as alive")
	}
}

// Guards balancer_stall: a gateway that stood still took its owners for silent.
func TestOwnStandstillCountsAgainstNoPeer(t *testing.T) {
	g, r, ask := asMember(t, ofGateways(100))
	ask(100, "q", 2)
	first := r.ofKind("send_to_peer", "")[0].to
	g.HandleTimer(100.5, 1)
	if !g.reachable(first) || len(r.ofKind("send_to_peer", "")) != 1 {
		t.Fatal("a gap of this gateway counted as silence of another")
	}
	from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Total += 2 })
	g.HandlePeerMessage(100.5, from, b)
	if len(r.ofKind("send", "q")) != 1 {
		t.Fatal("the verdict that came meanwhile was not used")
	}
}

// A request costs two messages at most, however many gateways there are.
func TestMessageCountFollowsRequestsNotFleetSize(t *testing.T) {
	g, r, ask := asMember(t, ofGateways(500))
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if n := len(r.ofKind("send_to_peer", "")); n != 0 {
		t.Fatalf("%d messages without a request", n)
	}
	ask(102, "q", 2)
	if n := len(r.ofKind("send_to_peer", "")); n != 1 {
		t.Fatalf("%d messages for a request", n)
	}
}

func TestUnreachableOwnerLeavesTheRing(t *testing.T) {
	g, _, ask := asMember(t, nil)
	c := ask(100, "q", 1)
	g.protocol.peers[1].unanswered, g.protocol.peers[1].lastUnansweredAt = maxUnansweredReports, 100
	if g.owner(c) != 0 {
		t.Fatal("a silent owner still owns")
	}
	if g.clock.now = 100 + unreachablePeriod + 0.01; g.owner(c) != 1 {
		t.Fatal("a silent owner is never tried again")
	}
}

// Seldom heard peers were taken for silent whenever two answers were lost by chance, and a stand-in that
// knew nothing of the customer granted for them.
func TestTwoLostRepliesKeepAnOwnerReachable(t *testing.T) {
	g, r, ask := asMember(t, ofGateways(100))
	c := ask(100, "q", 2)
	owner := r.ofKind("send_to_peer", "")[0].to
	for now := 100.0; now < 100+3*grantTimeout; now += timerInterval / 2 {
		g.HandleTimer(now, 1)
		if tells := r.ofKind("send_to_peer", ""); len(tells) == 3 {
			if tells[1].to != owner || tells[2].to != owner || g.owner(c) != owner {
				t.Fatalf("told %v, the owner is %d", tells, owner)
			}
			from, b := ownerReply(t, r, 1, func(v *usageRecord) { v.Total += 2; v.Remaining = 6 })
			g.HandlePeerMessage(now, from, b)
			if len(r.ofKind("send", "q")) != 1 || g.protocol.peers[owner].unanswered != 0 {
				t.Fatal("the answer to the third report is not taken")
			}
			return
		}
	}
	t.Fatal("the owner is not asked three times")
}
