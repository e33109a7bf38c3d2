package policy

import "testing"

// Regression test: members of a large fleet decided without asking the owner, although their view of the quota was old
// or not based on a reply. They admitted more than the quota, or rejected requests although units were left. Before the
// first reply, a member must ask the owner if the units are not enough for the same request at every gateway, and then
// follow the reply.
func TestMemberAwaitsTheOwnersGrant(t *testing.T) {
	for _, grant := range []float64{0, 2} {
		g, r, send := newTestMember(t, withGatewayCount(100))
		send(100, "q", 2)
		if len(r.ofKind("send", ""))+len(r.ofKind("reject", "")) != 0 {
			t.Fatal("one of 100 gateways decided without the owner's grant")
		}
		from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total += grant; reply.remaining = 1 })
		g.HandlePeerMessage(100.03, from, data)
		if forwarded := len(r.ofKind("send", "q")); forwarded != int(grant/2) || forwarded+len(r.ofKind("reject", "q")) != 1 {
			t.Fatalf("a grant of %v of 2 units did not decide the request: %v", grant, r.actions)
		}
	}
}

func TestUnansweredReportFallsBackToTheLocalWindow(t *testing.T) {
	g, r, send := newTestMember(t, withGatewayCount(100))
	send(100, "q", 2)
	first := r.ofKind("send_to_peer", "")[0].to
	now := 100.0
	for ; len(r.ofKind("send", ""))+len(r.ofKind("reject", "")) == 0 && now < 101; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if len(r.ofKind("send", "q")) != 1 || now > 100+(maxOverdueReplies+1)*(grantTimeout+timerInterval) {
		t.Fatalf("the local window had not sent the request by %v", now)
	}
	if sent := r.ofKind("send_to_peer", ""); len(sent) < maxOverdueReplies || sent[len(sent)-1].to == first {
		t.Fatalf("got reports %v, want the last one to go to another gateway than the first owner", sent)
	}
	if g.protocol.reachable(first) {
		t.Fatal("an owner that left all reports unanswered is still reachable")
	}
}

// Regression test: a gateway that resumed after a stall counted replies as overdue although they had arrived during
// the stall. It then considered their owners unreachable.
func TestStallDoesNotMakeReplyOverdue(t *testing.T) {
	g, r, send := newTestMember(t, withGatewayCount(100))
	send(100, "q", 2)
	first := r.ofKind("send_to_peer", "")[0].to
	g.HandleTimer(100.5, 1)
	if !g.protocol.reachable(first) || len(r.ofKind("send_to_peer", "")) != 1 {
		t.Fatal("a stall of this gateway made a reply overdue")
	}
	from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total += 2 })
	g.HandlePeerMessage(100.5, from, data)
	if len(r.ofKind("send", "q")) != 1 {
		t.Fatal("a grant that was handled after the stall was not used")
	}
}

// The number of messages must depend on the requests, not on the size of the fleet. A member must send one report for
// a request, and none without requests.
func TestMessageCountFollowsRequestsNotFleetSize(t *testing.T) {
	g, r, send := newTestMember(t, withGatewayCount(500))
	for now := 100.0; now < 102; now += 0.02 {
		g.HandleTimer(now, 1)
	}
	if n := len(r.ofKind("send_to_peer", "")); n != 0 {
		t.Fatalf("%d messages were sent without a request, want 0", n)
	}
	send(102, "q", 2)
	if n := len(r.ofKind("send_to_peer", "")); n != 1 {
		t.Fatalf("%d messages were sent for one request, want 1", n)
	}
}

func TestUnreachableOwnerIsReplacedUntilTriedAgain(t *testing.T) {
	g, _, send := newTestMember(t, nil)
	c := send(100, "q", 1)
	g.protocol.peers[1].unansweredReports, g.protocol.peers[1].lastUnansweredAt = maxUnansweredReports, 100
	if g.owners.owner(c) != 0 {
		t.Fatal("an unreachable gateway is still the owner")
	}
	if g.clock.now = 100 + unreachablePeriod + 0.01; g.owners.owner(c) != 1 {
		t.Fatal("an unreachable owner is not tried again after unreachablePeriod")
	}
}

