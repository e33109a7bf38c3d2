package policy

import (
	"fmt"
	"testing"
)

// action is one action as the tests see it.
type action struct {
	kind, id, endpoint   string
	to, attempt          int
	seconds, writeWithin float64
	data                 []byte
}

// recorder keeps the actions of one gateway.
type recorder struct{ actions []action }

func (r *recorder) Send(id, s string, t, whole float64) {
	r.actions = append(r.actions, action{kind: "send", id: id, endpoint: s, seconds: t, writeWithin: whole})
}

func (r *recorder) Reject(id string, x float64, _ Reason) {
	r.actions = append(r.actions, action{kind: "reject", id: id, seconds: x})
}

func (r *recorder) Fail(id string, _ Reason) {
	r.actions = append(r.actions, action{kind: "fail", id: id})
}

func (r *recorder) Cancel(id string, n int) {
	r.actions = append(r.actions, action{kind: "cancel", id: id, attempt: n})
}

func (r *recorder) SetTimer(uint64, float64) {}

func (r *recorder) HealthCheck(s string) {
	r.actions = append(r.actions, action{kind: "health_check", endpoint: s})
}

func (r *recorder) SendToPeer(to int, b []byte) {
	r.actions = append(r.actions, action{kind: "send_to_peer", to: to, data: append([]byte(nil), b...)})
}

func (r *recorder) Log(string) {}

// ofKind returns the actions of a kind for a request ("" for all) and count how many.
func (r *recorder) ofKind(kind, id string) (list []action) {
	for _, a := range r.actions {
		if a.kind == kind && (id == "" || a.id == id) {
			list = append(list, a)
		}
	}
	return list
}

// testFormat is the format that messages take with the tests' settings.
var testFormat = messageFormat{unitsPerStep: 1}

func testSettings() Settings {
	return Settings{
		Self: 0, GatewayCount: 2, Zone: "a", MaxRequestUnits: 4, PeerMessageRate: 40, PeerMessages: true, Cancellation: true, Hedging: true,
		MaxAttempts: 3, MaxRetryAfter: 0.5, ReplySlack: 0.01,
		SlowStartMinCapacity: 0.2, SlowStartDuration: 10, OverloadMultiple: 3, OverloadWindow: 1, BatchInterval: 0.002,
		Classes: []Class{
			{Name: "read", LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "put", LatencyObjective: 1, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupZone, IdempotencyWindow: 2},
			{Name: "cell", LatencyObjective: 1, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupCell, IdempotencyWindow: 2},
			{Name: "any", LatencyObjective: 3, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupFleet, IdempotencyWindow: 0.5},
			{Name: "pay", LatencyObjective: 1, Timeout: 4, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Name: "basic", Rate: 2, Burst: 8, WeightFactor: 1, OverQuotaCostFraction: 1},
			{Name: "capped", Rate: 10, Burst: 20, WeightFactor: 1, OverQuotaCostFraction: 1, CeilingRate: 20, CeilingBurst: 40, CeilingSlack: 4},
			{Name: "open", MaxConcurrent: 2, WeightFactor: 1, OverQuotaCostFraction: 1},
			{Name: "wide", Rate: 1000, Burst: 4000, WeightFactor: 1},
		},
	}
}

