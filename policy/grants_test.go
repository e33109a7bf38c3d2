package policy

import "testing"

// decisions is a requestHandler that records the IDs of dispatched and rejected requests, and the reasons of the
// rejections.
type decisions struct {
	dispatched, rejected []string
	reason               []Reason
}

func (d *decisions) dispatch(r *request) { d.dispatched = append(d.dispatched, r.ID) }

func (d *decisions) reject(r *request, reason Reason) {
	d.rejected, d.reason = append(d.rejected, r.ID), append(d.reason, reason)
}

// newTestController returns a quotaController of gateway 0 for customers that gateway 1 owns. Its concurrency
// limiter and retry policy are nil.
func newTestController(clock *eventClock) (*quotaController, *decisions, *[]message) {
	protocol, sent := newTestProtocol(clock)
	decided := &decisions{}
	return &quotaController{
		clock: clock, owners: fixedOwner(1), protocol: protocol, requests: decided,
		customers: newCustomerTable(testSettings(), clock, fixedOwner(1)),
		reporter:  newUsageReporter(testSettings(), clock, protocol, fixedOwner(1)),
	}, decided, sent
}

// awaitGrants queues a request of 2 units for each ID to wait for a grant. All requests belong to one customer, which
// it returns.
func awaitGrants(q *quotaController, ids ...string) *customer {
	c := q.customers.find(Request{Customer: "x", Plan: "basic", GatewayCount: 2})
	for _, id := range ids {
		q.awaitGrant(&request{Request: Request{ID: id, Units: 2}, plan: c.plan, customer: c})
	}
	return c
}

func TestGrantDecidesOnlyTheRequestsAskedFor(t *testing.T) {
	q, decided, sent := newTestController(&eventClock{now: 100})
	c := awaitGrants(q, "first", "second", "third")
	if len(*sent) != 1 || (*sent)[0].records[0].wantedUnits != 2 {
		t.Fatalf("sent %+v, want one report that asks for the 2 units of the first request", *sent)
	}
	q.applyReply(c, usageRecord{key: c.key, fromOwner: true, total: 2, remaining: 6, wantedUnits: 2})
	if len(decided.dispatched) != 1 || decided.dispatched[0] != "first" || len(decided.rejected) != 0 {
		t.Fatalf("decided %+v, want only the first request dispatched", decided)
	}
	q.reporter.sendDue()
	if len(*sent) != 2 || (*sent)[1].records[0].wantedUnits != 4 {
		t.Fatalf("sent %+v, want a second report that asks for the 4 units of the other requests", *sent)
	}
	q.applyReply(c, usageRecord{key: c.key, fromOwner: true, total: 4, remaining: 4, wantedUnits: 4})
	if len(decided.dispatched) != 2 || len(decided.rejected) != 1 || decided.rejected[0] != "third" || decided.reason[0] != QuotaExceeded {
		t.Fatalf("decided %+v after a grant of 2 units, want the second request dispatched and the third rejected", decided)
	}
}

func TestBackoffRejectsAllWaitingRequests(t *testing.T) {
	q, decided, _ := newTestController(&eventClock{now: 100})
	c := awaitGrants(q, "first", "second")
	q.applyReply(c, usageRecord{key: c.key, fromOwner: true, remaining: 1, wantedUnits: 2, backoff: 0.5})
	if len(decided.dispatched) != 0 || len(decided.rejected) != 2 || len(c.awaitingOwner) != 0 {
		t.Fatalf("decided %+v, want both requests rejected", decided)
	}
	if c.quota.backoffUntil != 100.5 || q.admit(&request{Request: Request{Units: 1}, plan: c.plan, customer: c}) != notAdmitted {
		t.Fatal("a request is not rejected during the owner's backoff of 0.5 s")
	}
}

func TestLocalWindowDecidesAfterMaxOverdueReplies(t *testing.T) {
	clock := &eventClock{now: 100}
	q, decided, sent := newTestController(clock)
	c := awaitGrants(q, "q")
	c.localWindow = tokenBucket{tokens: 2, updatedAt: 100}
	for range maxOverdueReplies {
		if len(decided.dispatched) != 0 {
			t.Fatalf("the local window decided after %d unanswered reports, want %d", len(*sent), maxOverdueReplies)
		}
		clock.now += grantTimeout + timerInterval
		q.handleOverdueReplies()
		q.reporter.sendDue()
	}
	if len(decided.dispatched) != 1 || len(c.awaitingOwner) != 0 || c.totalUnits != 2 {
		t.Fatalf("decided %+v, want the request dispatched and its 2 units charged", decided)
	}
	if q.protocol.reachable(1) {
		t.Fatal("an owner that left all reports unanswered is still reachable")
	}
}
