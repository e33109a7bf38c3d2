package policy

// The gateway's state, its start and its timer.

import (
	"math/rand/v2"
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

	protocol    peerProtocol
	quota       quotaController
	nextSweepAt Seconds // when what expired is evicted next

	limiter       *concurrencyLimiter
	outliers      *outlierDetector
	healthChecks  *healthChecker
	gossip        *gossipBuffer
	endpoints     *endpointTable
	slowStart     *slowStart
	picker        *endpointPicker
	owners        *ownerDirectory
	classes       classTable
	requests      requestTable
	dispatchQueue dispatchQueue
	retries       retryPolicy
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
	g.slowStart = newSlowStart(s, g.clock)
	g.healthChecks = newHealthChecker(s, g.clock, g.slowStart)
	g.endpoints = newEndpointTable(len(s.Classes), g.slowStart.initialCredit)
	g.requests = newRequestTable()
	g.retries = newRetryPolicy(s, g.clock)
	g.gossip = &gossipBuffer{}
	g.protocol = newPeerProtocol(s, g.clock, uint8(g.rng.Uint32()), g.gossip, act.SendToPeer)
	g.limiter = newConcurrencyLimiter(s.GatewayCount, g.clock)
	g.owners = newOwnerDirectory(s, g.protocol.reachable)
	g.quota = quotaController{
		clock: g.clock, self: s.Self, owners: g.owners, protocol: &g.protocol,
		retries: &g.retries, limiter: g.limiter, requests: g,
		customers: newCustomerTable(s, g.clock, g.owners),
		reporter:  newUsageReporter(s, g.clock, &g.protocol, g.owners),
	}
	g.outliers = newOutlierDetector(s.GatewayCount, g.clock, g.rng, g.gossip)
	g.picker = &endpointPicker{
		clock: g.clock, random: g.rng,
		endpoints: g.endpoints, outliers: g.outliers, limiter: g.limiter, slowStart: g.slowStart,
		gatewayCount: s.GatewayCount, zone: s.Zone,
		crossZoneCost: s.CrossZoneCost, handshakeCost: s.HandshakeCost, idleTimeout: s.ConnectionIdleTimeout,
	}
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
	g.healthChecks.accrueCredit()
	g.requests.add(r)
	g.admitOrReject(r)
}

// HandleStreamStarted notes that an attempt's reply is being streamed to the client, so that the request
// is not retried any more.
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

// HandleOutcome takes the end of an attempt: what it tells of the endpoint and of the request, and whether
// the request is finished or retried.
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
	g.quota.retryQueued()
}

// HandleTimer does the work that no event brings.
func (g *Gateway) HandleTimer(now float64, token uint64) {
	g.clock.advance(now)
	if token != 1 {
		return
	}
	g.actions.SetTimer(1, timerInterval)
	g.dispatchQueued()
	g.watchOpenRequests()
	g.sendHealthCheck()
	g.quota.handleTimer()
	if now > g.nextSweepAt {
		g.nextSweepAt = now + customerExpiry/4
		g.quota.customers.evictIdle()
		g.endpoints.evictRemoved()
	}
}

// HandlePeerMessage handles a message of another gateway.
func (g *Gateway) HandlePeerMessage(now Seconds, from int, data []byte) {
	g.clock.advance(now)
	received, ok := g.protocol.receive(from, data)
	if !ok {
		return
	}
	for _, update := range received.updates {
		g.gossip.merge(g.endpoints, update)
	}
	g.quota.handleRecords(from, received)
	g.quota.retryQueued()
	g.quota.reporter.sendDue()
}
