package policy

import "math"

// customerExpiry is the time without requests and reports after which a customer may be evicted. A member
// that has evicted a customer counts the customer's units from 0 again. If the owner still had the earlier
// count, it would treat the decrease as returned units. The owner therefore evicts members sooner:
// memberExpiry must be less than customerExpiry.
const customerExpiry Seconds = 10.0

// plan is a Plan with its index and the request limit from the settings.
type plan struct {
	Plan
	index           int     // in Settings.Plans; identifies the plan in peer messages
	maxRequestUnits float64 // Settings.MaxRequestUnits
}

// unitsForHigherPriority returns the units that a request must leave for requests of higher priority while
// the demand of its customer exceeds the rate. priorityDeficit is a result of classTable.priorityDeficit,
// from 0 to 1.
func (p *plan) unitsForHigherPriority(priorityDeficit float64) float64 {
	return priorityDeficit * lowPriorityReserve * p.Burst
}

// customer is the state that this gateway keeps for one customer, as its owner or as a member. More methods
// are defined in ledger.go (owner), quota_view.go (member), local_window.go, ceiling.go, owner.go and
// client_retry.go.
type customer struct {
	key  uint32   // upper half of the name's hash
	name nameCode // with key, identifies the customer
	hash uint64   // hash of the name and position on the ring; 0 while gatewayCount is 0
	plan *plan

	// The gatewayCount consecutive gateways from firstGateway on receive the customer's requests. gatewayCount
	// is 0 while the customer is known only from reports of other gateways.
	firstGateway, gatewayCount int
	// primaryOwner is the first of these gateways on the ring, starting at hash, or this gateway while
	// gatewayCount is 0. isPrimaryOwner is true if this gateway is the primary owner.
	primaryOwner   int
	isPrimaryOwner bool

	usedAt     Seconds // time of the last request, sent report or received report
	rejectedAt Seconds // time of the last rejection by finalReplier.reject

	// Usage at this gateway only.
	totalUnits        float64 // units charged, less those refunded, since the customer was added
	acknowledgedUnits float64 // the part of totalUnits that the owner has counted
	demand            demandMeter
	inFlight          int // attempts in flight

	// The units left of the quota and the ceiling, as far as this gateway knows.
	quota        quotaView   // at a member
	ledger       *ledger     // at the owner; see currentLedger and becomeMember
	localWindow  tokenBucket // used if the owner does not reply
	ceilingShare tokenBucket // this gateway's share
	ceilingPool  tokenBucket // used only at the primary owner

	// awaitingOwner holds the requests that wait for a grant from the owner, in the order in which they began
	// to wait.
	awaitingOwner []*request
	report        reportState
	// slotWaiters holds the requests that wait for a concurrency slot, highest priority first. None of them is
	// admitted before slotRetryAt.
	slotWaiters []*request
	slotRetryAt Seconds

	openRequests int  // requests that have no final reply yet
	attempted    bool // an attempt was made at this gateway since the customer was added

	previous, next *customer // in customerTable.queue
	nextOfKey      *customer // in customerTable.byKey
}

// gateways returns the number of gateways that receive the customer's requests, or 1 if the number is
// unknown.
func (c *customer) gateways() float64 { return float64(max(c.gatewayCount, 1)) }

// unacknowledgedUnits returns the units charged at this gateway that the owner has not counted yet.
func (c *customer) unacknowledgedUnits() float64 { return max(c.totalUnits-c.acknowledgedUnits, 0) }

// remainingUnits returns the units left of the quota: in the ledger if asOwner is set, otherwise in the
// member's view. If needed, it creates the ledger, or replaces the ledger by a view.
func (c *customer) remainingUnits(asOwner bool, now Seconds) float64 {
	if asOwner {
		return c.currentLedger(now).window.tokens
	}
	return c.remainingUnitsAsMember(now)
}

// allWindowsFull reports whether the customer's quota, local window and ceiling are full, so that evicting
// the customer loses no usage. It ignores limits that the plan does not have.
func (c *customer) allWindowsFull(now Seconds) bool {
	const tolerance = 1e-9 // units
	if c.plan.Rate > 0 {
		quotaFull := c.remainingUnits(c.ledger != nil, now) >= c.plan.Burst-tolerance
		if !quotaFull || !c.isLocalWindowFull(now) {
			return false
		}
	}
	return c.isCeilingFull(tolerance, now)
}

// isIdle reports whether the customer has no requests, no scheduled report and no expected reply.
func (c *customer) isIdle() bool {
	return !c.hasRequests() && !c.report.scheduled && !c.report.watched
}

// hasRequests reports whether the customer has attempts in flight, requests without a final reply, or
// requests that are queued for a grant or a concurrency slot.
func (c *customer) hasRequests() bool {
	return c.openRequests > 0 || c.inFlight > 0 || len(c.awaitingOwner) > 0 || len(c.slotWaiters) > 0
}

// customerTable holds the plans and the customers that this gateway knows.
type customerTable struct {
	clock              *eventClock
	self, gatewayCount int
	owners             ownerFinder
	startedAt          Seconds
	byKey              map[uint32]*customer // the first of a list, which nextOfKey links, of customers of a key
	count              int                  // number of customers in the table
	queue              customerQueue
	limit              int // number of customers that the table can hold; 0 means no limit
	reports            reportScheduler
	plans              map[string]*plan
	plansByIndex       []*plan
}

// reportScheduler holds the reports that are scheduled but not sent.
type reportScheduler interface {
	// unschedule removes the scheduled report on a customer.
	unschedule(c *customer)
}

