package policy

import "fmt"

// admission is the result of checking a request against its customer's quota and ceiling.
type admission int

const (
	notAdmitted admission = iota
	admitRequest
	askOwner // the request waits for a grant from its customer's owner
)

// String implements fmt.Stringer.
func (a admission) String() string {
	switch a {
	case notAdmitted:
		return "reject"
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
	// actualUnitsInReply reports whether endpoint replies state the units that a request used.
	actualUnitsInReply bool
}

// handle registers a request that has just arrived, and admits, queues or rejects it.
func (a *requestAdmitter) handle(incoming Request, requestClass *class) {
	r := a.newRequest(incoming, requestClass)
	a.requests.add(r)
	a.admitOrReject(r)
}

// newRequest creates the state of a request that has just arrived. It also adds the request's units to its
// customer's demand, and passes the time until its deadline to the client-retry detector of its class.
func (a *requestAdmitter) newRequest(incoming Request, requestClass *class) *request {
	now := a.clock.now
	remaining := incoming.Deadline - now
	r := &request{Request: incoming, class: requestClass, plan: a.quota.customers.plans[incoming.Plan]}
	r.firstWriteBy = now + firstWriteFraction*remaining
	retryDetected := requestClass.retryDetector.observe(remaining)
	if r.plan != nil {
		r.customer = a.quota.customers.find(incoming)
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

// priorityAt returns the priority of the request: the weight that its reply earns per unit of work. The
// weight is lower if the reply is expected after the latency objective. The units of the request do not
// affect its priority, because both the weight and the work are proportional to them.
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

// admitOrReject decides on a request that has just arrived: it dispatches the request, queues it until the
// owner grants it or a concurrency slot becomes free, or rejects it.
func (a *requestAdmitter) admitOrReject(r *request) {
	decision := a.decideAdmission(r)
	switch {
	case decision == notAdmitted:
		a.quota.queueOrReject(r)
	case !a.retries.allowsAttempt(r):
		// The request arrived too late to be sent; client retries often do. The rejection is not recorded for the
		// customer, because the client has no time left to retry.
		a.replies.rejectOrFail(r, DeadlineTooClose)
	case decision == askOwner:
		a.quota.awaitGrant(r)
	default:
		a.quota.admitNow(r, false)
	}
}

// decideAdmission checks the quota and ceiling of the request's customer. A request without a plan has no
// customer and is admitted. If other requests of the customer wait for a concurrency slot, decideAdmission
// returns notAdmitted, so that the request joins their queue instead of overtaking them.
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
// if the reply states them.
func (a *requestAdmitter) chargeActualUnits(r *request, outcome Outcome) {
	if outcome.Status == OK && a.actualUnitsInReply && r.charged && outcome.ActualUnits > 0 {
		a.quota.charge(r.customer, outcome.ActualUnits-r.Units)
	}
}
