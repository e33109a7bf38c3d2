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

	protocol    peerProtocol
	reporter    usageReporter
	customers   customerTable
	slotQueue   slotQueue
	nextSweepAt Seconds // when what expired is evicted next

	concurrencyLimiter
	outlierDetector
	healthChecker
	gossipBuffer
	endpointTable
	slowStart
	ownerRing
	classes classTable
	requestTable
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

// Started takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) HandleStreamStarted(now float64, id string, attempt int) {
	g.clock.advance(now)
	if r := g.requests[id]; r != nil {
		r.streaming = true
	}
}

// Gone takes the news that the request needs no answer any more.
func (g *Gateway) HandleClientGone(now float64, id string) {
	g.clock.advance(now)
	if r := g.requests[id]; r != nil && !r.done {
		g.finishRequest(r)
	}
}

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if err := validate(s, act); err != nil {
		return nil, err
	}
	g := &Gateway{settings: s, actions: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), clock: &eventClock{now: now}}
	g.classes = newClassTable(s.Classes)
	g.endpoints, g.endpointsByHash = map[string]*endpoint{}, map[uint16]*endpoint{}
	g.requests = map[string]*request{}
	g.customers = newCustomerTable(s, g.clock, func(c *customer) int { return g.ringSuccessor(c, false) })
	g.admittedWorkAt = now
	g.protocol = newPeerProtocol(s, g.clock, uint8(g.rng.Uint32()))
	g.protocol.gossip, g.protocol.sendToPeer = g.recent, act.SendToPeer
	g.reporter = newUsageReporter(s, g.clock, &g.protocol, g.owner)
	g.concurrencyLimit = initialConcurrencyPerEndpoint / float64(s.GatewayCount) // for one server
	g.voteWeight = max(minVoteWeight, min(1, smallFleetSize/float64(s.GatewayCount)))
	g.burstAllowance = burstDeviations * max(0, 1-smallFleetSize/float64(s.GatewayCount))
	g.initialize(min(ringPoints, max(8, maxRingPoints/s.GatewayCount)))
	g.actions.SetTimer(1, timerInterval)
	return g, nil
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
	g.reporter.sendDue()
	if now > g.nextSweepAt {
		g.nextSweepAt = now + customerExpiry/4
		g.customers.evictIdle()
		g.evictRemovedEndpoints()
	}
}
