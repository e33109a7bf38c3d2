package policy

import (
	"cmp"
	"slices"
)

// loadReportExpiry is the age at which a load report is no longer used.
const loadReportExpiry Seconds = 3.0

// endpointTable holds the endpoints of the endpoint list. It keeps a removed endpoint until evictRemoved
// finds it without attempts in flight.
type endpointTable struct {
	classCount    int
	initialCredit func(hash uint16) float64 // slow-start credit of a new or restarted endpoint

	byID   map[string]*endpoint
	listed []*endpoint          // endpoints with listed set, ordered by ID
	byHash map[uint16]*endpoint // nil value if several endpoints share the hash
	// byAddress holds the endpoint that was listed at an address last.
	byAddress map[string]*endpoint
}

func newEndpointTable(classCount int, initialCredit func(hash uint16) float64) *endpointTable {
	return &endpointTable{
		classCount:    classCount,
		initialCredit: initialCredit,
		byID:          map[string]*endpoint{},
		byHash:        map[uint16]*endpoint{},
		byAddress:     map[string]*endpoint{},
	}
}

// apply updates the endpoint list: it replaces the list if complete is set, and otherwise updates the given
// entries. It returns the endpoints that are new or have moved to another address.
func (t *endpointTable) apply(list []Endpoint, complete bool) (arrived []*endpoint) {
	if complete {
		for _, e := range t.listed {
			e.listed = false
		}
	}
	for _, entry := range list {
		if e, hasArrived := t.applyEntry(entry); hasArrived {
			arrived = append(arrived, e)
		}
	}
	t.listed = t.listed[:0]
	for _, e := range t.byID {
		if e.listed {
			t.listed = append(t.listed, e)
		}
	}
	slices.SortFunc(t.listed, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return arrived
}

// applyEntry updates an endpoint, and reports whether it is new or has moved to another address.
func (t *endpointTable) applyEntry(entry Endpoint) (e *endpoint, arrived bool) {
	e = t.byID[entry.ID]
	arrived = e == nil || e.Address != entry.Address
	if e == nil {
		hash := uint16(hashName(entry.ID))
		e = newEndpoint(hash, t.classCount, t.initialCredit(hash))
		t.byID[entry.ID] = e
		t.indexByHash(e)
	} else if entry.StartedAt != e.StartedAt && entry.StartedAt > 0 {
		e.restart(t.initialCredit(e.hash))
	}
	if e.Address != entry.Address {
		t.leaveAddress(e)
	}
	e.Endpoint, e.listed = entry, entry.State != Removed
	if latest := t.byAddress[e.Address]; latest == nil || latest.StartedAt <= e.StartedAt {
		t.byAddress[e.Address] = e
	}
	return e, arrived
}

// leaveAddress removes an endpoint from byAddress.
func (t *endpointTable) leaveAddress(e *endpoint) {
	if t.byAddress[e.Address] == e {
		delete(t.byAddress, e.Address)
	}
}

// latestAt returns the endpoint that was listed at an address last, or nil if the address is not known.
func (t *endpointTable) latestAt(address string) *endpoint {
	if address == "" {
		return nil
	}
	return t.byAddress[address]
}

// evictRemoved deletes the endpoints that are no longer listed and have no attempts in flight.
func (t *endpointTable) evictRemoved() {
	before := len(t.byID)
	for id, e := range t.byID {
		if !e.listed && e.inFlight == 0 {
			delete(t.byID, id)
			t.leaveAddress(e)
		}
	}
	if len(t.byID) == before {
		return
	}
	clear(t.byHash)
	for _, e := range t.byID {
		t.indexByHash(e)
	}
}

// indexByHash adds the endpoint to byHash. If several endpoints share a hash, their health updates cannot be
// told apart, so the entry becomes nil and the updates are ignored.
func (t *endpointTable) indexByHash(e *endpoint) {
	if _, shared := t.byHash[e.hash]; shared {
		t.byHash[e.hash] = nil
		return
	}
	t.byHash[e.hash] = e
}

// meanUtilization returns the mean of the recent utilizations of the listed endpoints. known is false if
// there are none.
func (t *endpointTable) meanUtilization(now Seconds) (mean float64, known bool) {
	count := 0.0
	for _, e := range t.listed {
		if e.utilizationKnown(now) {
			count++
			mean += e.utilization
		}
	}
	return mean / max(count, 1), count > 0
}
