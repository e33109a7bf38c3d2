package policy

import (
	"fmt"
	"testing"
)

// A member that has evicted a customer starts its count at 0, which must not be taken for units that are
// returned, nor may the new ones be lost, whichever of owner and member has evicted what.
func TestOwnerAndMemberEvictInStep(t *testing.T) {
	for _, pause := range []Seconds{
		1, memberExpiry - 1, memberExpiry + 1, customerExpiry - 0.5, customerExpiry + 0.5, 2 * customerExpiry, 4 * customerExpiry,
	} {
		g, r, pump := newGatewayPair(t)
		var request Request
		for i := range 100 { // of a customer that g[0] owns, and that comes to g[1] alone
			request = Request{Class: "pay", Plan: "basic", Customer: fmt.Sprint("c", i), FirstGateway: 0, GatewayCount: 2, Units: 2}
			if g[1].owners.owner(g[1].quota.customers.find(request)) == 0 {
				break
			}
		}
		now, attempts := 100.0, 0
		run := func(until Seconds) {
			for ; now < until; now += 0.02 {
				g[0].HandleTimer(now, 1)
				g[1].HandleTimer(now, 1)
				pump(now)
			}
		}
		send := func() bool {
			attempts++
			request.ID, request.Deadline = fmt.Sprint("q", attempts), now+4
			g[1].HandleRequest(now, request)
			run(now + 0.2)
			forwarded := r[1].ofKind("send", request.ID)
			for _, a := range forwarded {
				g[1].HandleOutcome(now, Outcome{RequestID: request.ID, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
			}
			run(now + 0.2)
			return len(forwarded) > 0
		}
		for range 3 {
			send()
		}
		run(now + pause)
		before := now
		admitted := 0
		for range 8 {
			if send() {
				admitted++
			}
		}
		// A window of 8 that fills at 2 a second, and requests of 2.
		if limit := int((8 + 2*(now-before)) / 2); admitted > limit || admitted < min(limit, 8)-2 {
			t.Errorf("after a pause of %v s %d of 8 are admitted, the quota holds %d", pause, admitted, limit)
		}
	}
}

func TestOwnerCountsAllTrafficOfACustomer(t *testing.T) {
	g, r, pump := newGatewayPair(t)
	units, seen := 0, [2]int{}
	for i := range 500 {
		now := 100 + float64(i)*0.02
		sendRequest(g[i%2], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		for k := range 2 {
			units += len(replyToAll(g[k], r[k], &seen[k], now))
		}
	}
	// 10 s of 2 a second and a burst of 8.
	if units < 22 || units > 31 {
		t.Fatalf("%d units forwarded, the quota holds 28", units)
	}
}

func TestRestartedOwnerRecoversFromTheNextReports(t *testing.T) {
	g, r, pump := newGatewayPair(t)
	owner := g[0].quota.customers.find(Request{Customer: "c-basic", Plan: "basic", GatewayCount: 2}).primaryOwner
	member, seen := 1-owner, 0
	for i := range 100 {
		now := 102 + float64(i)*0.02
		sendRequest(g[member], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		replyToAll(g[member], r[member], &seen, now)
	}
	s := testSettings()
	s.Self = owner
	restarted, err := New(s, 99, 104, r[owner])
	if err != nil {
		t.Fatal(err)
	}
	restarted.HandleEndpoints(104, []Endpoint{{ID: "s1", Zone: "a", Cell: 1}}, true)
	g[owner] = restarted
	before := len(r[member].actions)
	for now := 104.02; now < 104.3; now += 0.02 {
		sendRequest(g[member], now, fmt.Sprint("after", now), "read", "basic", 1)
		g[member].HandleTimer(now, 1)
	}
	for _, a := range r[member].actions[before:] {
		if a.kind == "send_to_peer" {
			restarted.HandlePeerMessage(104.3, member, a.data)
		}
	}
	c := findTestCustomer(restarted, "c-basic")
	if c == nil || c.currentLedger(104.3).window.tokens > 4 {
		t.Fatal("the restarted owner grants from a full window")
	}
}

func TestOwnerGrantsWithinRemainingUnits(t *testing.T) {
	g, r := newTestGateway(t, withGatewayCount(100))
	granted := 0.0
	for i := range 30 {
		report := usageRecord{key: 77, planIndex: 0, wantedUnits: 1, firstWantedUnits: 1}
		g.HandlePeerMessage(100, 1+i, encodeRecord(1, report))
		sent := r.ofKind("send_to_peer", "")
		reply, err := testFormat.decode(sent[len(sent)-1].data, 100)
		if err != nil || len(reply.records) != 1 {
			t.Fatalf("the reply has %d records, want 1 (%v)", len(reply.records), err)
		}
		if granted += reply.records[0].total; i == 29 && reply.records[0].backoff == 0 {
			t.Fatal("an owner asked thirty times at once gave its members no backoff")
		}
	}
	if granted != 8 {
		t.Fatalf("%v units granted of a burst of 8", granted)
	}
}

// A grant that its member did not use must not stay reserved.
func TestUnusedGrantIsReturned(t *testing.T) {
	g, _ := newTestGateway(t, withGatewayCount(100))
	report := func(sequence uint16, record usageRecord) {
		g.HandlePeerMessage(100, 1, encodeRecord(sequence, record))
	}
	left := func() float64 { return g.quota.customers.byKey[77].ledger.window.tokens }
	report(1, usageRecord{key: 77, wantedUnits: 6, firstWantedUnits: 6})
	report(2, usageRecord{key: 77, wantedUnits: 6, firstWantedUnits: 6}) // again, as the reply was lost
	if left() != 2 {
		t.Fatalf("%v units are left after a grant of 6 of 8 that was asked for twice", left())
	}
	report(3, usageRecord{key: 77})
	if left() != 8 {
		t.Fatalf("%v units are left after the grant was returned", left())
	}
}

// A young ledger adopts the units left that a member reports, as the owner may have restarted.
func TestNewLedgerTakesRemainingUnitsOfMembers(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	g.HandlePeerMessage(104, 1, encodeRecord(1, usageRecord{key: 5, remainingKnown: true, total: 0, remaining: 1}))
	if left := g.quota.customers.byKey[5].currentLedger(104).window.tokens; left > 1 {
		t.Fatalf("%v units are left after a member reported 1", left)
	}
}

// An owner with 8 of 8 units left, that is asked for one request of 2 units and more behind it.
func TestOwnerGrantsAllThatWaitOrTheFirst(t *testing.T) {
	const now = Seconds(100)
	for _, tc := range []struct {
		name          string
		wanted        float64
		maxConcurrent int
		want          float64
	}{
		{"all fit", 8, 0, 8},
		{"only the first fits", 9, 0, 2},
		{"one slot at a time", 8, 1, 2},
	} {
		c := &customer{plan: &plan{Plan: Plan{Rate: 2, Burst: 8, MaxConcurrent: tc.maxConcurrent}}, isPrimaryOwner: true}
		c.quota.window = tokenBucket{tokens: 8, updatedAt: now}
		record := usageRecord{total: 5, wantedUnits: tc.wanted, firstWantedUnits: 2}
		report := memberReport{usageRecord: record, from: 1, incarnation: 1, receivedAt: now}
		backoff := func(int) Seconds { return 1 }
		reply := c.applyUsageReport(report, testFormat, backoff)
		if granted := reply.total - record.total; granted != tc.want || reply.remaining != 8-tc.want || reply.backoff != 0 {
			t.Errorf("%s: granted %v units, want %v: %+v", tc.name, granted, tc.want, reply)
		}
		if reply = c.applyUsageReport(report, testFormat, backoff); reply.total-record.total != tc.want {
			t.Errorf("%s: granted %v units to the same report again, want %v", tc.name, reply.total-record.total, tc.want)
		}
		report.from, report.wantedUnits, report.firstWantedUnits = 2, 7, 7
		if reply = c.applyUsageReport(report, testFormat, backoff); reply.total != record.total || reply.backoff != 1 {
			t.Errorf("%s: another member's 7 units are not rejected with a backoff: %+v", tc.name, reply)
		}
	}
}