// Regression test: the loss of two replies made their owner count as unreachable. The next gateway on the ring then
// became the owner and granted units without knowing the customer's usage. It happened only if the owner sent few
// other messages, because each accepted message resets the number of unanswered reports.
func TestTwoLostRepliesKeepAnOwnerReachable(t *testing.T) {
	g, r, send := newTestMember(t, withGatewayCount(100))
	c := send(100, "q", 2)
	owner := r.ofKind("send_to_peer", "")[0].to
	for now := 100.0; now < 100+3*grantTimeout; now += timerInterval / 2 {
		g.HandleTimer(now, 1)
		if sent := r.ofKind("send_to_peer", ""); len(sent) == 3 {
			if sent[1].to != owner || sent[2].to != owner || g.owners.owner(c) != owner {
				t.Fatalf("reports %v did not all go to the owner, gateway %d", sent, owner)
			}
			from, data := ownerReply(t, r, 1, func(reply *usageRecord) { reply.total += 2; reply.remaining = 6 })
			g.HandlePeerMessage(now, from, data)
			if len(r.ofKind("send", "q")) != 1 || g.protocol.peers[owner].unansweredReports != 0 {
				t.Fatal("the reply to the third report was not applied")
			}
			return
		}
	}
	t.Fatal("fewer than three reports were sent")
}

// fixedOwner is an ownerFinder that returns the same gateway for every customer.
type fixedOwner int

func (o fixedOwner) owner(*customer) int            { return int(o) }
func (o fixedOwner) findPrimaryOwner(*customer) int { return int(o) }

// newTestReporter returns a reporter of gateway 0 for customers that gateway 1 owns. The slice collects the messages
// that it sends.
func newTestReporter(clock *eventClock) (*usageReporter, *[]message) {
	protocol, sent := newTestProtocol(clock)
	u := newUsageReporter(testSettings(), clock, protocol, fixedOwner(1))
	return &u, sent
}

func newReportedCustomer(key uint32) *customer {
	return &customer{key: key, plan: &plan{Plan: Plan{Rate: 2, Burst: 8}}, primaryOwner: 1}
}

func TestReportsOfABatchShareAMessage(t *testing.T) {
	clock := &eventClock{now: 100}
	u, sent := newTestReporter(clock)
	for key := range uint32(3) {
		c := newReportedCustomer(key)
		u.scheduleReport(c, false)
		u.scheduleReport(c, false) // already in the batch
	}
	u.sendDue()
	if len(*sent) != 1 || len((*sent)[0].records) != 3 {
		t.Fatalf("sent %+v, want one message with 3 records", *sent)
	}
	u.scheduleReport(newReportedCustomer(3), false)
	clock.now += minReportInterval / 2
	if u.sendDue(); len(*sent) != 1 {
		t.Fatal("a second batch was sent within minReportInterval")
	}
	clock.now += minReportInterval
	if u.sendDue(); len(*sent) != 2 || len(u.pending) != 0 {
		t.Fatalf("%d messages were sent and %d batches are pending, want 2 and 0", len(*sent), len(u.pending))
	}
}

func TestUrgentReportsAreSentAtOnceWithinTheBudget(t *testing.T) {
	clock := &eventClock{now: 100}
	u, sent := newTestReporter(clock)
	for key := range uint32(10) {
		u.askForGrant(newReportedCustomer(key))
	}
	if len(*sent) != minBatchTokens {
		t.Fatalf("%d urgent messages were sent at once, want %d", len(*sent), minBatchTokens)
	}
	clock.now += 1.01 / (u.protocol.messageRate * reportFraction)
	if u.sendDue(); len(*sent) != minBatchTokens+1 || len((*sent)[minBatchTokens].records) != 8 {
		t.Fatalf("%d messages were sent, want one more with the remaining 8 records", len(*sent))
	}
}

func TestReplyIsOverdueSoonerWhileRequestsWait(t *testing.T) {
	for _, tc := range []struct {
		waiting []*request
		timeout Seconds
	}{
		{nil, reportTimeout},
		{[]*request{{}}, grantTimeout},
	} {
		clock := &eventClock{now: 100}
		u, _ := newTestReporter(clock)
		c := newReportedCustomer(1)
		c.awaitingOwner = tc.waiting
		u.scheduleReport(c, false)
		u.sendDue()
		clock.now = 100 + tc.timeout - 0.01
		if u.replyOverdue(c) {
			t.Errorf("with %d waiting requests, the reply is overdue before %v s", len(tc.waiting), tc.timeout)
		}
		clock.now = 100 + tc.timeout + 0.01
		overdue := 0
		u.forEachOverdue(func(c *customer) {
			overdue++
			if u.recordOverdue(c) {
				t.Error("recordOverdue returned true for the first overdue reply, want false")
			}
		})
		if overdue != 1 || u.protocol.peers[1].unansweredReports != 1 || len(u.watched) != 0 {
			t.Errorf("with %d waiting requests, %d replies are overdue, want 1 that is recorded and no longer watched", len(tc.waiting), overdue)
		}
	}
}
