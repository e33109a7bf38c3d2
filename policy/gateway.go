package policy

// The gateway's state, its start and its timer.

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Times are in seconds.
const (
	timerInterval = 0.02 // how often queue and attempts are looked at
)

// Gateway decides for one gateway.
type Gateway struct {
	settings Settings
	actions  Actions
	rng      *rand.Rand
	clock    *eventClock

	customers   customerTable
	nextSweepAt Seconds // when what expired is evicted next

	peerProtocol
	slotQueue
	concurrencyLimiter
	outlierDetector
	healthChecker
	gossipBuffer
	endpointTable
	slowStart
	ownerRing
	classes       classTable
	requests      requestTable
	dispatchQueue dispatchQueue
	retries       retryPolicy
}

// setUp makes the classes, the plans and the ring.
func (g *Gateway) initialize(points int) {
	for gw := range g.settings.GatewayCount {
		for i := range points {
			g.ring = append(g.ring, ringPoint{mixBits(uint64(gw)<<32 | uint64(i)), gw})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.gateway, b.gateway))
	})
}

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if act == nil {
		return nil, ErrNoActions
	}
	if err := validate(s); err != nil {
		return nil, err
	}
	g := &Gateway{settings: s, actions: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), clock: &eventClock{now: now}}
	g.classes = newClassTable(s.Classes)
	g.endpoints, g.endpointsByHash = map[string]*endpoint{}, map[uint16]*endpoint{}
	g.customers = newCustomerTable(s, g.clock, func(c *customer) int { return g.ringSuccessor(c, false) })
	g.requests = newRequestTable()
	g.retries = newRetryPolicy(s, g.clock)
	g.peers, g.format = make([]peer, s.GatewayCount), newMessageFormat(s)
	g.admittedWorkAt = now
	g.incarnation = uint8(g.rng.Uint32())
	g.reportTokens, g.reportTokensAt = 2, now
	g.concurrencyLimit = initialConcurrencyPerEndpoint / float64(s.GatewayCount) // for one server
	g.voteWeight = max(minVoteWeight, min(1, smallFleetSize/float64(s.GatewayCount)))
	g.burstAllowance = burstDeviations * max(0, 1-smallFleetSize/float64(s.GatewayCount))
	g.settings.PeerMessageRate = cmp.Or(max(s.PeerMessageRate, 0), unboundedMessageRate)
	g.initialize(min(ringPoints, max(8, maxRingPoints/s.GatewayCount)))
	g.actions.SetTimer(1, timerInterval)
	return g, nil
}

// HandleRequest decides on a client's request. One that is open already is ignored.
func (g *Gateway) HandleRequest(now Seconds, incoming Request) {
	g.clock.advance(now)
	if g.requests.find(incoming.ID) != nil {
		return
	}
	cls := g.classes.byName[incoming.Class]
	if cls == nil {
		g.actions.Fail(incoming.ID, UnknownClass)
		return
	}
	r := g.newRequest(incoming, cls)
	g.healthCheckCredits = min(g.healthCheckCredits+healthChecksPerRequest, 2)
	g.requests.add(r)
	g.admitOrReject(r)
}

// HandleStreamStarted notes that an attempt's reply is being streamed to the client, so that the request is not
// retried any more.
func (g *Gateway) HandleStreamStarted(now Seconds, id string, _ int) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil {
		r.streaming = true
	}
}

// HandleClientGone notes that a request needs no reply any more.
func (g *Gateway) HandleClientGone(now Seconds, id string) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil && !r.done {
		g.finishRequest(r)
	}
}

// HandleOutcome takes the end of an attempt: what it tells of the endpoint and of the request, and whether the
// request is finished or retried.
func (g *Gateway) HandleOutcome(now Seconds, outcome Outcome) {
	g.clock.advance(now)
	r, a := g.endAttempt(outcome)
	if r == nil {
		return
	}
	g.recordLoadReport(a.endpoint, outcome.Load)
	g.recordOutcome(r, a, outcome)
	r.recordStatus(a, outcome.Status)
	g.chargeActualUnits(r, outcome)
	g.finishOrRetry(r, outcome)
	g.dispatchQueued()
	g.retryQueued()
}

// Timer takes a timer: all work that no event brings.
func (g *Gateway) HandleTimer(now float64, token uint64) {
	g.clock.advance(now)
	if token != 1 {
		return
	}
	g.actions.SetTimer(1, timerInterval)
	g.dispatchQueued()
	g.watchOpenRequests()
	g.healthCheckNext()
	g.retransmit()
	g.retryQueued()
	g.sendUsageReports()
	if now > g.nextSweepAt {
		g.nextSweepAt = now + customerExpiry/4
		g.customers.evictIdle()
		g.evictRemovedEndpoints()
	}
}
