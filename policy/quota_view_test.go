package policy

import "testing"

// One of 10 gateways, with a tenth of the demand. Of a burst of 40 units that fills at 10 a second 20 were left.
func TestMemberAdmitsFromItsShare(t *testing.T) {
	const now = Seconds(100)
	for _, tc := range []struct {
		name   string
		units  float64
		age    Seconds // of the owner's last reply
		change func(*customer)
		want   admission
	}{
		{"within what others can't have taken", 16, 0, func(*customer) {}, admitRequest},
		{"more than that", 17, 0, func(*customer) {}, askOwner},
		{"beyond what is left", 21, 0, func(*customer) {}, rejectRequest},
		{"within its share", 1.5, 0.3, func(*customer) {}, admitRequest},
		{"beyond its share", 3, 0.3, func(*customer) {}, askOwner},
		{"beyond what was left some time ago", 24, 0.3, func(*customer) {}, askOwner},
		{"with a stale reply, a part for every gateway", 1, 0.6, func(*customer) {}, admitRequest},
		{"with a stale reply, more than that", 1.5, 0.6, func(*customer) {}, askOwner},
		{"without a reply so far, a part for every gateway", 2, 0, func(c *customer) { c.quota.remainingKnown = false }, admitRequest},
		{"without a reply so far, more than that", 3, 0, func(c *customer) { c.quota.remainingKnown = false }, askOwner},
		{"alone", 20, 0, func(c *customer) { c.quota.othersDemand = 0 }, admitRequest},
		{"behind a request that waits", 1, 0, func(c *customer) { c.awaitingOwner = []*request{{}} }, askOwner},
		{"during a backoff", 1, 0, func(c *customer) { c.quota.backoffUntil = now + 0.1 }, rejectRequest},
		{"after a backoff", 1, 0, func(c *customer) { c.quota.backoffUntil = now }, admitRequest},
		{"with an empty share of the ceiling", 1, 0, func(c *customer) { c.plan.CeilingRate = 1 }, askOwner},
	} {
		c := &customer{plan: &plan{Plan: Plan{Rate: 10, Burst: 40}}, gatewayCount: 10}
		c.demand = demandMeter{rate: 4, updatedAt: now}
		c.quota = quotaView{remainingKnown: true, window: tokenBucket{tokens: 20, updatedAt: now - tc.age}, othersDemand: 36}
		tc.change(c)
		r := &request{Request: Request{Units: tc.units}, plan: c.plan, customer: c}
		if got := c.admitAsMember(r, now); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
