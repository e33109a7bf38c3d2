package policy

// requestTable holds the requests that are open, and those of them that wait for an endpoint.
type requestTable struct {
	requests      map[string]*request
	openRequests  []*request
	dispatchQueue []*request
}

type request struct {
	Request
	class              *class
	plan               *plan
	customer           *customer
	objectiveAt        float64
	attempts           []attempt
	inFlight           int
	firstExecuted      *endpoint // first server where it may have run
	firstExecutedGroup dedupGroup
	firstExecutedAt    float64
	done               bool
	awaitingOwner      bool // the owner's word is awaited
	charged            bool // charged to its quota
	written            bool // to a server, whole
	firstWriteBy       float64
	streaming          bool
	likelyRetry        bool // most likely a client's later try
	creditsAccrued     bool // it has brought cold servers nearer to their turns
	priority           float64
	priorityDeficit    float64 // 0 for the dearest class, towards 1 for the cheapest
}

// over notes that a request has had its final answer, and forgets it once nothing is out. What was
// never sent never counted.
func (g *Gateway) finishRequest(r *request) {
	r.done = true
	if r.charged && len(r.attempts) == 0 {
		r.charged = false
		g.charge(r.customer, -r.Units)
	}
	if r.inFlight == 0 {
		delete(g.requests, r.ID)
	}
}
