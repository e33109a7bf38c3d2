package policy

import (
	"bytes"
	"fmt"
	"testing"
)

// action is a call of an Actions method. Fields that do not apply to its kind are zero.
type action struct {
	kind        string // send, reject, fail, cancel, health_check or send_to_peer
	id          string // request ID
	endpoint    string
	to          int     // recipient of a message
	attempt     int     // index of the cancelled attempt
	seconds     Seconds // timeout of a send, or retryAfter of a rejection
	writeWithin Seconds
	data        []byte
}

// recorder implements Actions. It records all calls except SetTimer, in order.
type recorder struct{ actions []action }

func (r *recorder) Send(id, endpoint string, timeout, writeWithin Seconds) {
	r.actions = append(r.actions, action{kind: "send", id: id, endpoint: endpoint, seconds: timeout, writeWithin: writeWithin})
}

func (r *recorder) Reject(id string, retryAfter Seconds, _ Reason) {
	r.actions = append(r.actions, action{kind: "reject", id: id, seconds: retryAfter})
}

func (r *recorder) Fail(id string, _ Reason) {
	r.actions = append(r.actions, action{kind: "fail", id: id})
}

func (r *recorder) Cancel(id string, attempt int) {
	r.actions = append(r.actions, action{kind: "cancel", id: id, attempt: attempt})
}

func (r *recorder) SetTimer(uint64, Seconds) {}

func (r *recorder) HealthCheck(endpoint string) {
	r.actions = append(r.actions, action{kind: "health_check", endpoint: endpoint})
}

func (r *recorder) SendToPeer(gateway int, data []byte) {
	r.actions = append(r.actions, action{kind: "send_to_peer", to: gateway, data: bytes.Clone(data)})
}

// ofKind returns the actions of a kind for a request, or all actions of the kind if id is "".
func (r *recorder) ofKind(kind, id string) []action { return r.ofKindFrom(0, kind, id) }

// ofKindFrom is like ofKind, for the actions from index first on.
func (r *recorder) ofKindFrom(first int, kind, id string) (list []action) {
	for _, a := range r.actions[first:] {
		if a.kind == kind && (id == "" || a.id == id) {
			list = append(list, a)
		}
	}
	return list
}

// testFormat is the message format that matches testSettings.
var testFormat = messageFormat{unitsPerWireUnit: 1}

func testSettings() Settings {
	return Settings{
		Self: 0, GatewayCount: 2, Zone: "a", MaxRequestUnits: 4, PeerMessageRate: 40, PeerMessages: true, Cancellation: true, Hedging: true,
		MaxAttempts: 3, MaxRetryAfter: 0.5, ReplySlack: 0.01,
		SlowStartMinCapacity: 0.2, SlowStartDuration: 10, OverloadMultiple: 3, OverloadWindow: 1,
		Classes: []Class{
			{Name: "read", LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, Idempotency: Idempotent},
			{Name: "put", LatencyObjective: 1, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupZone, IdempotencyWindow: 2},
			{Name: "cell", LatencyObjective: 1, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupCell, IdempotencyWindow: 2},
			{Name: "any", LatencyObjective: 3, Timeout: 4, PriorityWeight: 3, Idempotency: IdempotencyKey, DedupScope: DedupFleet, IdempotencyWindow: 0.5},
			{Name: "pay", LatencyObjective: 1, Timeout: 4, PriorityWeight: 5, Idempotency: NonIdempotent},
		},
		Plans: []Plan{
			{Name: "basic", Rate: 2, Burst: 8, WeightFactor: 1},
			{Name: "capped", Rate: 10, Burst: 20, WeightFactor: 1, CeilingRate: 20, CeilingBurst: 40},
			{Name: "open", MaxConcurrent: 2, WeightFactor: 1},
			{Name: "wide", Rate: 1000, Burst: 4000, WeightFactor: 1},
		},
	}
}

// newTestGateway returns a gateway at time 100 with three endpoints in three cells of two zones. change
// modifies its settings, and may be nil.
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

// withSingleGateway configures a fleet of one gateway.
func withSingleGateway(s *Settings) { s.GatewayCount = 1 }

// sendRequest passes a request to the gateway, with the timeout that its class has in testSettings. All
// requests of a plan come from the same customer.
func sendRequest(g *Gateway, now Seconds, id, class, plan string, units float64) {
	timeout := 2.0
	if class != "read" {
		timeout = 4
	}
	g.HandleRequest(now, Request{
		ID: id, Class: class, Plan: plan, Customer: "c-" + plan, Deadline: now + timeout,
		FirstGateway: 0, GatewayCount: g.settings.GatewayCount, Units: units,
	})
}

