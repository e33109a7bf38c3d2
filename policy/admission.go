package policy

import "fmt"

// admission is the result of checking a request against the limits of its customer's plan.
type admission int

const (
	notAdmitted admission = iota // the request is queued for a concurrency slot or rejected
	admitRequest
	askOwner // the request waits for a grant from its customer's owner
)

// String implements fmt.Stringer.
func (a admission) String() string {
	switch a {
	case notAdmitted:
		return "not_admitted"
	case admitRequest:
		return "admit"
	case askOwner:
		return "ask_owner"
	}
	return fmt.Sprintf("admission(%d)", int(a))
}

// requestAdmitter registers incoming requests and admits, queues or rejects them.
type requestAdmitter struct {
	clock    *eventClock
	classes  *classTable
	requests *requestTable
	quota    *quotaController
	retries  *retryPolicy
	replies  *finalReplier
	// actualUnitsInReply is set if endpoint replies state the units that a request used.
	actualUnitsInReply bool
}

// handle registers a request that has just arrived, and admits, queues or rejects it.
func (a *requestAdmitter) handle(incoming Request, requestClass *class) {
	r := a.newRequest(incoming, requestClass)
	a.requests.add(r)
	if r.plan != nil && r.customer == nil {
		a.replies.reject(r, TooManyCustomers)
		return
	}
	a.admitOrReject(r)
}

// newRequest creates the state of a request that has just arrived. It finds or adds the request's customer,
// unless the table has no room for it, and adds the units to the customer's demand. It also passes the time
// until the deadline to the client-retry detector of the request's class.
func (a *requestAdmitter) newRequest(incoming Request, requestClass *class) *request {
	now := a.clock.now
	remaining := incoming.Deadline - now
	r := &request{Request: incoming, class: requestClass, plan: a.quota.customers.plans[incoming.Plan]}
	r.firstWriteBy = now + firstWriteFraction*remaining
	retryDetected := requestClass.retryDetector.observe(remaining)
	if r.plan != nil {
		r.customer = a.quota.customers.find(incoming)
	}
	if r.customer != nil {
		r.customer.openRequests++
		r.customer.demand.record(incoming.Units, now)
		retryDetected = retryDetected && r.customer.likelyRetrying(now, requestClass.Timeout)
	}
	r.likelyRetry = retryDetected || incoming.ClientRetry
	r.objectiveAt = objectiveOf(incoming, requestClass, now, retryDetected)
	r.priority = r.priorityAt(now)
	r.priorityDeficit = a.classes.priorityDeficit(requestClass)
	return r
}

// objectiveOf returns the time by which a reply must arrive to earn the full priority weight. It is never
// after the deadline. For a detected client retry, the latency objective counts from the client's first
// attempt, which is assumed to have been sent one class timeout before the deadline.
func objectiveOf(incoming Request, requestClass *class, now Seconds, retryDetected bool) Seconds {
	objectiveAt := requestClass.objectiveFrom(now)
	if retryDetected {
		objectiveAt = min(objectiveAt, requestClass.objectiveFrom(incoming.Deadline-requestClass.Timeout))
	}
	return min(objectiveAt, incoming.Deadline)
}

// priorityAt returns the priority of the request: the priority weight of its class, times the weight factor
// of its plan if it has one. If the reply is expected after the latency objective, the priority is
// multiplied by LateWeightFraction. The priority does not depend on the units of the request, because more
// units increase both the value of the reply and the work.
func (r *request) priorityAt(now Seconds) float64 {
	weightFactor := 1.0
	if r.plan != nil {
		weightFactor = r.plan.WeightFactor
	}
	if r.objectiveAt < now+r.class.meanLatency {
		weightFactor *= r.class.LateWeightFraction
	}
	return r.class.PriorityWeight * weightFactor
}

// admitOrReject decides on a request that has just arrived: it dispatches the request, queues it for a
// grant or for a concurrency slot, or rejects it.
func (a *requestAdmitter) admitOrReject(r *request) {
	decision := a.decideAdmission(r)
	switch {
	case decision == notAdmitted:
		a.quota.queueOrReject(r)
	case !a.retries.allowsAttempt(r):
		// The request arrived too late to be sent; client retries often do. The rejection is not recorded for the
		// customer, because a further retry would be even later.
		a.replies.rejectOrFail(r, DeadlineTooClose)
	case decision == askOwner:
		a.quota.awaitGrant(r)
	default:
		a.quota.admitNow(r, false)
	}
}

// decideAdmission checks the limits of the request's customer. A request without a plan has no customer and
// is admitted. If other requests of the customer wait for a concurrency slot, decideAdmission returns
// notAdmitted, so that the request does not bypass their queue.
func (a *requestAdmitter) decideAdmission(r *request) admission {
	switch {
	case r.customer == nil:
		return admitRequest
	case len(r.customer.slotWaiters) > 0:
		return notAdmitted
	}
	return a.quota.admit(r)
}

// chargeActualUnits corrects the charge for a request from the estimate in Request.Units to the actual units,
// if a successful reply states them.
func (a *requestAdmitter) chargeActualUnits(r *request, outcome Outcome) {
	if outcome.Status == OK && a.actualUnitsInReply && r.charged && outcome.ActualUnits > 0 {
		a.quota.charge(r.customer, outcome.ActualUnits-r.Units)
	}
}
