package policy

import "slices"

// firstWriteFraction is the fraction of a request's time until its deadline after which it is given up if
// nothing of it was written to an endpoint. A rejection that comes late leaves the client no time for a
// retry.
const firstWriteFraction = 0.45

// request is a client's request from its arrival until it has its final reply and no attempt in flight.
type request struct {
	Request
	class    *class
	plan     *plan     // nil for a plan that the settings don't know: no quota applies
	customer *customer // nil without a plan

	// objectiveAt is the point in time up to which a reply earns the full priority weight.
	objectiveAt Seconds
	// firstWriteBy is the point in time at which the request is given up if nothing of it was written.
	firstWriteBy Seconds
	// priority is what a reply is worth a unit of work; queues are ordered by it.
	priority float64
	// priorityDeficit is that of the class; see classTable.priorityDeficit.
	priorityDeficit float64
	// likelyRetry tells that the client has most likely sent the request before.
	likelyRetry bool
	// creditsAccrued tells that the request has given the warming endpoints their slow-start credits.
	creditsAccrued bool

	attempts []attempt
	inFlight int // attempts that have not ended
	// firstExecution is the first attempt that may have executed.
	firstExecution possibleExecution
	written        bool // an attempt was written to an endpoint
	streaming      bool // the reply is being streamed to the client, so nothing is retried any more
	awaitingOwner  bool // the owner of the customer was asked for a grant
	charged        bool // its units are charged to the customer
	done           bool // the final reply was given, or needs not be given any more
}

// lastUsefulReplyAt is the point in time after which a reply is not worth the endpoints' work: after the
// objective, for the fraction of the remaining time that a late reply earns of the weight.
func (r *request) lastUsefulReplyAt() Seconds {
	return r.objectiveAt + r.class.LateWeightFraction*max(r.Deadline-r.objectiveAt, 0)
}

// ended tells that nothing is left to be done for the request.
func (r *request) ended() bool { return r.done && r.inFlight == 0 }

// requestTable holds the requests that have not ended.
type requestTable struct {
	byID map[string]*request
	// arrived holds the requests in the order of their arrival. Those that have ended stay in it until the
	// next call of open.
	arrived []*request
}

func newRequestTable() *requestTable { return &requestTable{byID: map[string]*request{}} }

// find returns the request, nil if there is none.
func (t *requestTable) find(id string) *request { return t.byID[id] }

func (t *requestTable) add(r *request) {
	t.byID[r.ID] = r
	t.arrived = append(t.arrived, r)
}

func (t *requestTable) remove(r *request) { delete(t.byID, r.ID) }

// open returns the requests that have not ended, in the order of their arrival.
func (t *requestTable) open() []*request {
	t.arrived = slices.DeleteFunc(t.arrived, (*request).ended)
	return t.arrived
}
