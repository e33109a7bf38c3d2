package policy

import (
	"fmt"
	"testing"
)

// A member that evicts a customer restarts its count at 0. The owner must neither treat the decrease as returned
// units nor fail to charge units used later. The test pauses for times below, between and above memberExpiry and
// customerExpiry, because the owner and the member evict at different times.
func TestEvictionNeitherReturnsNorLosesUnits(t *testing.T) {
	for _, pause := range []Seconds{
		1, memberExpiry - 1, memberExpiry + 1, customerExpiry - 0.5, customerExpiry + 0.5, 2 * customerExpiry, 4 * customerExpiry,
	} {
		g, r, pump := newGatewayPair(t)
		var request Request
		for i := range 100 { // find a customer that g[0] owns; all requests go to g[1]
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
		// The quota is 2 units per second with a burst of 8 units, and a request takes 2 units.
		if limit := int((8 + 2*(now-before)) / 2); admitted > limit || admitted < min(limit, 8)-2 {
			t.Errorf("after a pause of %v s, %d of 8 requests are admitted; the quota allows %d", pause, admitted, limit)
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
	// The quota allows 2 units per second for 10 s and a burst of 8.
	if units < 22 || units > 31 {
		t.Fatalf("%d units were sent, want 22 to 31 for a quota of 28", units)
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
		t.Fatal("the restarted owner does not know the customer or has more than 4 units left for it")
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
			t.Fatalf("the reply has %d records, want 1 (decode error: %v)", len(reply.records), err)
		}
		if granted += reply.records[0].total; i == 29 && reply.records[0].backoff == 0 {
			t.Fatal("the owner gave no backoff to the last of 30 members that asked at once")
		}
	}
	if granted != 8 {
		t.Fatalf("%v units are granted, want the burst of 8", granted)
	}
}

// Granted units that the member did not use must return to the window. Otherwise, a grant in a lost reply would stay
// reserved and reduce the customer's quota.
func TestUnusedGrantIsReturned(t *testing.T) {
	g, _ := newTestGateway(t, withGatewayCount(100))
	report := func(sequence uint16, record usageRecord) {
		g.HandlePeerMessage(100, 1, encodeRecord(sequence, record))
	}
	left := func() float64 { return g.quota.customers.byKey[77].ledger.window.tokens }
	report(1, usageRecord{key: 77, wantedUnits: 6, firstWantedUnits: 6})
	report(2, usageRecord{key: 77, wantedUnits: 6, firstWantedUnits: 6}) // repeated because the reply was lost
	if left() != 2 {
		t.Fatalf("%v units are left after two reports that ask for the same 6 of 8 units, want 2", left())
	}
	report(3, usageRecord{key: 77})
	if left() != 8 {
		t.Fatalf("%v units are left after the grant was returned, want 8", left())
	}
}

// An owner that restarts forgets how many units were used. Its new ledger must adopt the remaining units of a member's
// report if they are lower, or the customer could use its burst again.
func TestNewLedgerAdoptsRemainingUnitsOfMembers(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	g.HandlePeerMessage(104, 1, encodeRecord(1, usageRecord{key: 5, remainingKnown: true, total: 0, remaining: 1}))
	if left := g.quota.customers.byKey[5].currentLedger(104).window.tokens; left > 1 {
		t.Fatalf("%v units are left after a member reported 1, want at most 1", left)
	}
}

// The owner must grant the units of all waiting requests if the quota allows them, and otherwise those of the first
// request. With a concurrency limit, it must grant only those of the first request. The quota has 8 units left, and
// the first request takes 2 units.
func TestOwnerGrantsAllWaitingRequestsOrTheFirst(t *testing.T) {
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
			t.Errorf("%s: granted %v units, want %v; reply %+v", tc.name, granted, tc.want, reply)
		}
		if reply = c.applyUsageReport(report, testFormat, backoff); reply.total-record.total != tc.want {
			t.Errorf("%s: granted %v units to a repeated report, want %v", tc.name, reply.total-record.total, tc.want)
		}
		report.from, report.wantedUnits, report.firstWantedUnits = 2, 7, 7
		if reply = c.applyUsageReport(report, testFormat, backoff); reply.total != record.total || reply.backoff != 1 {
			t.Errorf("%s: a report of another member that asks for 7 units got %+v, want no grant and a backoff of 1 s", tc.name, reply)
		}
	}
}