// ownerFinder finds the owner of a customer. The owner is the gateway that counts the customer's usage
// against the whole quota.
type ownerFinder interface {
	// owner returns the customer's current owner, which depends on the gateways that are reachable.
	owner(c *customer) int
	// findPrimaryOwner returns the first of the customer's gateways on the ring, starting at the customer's
	// hash.
	findPrimaryOwner(c *customer) int
}

// newCustomerTable returns a table with the plans of the settings and no customers.
func newCustomerTable(s Settings, clock *eventClock, owners ownerFinder) customerTable {
	t := customerTable{
		clock: clock, self: s.Self, gatewayCount: s.GatewayCount, owners: owners, startedAt: clock.now,
		byKey: map[uint32]*customer{}, limit: s.MaxCustomers, plans: map[string]*plan{},
	}
	for i, p := range s.Plans {
		added := &plan{Plan: p, index: i, maxRequestUnits: float64(s.MaxRequestUnits)}
		t.plans[p.Name] = added
		t.plansByIndex = append(t.plansByIndex, added)
	}
	return t
}

// find returns the customer of a request, and adds it to the table if it is new. It returns nil if the
// customer is new and the table has no room for it. It also records that the customer is used now and, if
// they are not known yet, the customer's gateways.
func (t *customerTable) find(r Request) *customer {
	hash := hashName(r.Customer)
	key, name, p := nameKey(hash), encodeName(r.Customer), t.plans[r.Plan]
	c := t.findNamed(key, name, p)
	if c == nil {
		if c = t.add(key, name, p); c == nil {
			return nil
		}
	}
	if c.gatewayCount == 0 {
		t.setGateways(c, hash, r.FirstGateway, r.GatewayCount)
	}
	t.use(c)
	return c
}

// identify returns the customer of a record from another gateway, or nil if it is not in the table. If the
// other gateway's version sends no names, it is a customer of the record's key and plan.
func (t *customerTable) identify(record usageRecord) *customer {
	p := t.plansByIndex[record.planIndex]
	if record.name != unknownName {
		return t.findNamed(record.key, record.name, p)
	}
	return t.findInList(record.key, func(c *customer) bool { return c.plan == p })
}

// findNamed returns the customer with the given name, or nil. A customer of the same key and plan whose name
// was not known is taken for it from now on.
func (t *customerTable) findNamed(key uint32, name nameCode, p *plan) *customer {
	if c := t.findInList(key, func(c *customer) bool { return c.name == name }); c != nil {
		return c
	}
	c := t.findInList(key, func(c *customer) bool { return c.name == unknownName && c.plan == p })
	if c != nil {
		c.name = name
	}
	return c
}

// findInList returns the first customer of a key for which accept returns true, or nil.
func (t *customerTable) findInList(key uint32, accept func(*customer) bool) *customer {
	for c := t.byKey[key]; c != nil; c = c.nextOfKey {
		if accept(c) {
			return c
		}
	}
	return nil
}

// use records that a customer is used now.
func (t *customerTable) use(c *customer) {
	c.usedAt = t.clock.now
	t.queue.moveToLast(c)
}

// add creates a customer with a full quota window. Its ceiling share and pool are treated as empty at the
// start of this gateway and refilled since then. add returns nil if the table has no room.
func (t *customerTable) add(key uint32, name nameCode, p *plan) *customer {
	if !t.makeRoom() {
		return nil
	}
	now := t.clock.now
	c := &customer{
		key: key, name: name, plan: p, primaryOwner: t.self, isPrimaryOwner: true,
		usedAt: now, rejectedAt: math.Inf(-1),
		quota:        quotaView{window: tokenBucket{tokens: p.Burst, updatedAt: now}},
		ceilingShare: tokenBucket{updatedAt: t.startedAt}, ceilingPool: tokenBucket{updatedAt: t.startedAt},
	}
	c.nextOfKey, t.byKey[key] = t.byKey[key], c
	t.count++
	t.queue.pushLast(c)
	return c
}

// removeFromList removes a customer from the list of its key.
func (t *customerTable) removeFromList(c *customer) {
	if t.byKey[c.key] != c {
		previous := t.findInList(c.key, func(other *customer) bool { return other.nextOfKey == c })
		previous.nextOfKey = c.nextOfKey
		return
	}
	if c.nextOfKey == nil {
		delete(t.byKey, c.key)
		return
	}
	t.byKey[c.key] = c.nextOfKey
}

// setGateways records which gateways receive a customer's requests, and determines its primary owner. If
// gatewayCount is out of range, all gateways receive them.
func (t *customerTable) setGateways(c *customer, hash uint64, firstGateway, gatewayCount int) {
	c.hash, c.firstGateway, c.gatewayCount = hash, firstGateway, gatewayCount
	if c.gatewayCount <= 0 || c.gatewayCount > t.gatewayCount {
		c.firstGateway, c.gatewayCount = 0, t.gatewayCount
	}
	c.primaryOwner = t.owners.findPrimaryOwner(c)
	c.isPrimaryOwner = c.primaryOwner == t.self
}

// evictIdle removes the customers that are idle, have full windows and were not used for customerExpiry. It
// also evicts expired members from the ledgers of the other customers.
func (t *customerTable) evictIdle() {
	now := t.clock.now
	for c := t.queue.first; c != nil; {
		next := c.next // evict unlinks c
		if now-c.usedAt > customerExpiry && c.isIdle() && c.allWindowsFull(now) {
			t.evict(c)
		} else if c.ledger != nil {
			c.ledger.evictMembers(now)
		}
		c = next
	}
}
