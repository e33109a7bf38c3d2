package policy

// admit decides on a request: the owner by its ledger, a member by its split of the remaining units.
func (g *Gateway) admit(r *request) admission {
	if g.owner(r.customer) == g.settings.Self {
		return r.customer.admitAsOwner(r, g.clock.now)
	}
	return r.customer.admitAsMember(r, g.clock.now)
}

// reserve charges an admitted request to quota and ceiling. With ceilingPaid the owner has taken it from the
// ceiling's pool already.
func (g *Gateway) reserve(r *request, ceilingPaid bool) {
	c := r.customer
	if c == nil {
		return
	}
	if !ceilingPaid {
		c.reserveCeiling(r.Units, g.clock.now)
	}
	r.charged = true
	g.charge(c, r.Units)
}

// charge counts units, which are below 0 when they are returned, and has them reported to the owner.
func (g *Gateway) charge(c *customer, units float64) {
	if g.owner(c) == g.settings.Self {
		c.currentLedger(g.clock.now).charge(units)
	}
	c.totalUnits += units
	if c.totalUnits > c.acknowledgedUnits || units < 0 {
		g.markForReport(c, false)
	}
}
