package policy

// Limits on attempts out at once: requests that wait for one of a customer's attempts to end.

import (
	"cmp"
	"slices"
)

// outBy counts the customer's attempts out, which a parallel plan's owner hears of.
func (g *Gateway) outBy(r *request, n int) {
	if r.cust == nil {
		return
	}
	// That a slot is free again is told at once where others may wait for it.
	scarce := n < 0 && r.cust.out+r.cust.othersOut >= r.plan.MaxConcurrent
	if r.cust.out += n; r.plan.MaxConcurrent > 0 {
		g.markForReport(r.cust, scarce)
	}
}

// slotComes tells whether a request that finds its customer's attempts all out is worth keeping until
// one of them ends: its units have room, and its aim lets it wait.
func (g *Gateway) slotComes(r *request) bool {
	c := r.cust
	next := g.now + tickS
	if c == nil || r.plan.MaxConcurrent == 0 || next > r.halfAt || next+r.cls.lat > r.aimAt || !g.mayRetry(r) {
		return false
	}
	room := 0.0
	if g.owner(c) == g.s.Self {
		room = g.ledger(c).room
	} else {
		room = g.roomNow(c)
	}
	return r.plan.Rate == 0 || r.Units <= room
}

// park keeps a request until a slot of its customer is free. No more wait than can be out at once, the
// dearest first: the cheapest gives way at once.
func (g *Gateway) park(r *request) {
	c := r.cust
	if len(c.parked) == 0 {
		g.slotless = append(g.slotless, c)
	}
	if pause := g.now + max(g.spent, tickS)/float64(2*r.plan.MaxConcurrent); g.owner(c) != g.s.Self {
		c.parkTill = max(c.parkTill, pause) // the owner is asked again then, not sooner
	}
	c.parked = append(c.parked, r)
	slices.SortStableFunc(c.parked, func(a, b *request) int { return cmp.Compare(b.prio, a.prio) })
	if n := len(c.parked) - 1; n >= r.plan.MaxConcurrent {
		last := c.parked[n]
		c.parked = c.parked[:n]
		g.refuse(last, ConcurrencyLimitReached)
	}
}

// slots tries again what waits for a slot, and gives up at once what can't make its aim any more.
func (g *Gateway) slots() {
	list := g.slotless
	g.slotless = nil
	for _, c := range list {
		c.parked = slices.DeleteFunc(c.parked, func(r *request) bool {
			if r.over || g.slotComes(r) {
				return r.over
			}
			g.refuse(r, ConcurrencyLimitReached)
			return true
		})
		for len(c.parked) > 0 && g.now >= c.parkTill && len(c.asks) == 0 {
			r := c.parked[0]
			v := g.inQuota(r)
			if v == deny {
				break
			}
			c.parked = slices.Delete(c.parked, 0, 1)
			if v == wait {
				g.ask(r)
			} else {
				g.take(r, false)
				g.place(r)
			}
		}
		if len(c.parked) > 0 {
			g.slotless = append(g.slotless, c)
		}
	}
}
