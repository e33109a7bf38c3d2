package policy

// Quota windows of customers, as a member of their gateways sees them: splits of the owner's room,
// a local window where the owner is silent, and ceilings.

import (
	"math"
)

// Times are in seconds.
const (
	ceilingPoolFraction = 0.5  // of a ceiling, that grants of the first gateway on the ring are paid from
	customerExpiry      = 10.0 // customers unused for longer are forgotten: after memberS at any owner, so that
	// the count that starts at 0 then is not taken for units handed back
)

// customerTable holds the customers and their plans.
type customerTable struct {
	customers    map[uint32]*customer
	plans        map[string]*plan
	plansByIndex []*plan
	startedAt    float64
	nextSweepAt  float64
}

// Times are in seconds.
const (
	grantFreshness       = 0.5  // a verdict no older is split; with an older one the owner is asked
	slotFreshness        = 0.1  // the same for attempts out, which change with every request
	cheapReserveFraction = 0.18 // of the burst, that the cheapest work leaves to dearer work of its customer
)

type plan struct {
	Plan
	index int
}

// customer is what a gateway keeps of one customer.
type customer struct {
	key                                    uint32
	hash                                   uint64
	plan                                   *plan
	firstGateway, gatewayCount             int // entries 0: known from others' reports alone
	primaryOwner                           int // first on the ring of its gateways
	usedAt                                 float64
	rejectedAt                             float64     // when a request was last refused for want of quota or room
	totalUnits                             float64     // own count of what was let in, ever
	acknowledgedUnits                      float64     // as the owner last took it in
	demand                                 demandMeter // units a second asked for here
	inFlight                               int
	heardFromOwner                         bool    // the owner has reported
	reportedRemaining, reportedRemainingAt float64 // as last reported
	othersDemand                           float64 // what the others are asked for
	othersInFlight                         int
	backoffUntil                           float64    // the owner refuses until then
	awaitingOwner                          []*request // wait for the owner's word
	slotQueue                              []*request // wait for an attempt of a parallel plan to end
	slotRetryAt                            float64    // they are not tried again before
	askedCount                             int        // of them, told to the owner
	retransmissions                        int
	awaitingReplySince                     float64 // since when a report is unanswered, 0: none
	awaitingReply                          bool    // in Gateway.waiting
	reportScheduled                        bool    // to be reported
	reportTo                               int     // to this gateway
	ceilingUnits, ceilingUnitsAt           float64
	ceilingPool, ceilingPoolAt             float64
	localUnits, localUnitsAt               float64
	ledger                                 *ledger
}

// roomNow is the room as a member knows it.
func (g *Gateway) remainingUnits(c *customer) float64 {
	if c.ledger != nil {
		// Ownership moved on: what was counted here is the best start for a member.
		c.reportedRemaining, c.reportedRemainingAt, c.heardFromOwner, c.acknowledgedUnits, c.ledger = g.ledger(c).remaining, g.clock.now, true, c.totalUnits, nil
	}
	return min(c.plan.Burst, c.reportedRemaining+c.plan.Rate*(g.clock.now-c.reportedRemainingAt)) - max(c.totalUnits-c.acknowledgedUnits, 0)
}

// customer finds or makes what is kept of a customer.
func (g *Gateway) findCustomer(q Request) *customer {
	h := hashCustomer(q.Customer)
	key := uint32(h >> 32)
	c := g.customers[key]
	if c == nil {
		c = g.newCustomer(key, g.plans[q.Plan])
	}
	if c.gatewayCount == 0 {
		c.hash, c.firstGateway, c.gatewayCount = h, q.FirstGateway, q.GatewayCount
		if c.gatewayCount <= 0 || c.gatewayCount > g.settings.GatewayCount {
			c.firstGateway, c.gatewayCount = 0, g.settings.GatewayCount
		}
		c.primaryOwner = g.ringSuccessor(c, false)
	}
	c.usedAt = g.clock.now
	return c
}

// forget drops customers unused for so long of which nothing is left to tell.
func (g *Gateway) evictIdleCustomers(age float64) {
	for k, c := range g.customers {
		idle := c.inFlight == 0 && len(c.awaitingOwner) == 0 && len(c.slotQueue) == 0 && !c.reportScheduled && !c.awaitingReply
		if g.clock.now-c.usedAt > age && idle && g.isPristine(c) {
			delete(g.customers, k)
		} else if c.ledger != nil {
			for i, m := range c.ledger.members {
				if g.clock.now-m.reportedAt > memberExpiry {
					delete(c.ledger.members, i)
				}
			}
		}
	}
}

// newCustomer is a customer as a gateway knows it when it is first heard of: with a full window, but
// an empty split of its ceiling, filling since this gateway's start.
func (g *Gateway) newCustomer(key uint32, p *plan) *customer {
	c := &customer{
		key: key, plan: p, primaryOwner: g.settings.Self, reportedRemaining: p.Burst, reportedRemainingAt: g.clock.now, usedAt: g.clock.now,
		rejectedAt:     math.Inf(-1),
		ceilingUnitsAt: g.startedAt, ceilingPoolAt: g.startedAt,
	}
	g.customers[key] = c
	return c
}

