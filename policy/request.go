package policy

import (
	"cmp"
	"slices"
)

// firstWriteFraction is the fraction of the time from arrival to deadline after which no attempt is sent
// unless request.written is set. An early rejection leaves the client time for a retry.
const firstWriteFraction = 0.45

// request is a client's request from its arrival until it is done and has no attempts in flight.
type request struct {
	Request
	class    *class
	plan     *plan     // nil if the settings have no such plan: no quota applies
	customer *customer // nil if plan is nil, or if the customer table has no room for the customer

	// objectiveAt is the time until which a reply earns the full priority weight.
	objectiveAt Seconds
	// firstWriteBy is the time after which no attempt is sent unless written is set.
	firstWriteBy Seconds
	// priority is the result of priorityAt at the arrival of the request. Queues serve the highest priority
	// first.
	priority float64
	// priorityDeficit is the fraction by which the priority weight of the class is below the largest one, from 0
	// to 1.
	priorityDeficit float64
	// likelyRetry is set if the client has probably sent the request before.
	likelyRetry bool
	// creditsAccrued is set once the request has added its slow-start credits to the warming endpoints.
	creditsAccrued bool

	attempts []attempt
	inFlight int // attempts that have not ended
	// firstExecution is the first attempt recorded as possibly executed.
	firstExecution possibleExecution
	written        bool // whether any ended attempt may have been completely written
	streaming      bool // whether the reply is being streamed to the client, which rules out retries
	awaitingOwner  bool // whether the request waits for a grant from the owner of the customer
	charged        bool // whether its units are charged to the customer
	done           bool // whether the request no longer needs a final reply
}

// lastUsefulReplyAt returns the time until which a reply is worth waiting for: the objective, plus the
// fraction LateWeightFraction of the time from the objective to the deadline.
func (r *request) lastUsefulReplyAt() Seconds {
	return r.objectiveAt + r.class.LateWeightFraction*max(r.Deadline-r.objectiveAt, 0)
}

// byPriority compares requests so that the highest priority sorts first.
func byPriority(a, b *request) int { return cmp.Compare(b.priority, a.priority) }

// ended reports whether the request is done and has no attempts in flight.
func (r *request) ended() bool { return r.done && r.inFlight == 0 }

// requestTable holds the requests that have not ended.
type requestTable struct {
	byID     map[string]*request
	executed *executedRequests
	// arrived holds the requests in order of arrival. It keeps requests that have ended until the next call of
	// open.
	arrived []*request
}

func newRequestTable(executed *executedRequests) *requestTable {
	return &requestTable{byID: map[string]*request{}, executed: executed}
}

// find returns the request with the ID, or nil if there is none.
func (t *requestTable) find(id string) *request { return t.byID[id] }

// add adds a request. The caller ensures that the table holds no request with its ID.
func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.arrived = append(t.arrived, r)
}

// remove deletes a request that has ended from byID. It is remembered if it must not execute again.
func (t *requestTable) remove(r *request) {
	delete(t.byID, r.ID)
	t.executed.record(r)
}

// open returns the requests that have not ended, in order of arrival.
func (t *requestTable) open() []*request {
	t.arrived = slices.DeleteFunc(t.arrived, (*request).ended)
	return t.arrived
}

// RequestMemory is an upper bound on the mean number of bytes that the state of an open request takes,
// without its attempts.
const RequestMemory = 384
