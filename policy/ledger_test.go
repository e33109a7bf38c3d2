package policy

import (
	"fmt"
	"testing"
)

// Guards the count of an owner: a member that has forgotten a customer starts its count at 0, which must
// not be taken for units handed back, nor the new ones be lost, whoever of the two has forgotten what.
func TestOwnerAndMemberEvictInStep(t *testing.T) {
	for _, pause := range []float64{1, memberExpiry - 1, memberExpiry + 1, customerExpiry - 0.5, customerExpiry + 0.5, 2 * customerExpiry, 4 * customerExpiry} {
		g, r, pump := pair(t)
		var q Request
		for i := range 100 { // a customer of g[0] that asks at g[1] alone
			q = Request{Class: "pay", Plan: "basic", Customer: fmt.Sprint("c", i), FirstGateway: 0, GatewayCount: 2, Units: 2}
			if g[1].owner(g[1].customers.find(q)) == 0 {
				break
			}
		}
		now, n := 100.0, 0
		run := func(until float64) {
			for ; now < until; now += 0.02 {
				g[0].HandleTimer(now, 1)
				g[1].HandleTimer(now, 1)
				pump(now)
			}
		}
		try := func() bool {
			n++
			q.ID, q.Deadline = fmt.Sprint("q", n), now+4
			g[1].HandleRequest(now, q)
			run(now + 0.2)
			sent := r[1].ofKind("send", q.ID)
			for _, a := range sent {
				g[1].HandleOutcome(now, Outcome{RequestID: q.ID, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.1})
			}
			run(now + 0.2)
			return len(sent) > 0
		}
		for range 3 {
			try()
		}
		run(now + pause)
		before := now
		passed := 0
		for range 8 {
			if try() {
				passed++
			}
		}
		// A window of 8 that fills at 2 a second, and requests of 2.
		if most := int((8 + 2*(now-before)) / 2); passed > most || passed < min(most, 8)-2 {
			t.Errorf("after a pause of %v s %d of 8 passed, %d are inside the quota", pause, passed, most)
		}
	}
}

func TestOwnerCountsAllTrafficOfACustomer(t *testing.T) {
	g, r, pump := pair(t)
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
		t.Fatalf("%d units sent on, the quota holds 28", units)
	}
}

func TestRestartedOwnerRecoversFromTheNextReports(t *testing.T) {
	g, r, pump := pair(t)
	own := g[0].customers.find(Request{Customer: "c-basic", Plan: "basic", GatewayCount: 2}).primaryOwner
	m, seen := 1-own, 0
	for i := range 100 {
		now := 102 + float64(i)*0.02
		sendRequest(g[m], now, fmt.Sprint("q", i), "read", "basic", 1)
		pump(now)
		replyToAll(g[m], r[m], &seen, now)
	}
	s := testSettings()
	s.Self = own
	fresh, err := New(s, 99, 104, r[own])
	if err != nil {
		t.Fatal(err)
	}
	fresh.HandleEndpoints(104, []Endpoint{{ID: "s1", Zone: "a", Cell: 1}}, true)
	g[own] = fresh
	n := len(r[m].actions)
	for now := 104.02; now < 104.3; now += 0.02 {
		sendRequest(g[m], now, fmt.Sprint("after", now), "read", "basic", 1)
		g[m].HandleTimer(now, 1)
	}
	for _, a := range r[m].actions[n:] {
		if a.kind == "send_to_peer" {
			fresh.HandlePeerMessage(104.3, m, a.data)
		}
	}
	c := fresh.customers.byKey[uint32(hashName("c-basic")>>32)]
	if c == nil || c.currentLedger(104.3).window.tokens > 4 {
		t.Fatal("the restarted owner grants a fresh window")
	}
}

func TestOwnerGrantsWithinRemainingUnits(t *testing.T) {
	g, r := newTestGateway(t, ofGateways(100))
	granted := 0.0
	for i := range 30 {
		b := encodeRecord(1, usageRecord{Key: 77, Plan: 0, WantedUnits: 1, FirstWantedUnits: 1})
		g.HandlePeerMessage(100, 1+i, b)
		tells := r.ofKind("send_to_peer", "")
		reply, err := testFormat.decode(tells[len(tells)-1].data, 100)
		if err != nil || len(reply.records) != 1 {
			t.Fatalf("the reply has %d records, want 1 (%v)", len(reply.records), err)
		}
		if granted += reply.records[0].Total; i == 29 && reply.records[0].Backoff == 0 {
			t.Fatal("an owner asked thirty times at once did not tell its members to hold")
		}
	}
	if granted != 8 {
		t.Fatalf("%v units granted of a burst of 8", granted)
	}
}

// A grant that its member did not use must not stay set aside.
func TestUnusedGrantIsReturned(t *testing.T) {
	g, _ := newTestGateway(t, ofGateways(100))
	tell := func(seq uint16, r usageRecord) {
		b := encodeRecord(seq, r)
		g.HandlePeerMessage(100, 1, b)
	}
	tell(1, usageRecord{Key: 77, WantedUnits: 6, FirstWantedUnits: 6})
	tell(2, usageRecord{Key: 77, WantedUnits: 6, FirstWantedUnits: 6}) // takeReport again, as the answer was lost
	if room := g.customers.byKey[77].ledger.window.tokens; room != 2 {
		t.Fatalf("room is %v after 6 of 8 were set aside, told twice", room)
	}
	tell(3, usageRecord{Key: 77})
	if room := g.customers.byKey[77].ledger.window.tokens; room != 8 {
		t.Fatalf("room is %v after the grant was handed back", room)
	}
}

// A young count believes the room that a member hands back, even where its window has just turned.
func TestNewLedgerTakesRemainingUnitsOfMembers(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	b := encodeRecord(1, usageRecord{Key: 5, Known: true, Total: 0, Remaining: 1})
	g.HandlePeerMessage(104, 1, b)
	if room := g.customers.byKey[5].currentLedger(104).window.tokens; room > 1 {
		t.Fatalf("room is %v after a member handed back 1", room)
	}
}