// inQuota decides on the ordinary path: the owner by its count, a member by its split of the room it
// last heard. Where that can't tell, since the split is under one request or the news is old, the
// request waits for the owner's word, which is the post's own call.
func (g *Gateway) admit(r *request) admission {
	c, p := r.customer, r.plan
	if g.owner(c) == g.settings.Self && g.hasCapacity(g.ledger(c), c, r.Units, r.priorityDeficit) &&
		(g.ceilingHasCapacity(c, r.Units) || g.ceilingPoolHasCapacity(c, r.Units)) {
		return admitRequest
	} else if g.owner(c) == g.settings.Self {
		return rejectRequest
	}
	room, age, mine := g.remainingUnits(c), g.clock.now-c.reportedRemainingAt, c.demand.at(g.clock.now)
	switch {
	case len(c.awaitingOwner) > 0:
		return askOwner
	case g.clock.now < c.backoffUntil:
		return rejectRequest
	case p.MaxConcurrent > 0 && (age > slotFreshness || c.inFlight+c.othersInFlight+1 >= p.MaxConcurrent), !g.ceilingHasCapacity(c, r.Units):
		return askOwner
	}
	need := r.Units
	if mine+c.othersDemand > p.Rate {
		need += r.priorityDeficit * cheapReserveFraction * p.Burst
	}
	switch old := !c.heardFromOwner || age > grantFreshness; {
	case p.Rate == 0:
		return admitRequest
	case old && need*float64(c.gatewayCount) <= min(room, room-(c.othersDemand-p.Rate)*age):
		return admitRequest // each of the customer's gateways may think the same at this moment
	case !old && need <= max(room*mine/max(mine+c.othersDemand, 1e-9), room-2*c.othersDemand*(age+clockUncertainty)):
		return admitRequest
	case r.Units > room && age < minReportInterval:
		return rejectRequest
	}
	return askOwner
}

// fits tells whether the owner's count has room. While the customer asks for more than its rate, the
// cheaper a class is a unit, the more room it must leave to dearer ones.
func (g *Gateway) hasCapacity(l *ledger, c *customer, units, cheap float64) bool {
	p := c.plan
	if p.MaxConcurrent > 0 && c.inFlight+l.inFlight(g.clock.now, -1) >= p.MaxConcurrent {
		return false
	} else if p.Rate == 0 {
		return true
	}
	if c.demand.at(g.clock.now)+l.currentDemand(g.clock.now) > p.Rate {
		units += cheap * cheapReserveFraction * p.Burst
	}
	return units <= l.remaining
}

// take charges a first send to quota and ceiling when it is let in.
func (g *Gateway) reserve(r *request, paid bool) {
	c := r.customer
	if c == nil {
		return
	}
	switch {
	case paid:
	case g.ceilingHasCapacity(c, r.Units):
		c.ceilingUnits -= r.Units
	default:
		c.ceilingPool -= r.Units
	}
	r.charged = true
	g.charge(c, r.Units)
}

func (g *Gateway) charge(c *customer, units float64) {
	if g.owner(c) == g.settings.Self {
		l := g.ledger(c)
		l.remaining = max(l.remaining-units, min(l.remaining, 0))
	}
	c.totalUnits += units
	if c.totalUnits > c.acknowledgedUnits || units < 0 {
		g.markForReport(c, false)
	}
}

// localHolds is the local window, where no owner answers: this gateway's count alone, and its part
// of the rate alone, as the others may go on serving the same customer.
func (g *Gateway) reserveLocal(c *customer, units float64) bool {
	p, n := c.plan, float64(c.gatewayCount)
	if p.MaxConcurrent > 0 && c.inFlight+c.othersInFlight >= p.MaxConcurrent {
		return false
	}
	c.localUnits = min(max(p.Burst/n, float64(g.settings.MaxRequestUnits)), c.localUnits+p.Rate/n*(g.clock.now-c.localUnitsAt))
	c.localUnitsAt = g.clock.now
	if p.Rate > 0 && units > min(c.localUnits, g.remainingUnits(c)) {
		return false
	}
	c.localUnits -= units
	return true
}

// ceilingHolds brings this gateway's fixed split of half the ceiling up to now and tells whether
// units fit. A split starts empty, as a restarted gateway may just have spent its own.
func (g *Gateway) ceilingHasCapacity(c *customer, units float64) bool {
	p, n := c.plan, float64(max(c.gatewayCount, 1))
	if p.CeilingRate <= 0 {
		return true
	}
	part := (1 - ceilingPoolFraction) / n
	c.ceilingUnits = min(p.CeilingBurst*part, c.ceilingUnits+p.CeilingRate*part*(g.clock.now-c.ceilingUnitsAt))
	c.ceilingUnitsAt = g.clock.now
	return units <= c.ceilingUnits
}

// poolHolds does so for the other part, which the first gateway on the customer's ring pays grants from.
// It is the same one for all, whoever is silent, so the parts add up whatever is lost or restarted.
func (g *Gateway) ceilingPoolHasCapacity(c *customer, units float64) bool {
	if c.primaryOwner != g.settings.Self || c.plan.CeilingRate <= 0 {
		return false
	}
	c.ceilingPool = min(c.plan.CeilingBurst*ceilingPoolFraction, c.ceilingPool+c.plan.CeilingRate*ceilingPoolFraction*(g.clock.now-c.ceilingPoolAt))
	c.ceilingPoolAt = g.clock.now
	return units <= c.ceilingPool
}
