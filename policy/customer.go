package policy

import "math"

// customerExpiry is the time without use after which a customer is evicted. It is longer than memberExpiry,
// at any owner: a member that has evicted a customer counts it from 0 again, which an owner that remembered
// the earlier count would take for units that are returned.
const customerExpiry Seconds = 10.0

// plan is a Plan with what all its customers have in common.
type plan struct {
	Plan
	index           int     // in Settings.Plans; names the plan in messages
	maxRequestUnits float64 // Settings.MaxRequestUnits
}

// unitsForHigherPriority returns the units that a request leaves to requests of higher priority while its
// customer is over its rate.
func (p *plan) unitsForHigherPriority(priorityDeficit float64) float64 {
	return priorityDeficit * lowPriorityReserve * p.Burst
}

// customer is the state that this gateway keeps of one customer, as its owner or as a member. Further
// methods stand with what they work on: ledger.go (owner), quota_view.go (member), local_window.go,
// ceiling.go, owner.go and client_retry.go.
type customer struct {
	key  uint32 // the upper half of hash; names the customer in messages
	hash uint64 // its point on the ring
	plan *plan

	// firstGateway and gatewayCount are the gateways in a row that its requests come to. A count of 0 tells
	// that it is known from reports of others alone.
	firstGateway, gatewayCount int
	// primaryOwner is the first of these gateways on the ring, and isPrimaryOwner tells that it is this one.
	primaryOwner   int
	isPrimaryOwner bool

	usedAt     Seconds // of the last request or message
	rejectedAt Seconds // of the last rejection

	// The counts of this gateway alone.
	totalUnits        float64 // units charged since the customer became known
	acknowledgedUnits float64 // of totalUnits, that the owner has counted
	demand            demandMeter
	inFlight          int

	// The windows.
	quota        quotaView   // of a member
	ledger       *ledger     // of the owner; nil at a member
	localWindow  tokenBucket // while the owner does not reply
	ceilingShare tokenBucket
	ceilingPool  tokenBucket

	// awaitingOwner holds the requests that wait for the owner's grant, in the order of arrival.
	awaitingOwner []*request
	report        reportState
	// slotWaiters holds the requests that wait for a concurrency slot, in the order of priority. They are
	// not retried before slotRetryAt.
	slotWaiters []*request
	slotRetryAt Seconds
}

// gateways returns how many gateways the customer's requests come to, as a divisor of its quota.
func (c *customer) gateways() float64 { return float64(max(c.gatewayCount, 1)) }

// unacknowledgedUnits returns what was charged here and not counted by the owner yet.
func (c *customer) unacknowledgedUnits() float64 { return max(c.totalUnits-c.acknowledgedUnits, 0) }

// remainingUnits returns what is left of the quota, by the ledger or else by the member's view.
func (c *customer) remainingUnits(asOwner bool, now Seconds) float64 {
	if asOwner {
		return c.currentLedger(now).window.tokens
	}
	return c.remainingUnitsAsMember(now)
}

// allWindowsFull tells whether all windows are as full as those of a customer that was never seen, so that
// nothing is lost when this one is evicted.
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

// isIdle tells whether no request, report or reply of the customer is pending.
func (c *customer) isIdle() bool {
	noRequests := c.inFlight == 0 && len(c.awaitingOwner) == 0 && len(c.slotWaiters) == 0
	return noRequests && !c.report.scheduled && !c.report.watched
}

// customerTable holds the customers that this gateway knows, and the plans.
type customerTable struct {
	clock              *eventClock
	self, gatewayCount int
	owners             ownerFinder
	startedAt          Seconds
	byKey              map[uint32]*customer
	plans              map[string]*plan
	plansByIndex       []*plan
}

// ownerFinder finds the gateway that counts a customer against its whole quota.
type ownerFinder interface {
	// owner returns the owner among the gateways that are reachable now.
	owner(c *customer) int
	// findPrimaryOwner returns the owner while all gateways are reachable.
	findPrimaryOwner(c *customer) int
}

// newCustomerTable returns a table without customers.
func newCustomerTable(s Settings, clock *eventClock, owners ownerFinder) customerTable {
	t := customerTable{
		clock: clock, self: s.Self, gatewayCount: s.GatewayCount, owners: owners, startedAt: clock.now,
		byKey: map[uint32]*customer{}, plans: map[string]*plan{},
	}
	for i, p := range s.Plans {
		added := &plan{Plan: p, index: i, maxRequestUnits: float64(s.MaxRequestUnits)}
		t.plans[p.Name] = added
		t.plansByIndex = append(t.plansByIndex, added)
	}
	return t
}

// find returns the customer of a request, which is added if it is new.
func (t *customerTable) find(r Request) *customer {
	hash := hashName(r.Customer)
	key := uint32(hash >> 32)
	c := t.byKey[key]
	if c == nil {
		c = t.add(key, t.plans[r.Plan])
	}
	if c.gatewayCount == 0 {
		t.setGateways(c, hash, r.FirstGateway, r.GatewayCount)
	}
	c.usedAt = t.clock.now
	return c
}

// add makes a customer with a full quota window. The share of its ceiling starts empty when this gateway
// does, and has filled since.
func (t *customerTable) add(key uint32, p *plan) *customer {
	now := t.clock.now
	c := &customer{
		key: key, plan: p, primaryOwner: t.self, isPrimaryOwner: true, usedAt: now, rejectedAt: math.Inf(-1),
		quota:        quotaView{window: tokenBucket{tokens: p.Burst, updatedAt: now}},
		ceilingShare: tokenBucket{updatedAt: t.startedAt}, ceilingPool: tokenBucket{updatedAt: t.startedAt},
	}
	t.byKey[key] = c
	return c
}

// setGateways records which gateways a customer's requests come to, and so which is its primary owner.
// Invalid values stand for all gateways.
func (t *customerTable) setGateways(c *customer, hash uint64, firstGateway, gatewayCount int) {
	c.hash, c.firstGateway, c.gatewayCount = hash, firstGateway, gatewayCount
	if c.gatewayCount <= 0 || c.gatewayCount > t.gatewayCount {
		c.firstGateway, c.gatewayCount = 0, t.gatewayCount
	}
	c.primaryOwner = t.owners.findPrimaryOwner(c)
	c.isPrimaryOwner = c.primaryOwner == t.self
}

// evictIdle removes the customers, and the members of ledgers, that were not used for their time of expiry.
func (t *customerTable) evictIdle() {
	now := t.clock.now
	for key, c := range t.byKey {
		if now-c.usedAt > customerExpiry && c.isIdle() && c.allWindowsFull(now) {
			delete(t.byKey, key)
		} else if c.ledger != nil {
			c.ledger.evictMembers(now)
		}
	}
}
