package policy

import "fmt"

// admission is the decision of quota and ceiling on a request.
type admission int

const (
	rejectRequest admission = iota
	admitRequest
	askOwner // the request waits for a grant of its customer's owner
)

// String returns the name of the decision.
func (a admission) String() string {
	switch a {
	case rejectRequest:
		return "reject"
	case admitRequest:
		return "admit"
	case askOwner:
		return "ask_owner"
	}
	return fmt.Sprintf("admission(%d)", int(a))
}

// requestAdmitter takes in the requests of clients and decides which of them are admitted.
type requestAdmitter struct {
	clock    *eventClock
	classes  *classTable
	requests *requestTable
	quota    *quotaController
	retries  *retryPolicy
	replies  *finalReplier
	// actualUnitsInReply tells that replies bring the actual units of their requests.
	actualUnitsInReply bool
}

// handle takes in a request that arrives now.
func (a *requestAdmitter) handle(incoming Request, requestClass *class) {
	r := a.newRequest(incoming, requestClass)
	a.requests.add(r)
	a.admitOrReject(r)
}

// newRequest returns the state of a request that arrives now, counted into the demand of its customer and the
// retry detection of its class.
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

// objectiveOf returns the point in time up to which a reply earns the full priority weight. For a detected
// retry that counts from the client's first attempt, which is taken to have had the class's timeout.
func objectiveOf(incoming Request, requestClass *class, now Seconds, retryDetected bool) Seconds {
	objectiveAt := requestClass.objectiveFrom(now)
	if retryDetected {
		objectiveAt = min(objectiveAt, requestClass.objectiveFrom(incoming.Deadline-requestClass.Timeout))
	}
	return min(objectiveAt, incoming.Deadline)
}

// priorityAt returns the weight that a reply earns per unit of work, lower if the reply is expected after the
// objective. Work and weight both grow with the units of the request, so these cancel out.
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

// admitOrReject decides on a request that has just arrived: it is sent, waits for its owner or for a
// concurrency slot, or is rejected.
func (a *requestAdmitter) admitOrReject(r *request) {
	decision := a.decideAdmission(r)
	switch {
	case decision == rejectRequest:
		a.quota.queueOrReject(r)
	case !a.retries.allowsAttempt(r):
		// A client's retry can arrive with no time left at all. Its client will not retry any more, so this
		// does not count as a rejection of the customer.
		a.replies.rejectOrFail(r, DeadlineTooClose)
	case decision == askOwner:
		a.quota.awaitGrant(r)
	default:
		a.quota.admitNow(r, false)
	}
}

// decideAdmission asks quota and ceiling of the request's customer. No request overtakes those of its customer
// that wait for a concurrency slot.
func (a *requestAdmitter) decideAdmission(r *request) admission {
	switch {
	case r.customer == nil:
		return admitRequest
	case len(r.customer.slotWaiters) > 0:
		return rejectRequest
	}
	return a.quota.admit(r)
}

// chargeActualUnits replaces the estimate of a request's units, which its customer was charged, by the actual
// ones that its reply brought.
func (a *requestAdmitter) chargeActualUnits(r *request, outcome Outcome) {
	if outcome.Status == OK && a.actualUnitsInReply && r.charged && outcome.ActualUnits > 0 {
		a.quota.charge(r.customer, outcome.ActualUnits-r.Units)
	}
}