// newGatewayPair returns two gateways with their recorders, and a function that calls HandleTimer of both and
// delivers their messages to each other.
func newGatewayPair(t *testing.T) (g [2]*Gateway, r [2]*recorder, pump func(now Seconds)) {
	t.Helper()
	return newGatewayPairWith(t, func(*Settings) {})
}

// newGatewayPairWith is like newGatewayPair, with settings modified by change.
func newGatewayPairWith(t *testing.T, change func(*Settings)) (g [2]*Gateway, r [2]*recorder, pump func(now Seconds)) {
	t.Helper()
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

// replyToAll delivers a successful outcome for each attempt among the recorded actions from index *seen on.
// It advances *seen past them, and returns the request IDs.
func replyToAll(g *Gateway, r *recorder, seen *int, now float64) (ids []string) {
	for ; *seen < len(r.actions); *seen++ {
		if a := r.actions[*seen]; a.kind == "send" {
			ids = append(ids, a.id)
			g.HandleOutcome(now, Outcome{RequestID: a.id, Endpoint: a.endpoint, Status: OK, RequestDone: true, Elapsed: 0.05})
		}
	}
	return ids
}

// newTestMember returns a gateway that is a member for a customer, its recorder, and a function that passes
// the gateway a request of that customer and returns the customer.
func newTestMember(t *testing.T, change func(*Settings)) (*Gateway, *recorder, func(now float64, id string, units float64) *customer) {
	t.Helper()
	g, r := newTestGateway(t, change)
	name := ""
	for i := 0; ; i++ {
		name = fmt.Sprint("k", i)
		if g.owners.findPrimaryOwner(&customer{hash: hashName(name), gatewayCount: g.settings.GatewayCount}) != g.settings.Self {
			break
		}
	}
	return g, r, func(now float64, id string, units float64) *customer {
		g.HandleRequest(now, Request{
			ID: id, Class: "read", Plan: "basic", Customer: name, Deadline: now + 2, GatewayCount: g.settings.GatewayCount,
			Units: units,
		})
		return findTestCustomer(g, name)
	}
}

// withGatewayCount sets the size of the fleet.
func withGatewayCount(n int) func(*Settings) { return func(s *Settings) { s.GatewayCount = n } }

// ownerReply makes up an owner's reply to the first record of the last message that the gateway has sent. It
// returns the index of that owner and the encoded reply, which has the sequence number seq. change modifies
// the record of the reply before it is encoded.
func ownerReply(t *testing.T, r *recorder, seq uint16, change func(*usageRecord)) (from int, data []byte) {
	t.Helper()
	sent := r.ofKind("send_to_peer", "")
	if len(sent) == 0 {
		t.Fatal("no message was sent")
	}
	last := sent[len(sent)-1]
	report, err := testFormat.decode(last.data, 0)
	if err != nil || len(report.records) == 0 {
		t.Fatal("the last message has no report")
	}
	asked := report.records[0]
	v := usageRecord{key: asked.key, planIndex: asked.planIndex, fromOwner: true, remainingKnown: true, total: asked.total, wantedUnits: asked.wantedUnits}
	change(&v)
	return last.to, testFormat.encode(message{incarnation: 9, sequence: seq, records: []usageRecord{v}}, 0)
}

// newLargeFleetGateway returns one gateway of a fleet of 80, with the endpoints of largeFleetEndpoints.
func newLargeFleetGateway(t *testing.T) (*Gateway, *recorder) {
	t.Helper()
	s, r := testSettings(), &recorder{}
	s.GatewayCount = 80
	g, err := New(s, 7, 100, r)
	if err != nil {
		t.Fatal(err)
	}
	g.HandleEndpoints(100, largeFleetEndpoints(), true)
	return g, r
}

// largeFleetEndpoints returns 60 endpoints in three zones of four cells each.
func largeFleetEndpoints() (list []Endpoint) {
	for i := range 60 {
		list = append(list, Endpoint{ID: fmt.Sprintf("s%02d", i), Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	return list
}

// sendUnlimited passes the gateway a request of the class "read" to which no quota applies.
func sendUnlimited(g *Gateway, now Seconds, id string) {
	g.HandleRequest(now, Request{ID: id, Class: "read", Deadline: now + g.classes.byName["read"].Timeout, GatewayCount: 1, Units: 1})
}

// newTestMemberWithSlots is like newTestMember, with 100 gateways and a MaxConcurrent of 2.
func newTestMemberWithSlots(t *testing.T) (*Gateway, *recorder, func(now float64, id string, units float64) *customer) {
	t.Helper()
	return newTestMember(t, func(s *Settings) { s.GatewayCount, s.Plans[0].MaxConcurrent = 100, 2 })
}
