package policy

import "testing"

// The quota is 10 units per second with a burst of 40. The member is one of 10 gateways and has a tenth of the total
// demand of 40 units per second. The owner's last reply reported 20 remaining units.
func TestMemberAdmitsFromItsShare(t *testing.T) {
	const now = Seconds(100)
	for _, tc := range []struct {
		name   string
		units  float64
		age    Seconds // of the owner's last reply
		change func(*customer)
		want   admission
	}{
		{"within the units that others can't have used", 16, 0, func(*customer) {}, admitRequest},
		{"beyond the units that others can't have used", 17, 0, func(*customer) {}, askOwner},
		{"beyond the remaining units", 21, 0, func(*customer) {}, notAdmitted},
		{"within its share", 1.5, 0.3, func(*customer) {}, admitRequest},
		{"beyond its share", 3, 0.3, func(*customer) {}, askOwner},
		{"beyond the remaining units of an older reply", 24, 0.3, func(*customer) {}, askOwner},
		{"with a stale reply, enough for every gateway", 1, 0.6, func(*customer) {}, admitRequest},
		{"with a stale reply, not enough for every gateway", 1.5, 0.6, func(*customer) {}, askOwner},
		{"before the first reply, enough for every gateway", 2, 0, func(c *customer) { c.quota.remainingKnown = false }, admitRequest},
		{"before the first reply, not enough for every gateway", 3, 0, func(c *customer) { c.quota.remainingKnown = false }, askOwner},
		{"without demand at other gateways", 20, 0, func(c *customer) { c.quota.othersDemand = 0 }, admitRequest},
		{"behind a waiting request", 1, 0, func(c *customer) { c.awaitingOwner = []*request{{}} }, askOwner},
		{"during a backoff", 1, 0, func(c *customer) { c.quota.backoffUntil = now + 0.1 }, notAdmitted},
		{"after a backoff", 1, 0, func(c *customer) { c.quota.backoffUntil = now }, admitRequest},
		{"with an empty ceiling share", 1, 0, func(c *customer) { c.plan.CeilingRate = 1 }, askOwner},
	} {
		c := &customer{plan: &plan{Plan: Plan{Rate: 10, Burst: 40}}, gatewayCount: 10}
		c.demand = demandMeter{rate: 4, updatedAt: now}
		c.quota = quotaView{remainingKnown: true, window: tokenBucket{tokens: 20, updatedAt: now - tc.age}, othersDemand: 36}
		tc.change(c)
		r := &request{Request: Request{Units: tc.units}, plan: c.plan, customer: c}
		if got := c.admitAsMember(r, now); got != tc.want {
			t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
		}
	}
}
