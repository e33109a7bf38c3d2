package policy

// group is where a server stands among those that drop the repeats of the same key.
type dedupGroup struct {
	zone string
	cell int
}

func (s *endpoint) dedupGroup() dedupGroup { return dedupGroup{s.Zone, s.Cell} }

// sameGroup tells whether the servers of two groups drop the repeats of the same key.
func sameDedupGroup(scope DedupScope, a, b dedupGroup) bool {
	return scope == DedupFleet || a.zone == b.zone && (scope == DedupZone || a.cell == b.cell)
}

// mayHaveRun notes the first attempt that may have run.
func (r *request) recordFirstExecuted(a *attempt) {
	if r.firstExecuted == nil {
		r.firstExecuted, r.firstExecutedGroup, r.firstExecutedAt = a.endpoint, a.group, a.sentAt
	}
}

// drops tells whether a server drops the request if it has run already. The group of the one where it may
// have counts as it was then, and as it is by now: a list may change it.
func (r *request) deduplicates(s *endpoint) bool {
	return r.firstExecuted == nil || r.class.Idempotency != IdempotencyKey ||
		sameDedupGroup(r.class.DedupScope, r.firstExecutedGroup, s.dedupGroup()) && sameDedupGroup(r.class.DedupScope, r.firstExecuted.dedupGroup(), s.dedupGroup())
}

// windowEnd is when the servers that may have run a keyed request cease to drop its repeats.
func (r *request) idempotencyWindowEnd() float64 {
	return r.firstExecutedAt + r.class.IdempotencyWindow - clockUncertainty
}
