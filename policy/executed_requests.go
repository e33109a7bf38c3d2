package policy

// ExecutedRequestMemory is an upper bound on the mean number of bytes that a remembered request takes, with
// an ID of up to 128 bytes.
const ExecutedRequestMemory = 320

// executionHarm is how harmful a second execution of a request is. The table forgets the least harmful ones
// first.
type executionHarm int

const (
	harmDeduplicated executionHarm = iota // all endpoints drop duplicates within the idempotency window
	harmOtherGroup                        // some endpoints don't know the key
	harmAlways                            // the class is not idempotent
	harmLevels
)

// executedRequest is a request that may have executed, and the time until which its ID is remembered.
type executedRequest struct {
	id        string
	expiresAt Seconds
}

// executedRequests remembers the IDs of requests that have ended and may have executed, so that a request is
// not executed again if its ID comes again, for example after its client has disconnected. Requests of
// idempotent classes are not remembered.
type executedRequests struct {
	clock  *eventClock
	period Seconds // time for which an ID is remembered
	limit  int     // number of IDs; 0 means no limit
	ids    map[string]struct{}
	queues [harmLevels][]executedRequest // by harm, each in the order of expiry
}

// newExecutedRequests returns an empty table. An ID is remembered for the longest time in which its client,
// or its endpoints, may still know the request: a timeout or an idempotency window.
func newExecutedRequests(s Settings, clock *eventClock) *executedRequests {
	t := &executedRequests{clock: clock, limit: s.MaxExecutedRequests, ids: map[string]struct{}{}}
	for _, class := range s.Classes {
		t.period = max(t.period, class.Timeout, class.IdempotencyWindow)
	}
	return t
}

// contains reports whether a request with the ID may have executed.
func (t *executedRequests) contains(id string) bool {
	t.forgetExpired()
	_, known := t.ids[id]
	return known
}

// record remembers a request that has ended, if it may have executed and must not execute again.
func (t *executedRequests) record(r *request) {
	if !r.mayHaveExecuted() || r.class.Idempotency == Idempotent {
		return
	}
	t.forgetExpired()
	if _, known := t.ids[r.ID]; known {
		return
	}
	harm := r.executionHarm()
	t.ids[r.ID] = struct{}{}
	t.queues[harm] = append(t.queues[harm], executedRequest{id: r.ID, expiresAt: t.clock.now + t.period})
	for t.limit > 0 && len(t.ids) > t.limit {
		t.forgetLeastHarmful()
	}
}

// executionHarm returns how harmful a second execution of the request is.
func (r *request) executionHarm() executionHarm {
	switch {
	case r.class.Idempotency == NonIdempotent:
		return harmAlways
	case r.class.DedupScope == DedupFleet:
		return harmDeduplicated
	}
	return harmOtherGroup
}

// forgetExpired removes the IDs whose time has passed.
func (t *executedRequests) forgetExpired() {
	for harm, queue := range t.queues {
		for len(queue) > 0 && queue[0].expiresAt <= t.clock.now {
			queue = t.forgetFirst(executionHarm(harm))
		}
	}
}

// forgetLeastHarmful removes the oldest of the least harmful IDs.
func (t *executedRequests) forgetLeastHarmful() {
	for harm, queue := range t.queues {
		if len(queue) > 0 {
			t.forgetFirst(executionHarm(harm))
			return
		}
	}
}

// forgetFirst removes the first ID of a queue, and returns the rest of the queue.
func (t *executedRequests) forgetFirst(harm executionHarm) []executedRequest {
	queue := t.queues[harm]
	delete(t.ids, queue[0].id)
	queue[0] = executedRequest{}
	t.queues[harm] = queue[1:]
	return t.queues[harm]
}