func newTestGateway(t *testing.T, change func(*Settings)) (*Gateway, *recorder) {
	t.Helper()
	s, r := testSettings(), &recorder{}
	if change != nil {
		change(&s)
	}
	g, err := New(s, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", Cell: 1}, {ID: "s2", Zone: "a", Cell: 2}, {ID: "s3", Zone: "b", Cell: 3}}, true)
	return g, r
}

func singleGateway(s *Settings) { s.GatewayCount = 1 }

func sendRequest(g *Gateway, now float64, id, class, plan string, units float64) {
	d := 2.0
	if class != "read" {
		d = 4
	}
	g.HandleRequest(now, Request{
		ID: id, Class: class, Plan: plan, Customer: "c-" + plan, Deadline: now + d,
		FirstGateway: 0, GatewayCount: g.settings.GatewayCount, Units: units,
	})
}

// pair joins two gateways by a perfect wire.
func pair(t *testing.T) (g [2]*Gateway, r [2]*recorder, pump func(now float64)) {
	return pairOf(t, func(*Settings) {})
}

func pairOf(t *testing.T, change func(*Settings)) (g [2]*Gateway, r [2]*recorder, pump func(now float64)) {
	for i := range 2 {
		g[i], r[i] = newTestGateway(t, func(s *Settings) { change(s); s.Self = i })
	}
	seen := [2]int{}
	return g, r, func(now float64) {
		for i := range 2 {
			g[i].HandleTimer(now, 1)
		}
		for i := range 2 {
			for ; seen[i] < len(r[i].actions); seen[i]++ {
				if a := r[i].actions[seen[i]]; a.kind == "send_to_peer" {
					g[1-i].HandlePeerMessage(now, i, a.data)
				}
			}
		}
	}
}

// replyToAll answers all that was sent since the last call.
func replyToAll(g *Gateway, r *recorder, seen *int, now float64) (ids []string) {
	for ; *seen < len(r.actions); *seen++ {
		if a := r.actions[*seen]; a.kind == "send" {
			ids = append(ids, a.id)
			g.HandleOutcome(now, Outcome{RequestID: a.id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.05})
		}
	}
	return ids
}

// asMember returns a gateway of a fleet and a customer's request that another one owns.
func asMember(t *testing.T, change func(*Settings)) (*Gateway, *recorder, func(now float64, id string, units float64) *customer) {
	t.Helper()
	g, r := newTestGateway(t, change)
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprint("k", i)
		if g.ringSuccessor(&customer{hash: hashCustomer(name), gatewayCount: g.settings.GatewayCount}, false) != g.settings.Self {
			break
		}
	}
	return g, r, func(now float64, id string, units float64) *customer {
		g.HandleRequest(now, Request{
			ID: id, Class: "read", Plan: "basic", Customer: name, Deadline: now + 2, GatewayCount: g.settings.GatewayCount,
			Units: units,
		})
		return g.quota.customers.byKey[uint32(hashCustomer(name)>>32)]
	}
}

func ofGateways(n int) func(*Settings) { return func(s *Settings) { s.GatewayCount = n } }

// ownerReply is the owner's answer to the last report a gateway has sent.
func ownerReply(t *testing.T, r *recorder, seq uint16, change func(*usageRecord)) (from int, data []byte) {
	t.Helper()
	tells := r.ofKind("send_to_peer", "")
	if len(tells) == 0 {
		t.Fatal("nothing was told")
	}
	last := tells[len(tells)-1]
	report, err := testFormat.decode(last.data, 0)
	if err != nil || len(report.records) == 0 {
		t.Fatal("no report was told")
	}
	asked := report.records[0]
	v := usageRecord{Key: asked.Key, Plan: asked.Plan, Owner: true, Known: true, Total: asked.Total, WantedUnits: asked.WantedUnits}
	change(&v)
	return last.to, testFormat.encode(message{incarnation: 9, sequence: seq, records: []usageRecord{v}}, 0)
}

// largeFleet returns one gateway of a fleet of 80, with 60 servers in three zones of four cells each.
func largeFleet(t *testing.T) (*Gateway, *recorder) {
	t.Helper()
	s, r := testSettings(), &recorder{}
	s.GatewayCount = 80
	g, err := New(s, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.HandleEndpoints(100, manyEndpoints(60), true)
	return g, r
}

func manyEndpoints(n int) (list []Endpoint) {
	for i := range n {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	return list
}

// sendUnlimited has a request come that no quota holds.
func sendUnlimited(g *Gateway, now float64, id, class string) {
	g.HandleRequest(now, Request{ID: id, Class: class, Deadline: now + g.classes.byName[class].Timeout, GatewayCount: 1, Units: 1})
}

// asMemberOfParallel is asMember of a plan with two slots.
func asMemberOfParallel(t *testing.T) (*Gateway, *recorder, func(now float64, id string, units float64) *customer) {
	t.Helper()
	return asMember(t, func(s *Settings) { s.GatewayCount, s.Plans[0].MaxConcurrent = 100, 2 })
}

// sentOnce is an attempt as the network made it.
type recordedAttempt struct {
	server string
	in     dedupGroup
	at     float64 // when its last byte went out
	status AttemptStatus
	done   bool
}
