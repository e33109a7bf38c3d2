package policy

// The gateway's state, its start and its timer.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Times are in seconds.
const (
	ringPoints           = 512  // points a gateway, as in the post, but
	maxRingPoints        = 8192 // on the whole ring no more than about so many
	minReportInterval    = 0.1  // least time between reports to one owner: "a few times a second"
	ceilingPoolFraction  = 0.5  // of a ceiling, that grants of the first gateway on the ring are paid from
	unboundedMessageRate = 1e6  // stands for no bound on it
	clockUncertainty     = 0.05 // added to a verdict's age
	demandTimeConstant   = 1.5  // memory of what a customer asks for
	memberExpiry         = 8.0  // a member unheard of a customer for so long asks nothing of it, and is forgotten
	customerExpiry       = 10.0 // customers unused for longer are forgotten: after memberS at any owner, so that
	// the count that starts at 0 then is not taken for units handed back
	timerInterval                 = 0.02 // how often queue and attempts are looked at
	initialConcurrencyPerEndpoint = 3.0  // attempts out at one server, all gateways together, to begin with
	highLatencyRatio              = 0.22 // answers that take this share of their aim shrink a server's limit
	smallFleetSize                = 12   // gateways, up to which each looks at all servers
	burstDeviations               = 4.0  // deviations of chance that many gateways may go above their part of the limit
	loadReportExpiry              = 3.0  // a load report counts for so long
	reusableIdleFraction          = 0.4  // of the time after which idle ones close, for which they are counted on
	minVoteWeight                 = 0.2  // what one of many gateways' attempts weighs in what all tell of a server
	suspectScore                  = 0.3  // attempts at servers so sick are tried elsewhere early
	minGossipInterval             = 0.2  // and so much newer than what is known already; also the least silence that tells
	inFlightTimeConstant          = 1.0  // memory of what this gateway keeps out at a server
)

// Gateway decides for one gateway.
type Gateway struct {
	settings                   Settings
	actions                    Actions
	format                     messageFormat // of messages
	rng                        *rand.Rand
	clock                      *eventClock
	startedAt                  float64
	incarnation                uint8
	sequence                   uint16
	receivedMessages           float64 // messages a second that come in
	receivedMessagesAt         float64
	reportTokens               float64 // reports that may be sent
	reportTokensAt             float64
	peersWithReports           []int       // peers with reports due
	awaitingReply              []*customer // with reports unanswered
	slotWaiters                []*customer // with requests parked
	concurrencyLimit           float64     // attempts out here, at all servers
	voteWeight                 float64     // weight of one attempt here in what all tell of a server
	burstAllowance             float64     // how far out may go above limit, in deviations
	endpointsPerGateway        float64     // servers a gateway
	inFlight                   int         // attempts out
	latencyRatio               float64     // mean of latency over aim
	meanAttemptDuration        float64     // mean time until an answer or a time-out
	lastSentAt                 float64
	healthCheckCredits         float64 // that may be sent
	gossip                     []healthUpdate
	endpointsByHash            map[uint16]*endpoint
	classesByIndex             []*class
	maxPriorityWeight          float64 // of any class, a unit
	ring                       []ringPoint
	classes                    map[string]*class
	plansByIndex               []*plan
	plans                      map[string]*plan
	endpoints                  map[string]*endpoint
	endpointOrder              []*endpoint
	requests                   map[string]*request
	openRequests               []*request
	dispatchQueue              []*request
	customers                  map[uint32]*customer
	peers                      []peer
	admittedWork               float64 // a second that quotas let in
	admittedWorkAt             float64
	warmedCapacity             float64 // of their capacity that the servers have by now, in sum
	inServiceCount             float64 // so many of them
	warmingCapacity            float64 // of them those that are cold
	offeredWork, completedWork float64 // first tries' work, and what was answered, over about the time of a cold start
	meanLatency                float64 // of the attempts, which stands for their mean work
	nextSweepAt                float64
}

// check tells what is wrong with the settings.
func validate(s Settings, act Actions) error {
	switch {
	case act == nil:
		return fmt.Errorf("no actions given")
	case s.GatewayCount < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.GatewayCount)
	case s.Self < 0 || s.Self >= s.GatewayCount:
		return fmt.Errorf("me is %d, want 0 to %d", s.Self, s.GatewayCount-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > maxPlans:
		return fmt.Errorf("%d plans given, %d at most", len(s.Plans), maxPlans)
	}
	for _, c := range s.Classes {
		if !(c.Timeout > 0) || !(c.LatencyObjective > 0) || c.PriorityWeight < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", c.Name)
		}
	}
	for _, p := range s.Plans {
		if p.Rate < 0 || p.Rate > 0 && p.Burst <= 0 || p.MaxConcurrent < 0 || p.CeilingRate < 0 || p.WeightFactor < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", p.Name)
		}
	}
	return nil
}

// setUp makes the classes, the plans and the ring.
func (g *Gateway) initialize(points int) {
	for i, c := range g.settings.Classes {
		g.maxPriorityWeight = max(g.maxPriorityWeight, c.PriorityWeight)
		g.classesByIndex = append(g.classesByIndex, newClass(c, i))
		g.classes[c.Name] = g.classesByIndex[i]
	}
	for i, p := range g.settings.Plans {
		g.plansByIndex = append(g.plansByIndex, &plan{Plan: p, index: i})
		g.plans[p.Name] = g.plansByIndex[i]
	}
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
	g := &Gateway{settings: s, actions: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), clock: &eventClock{now: now}, startedAt: now,
		classes: map[string]*class{}, plans: map[string]*plan{}, endpoints: map[string]*endpoint{},
		endpointsByHash: map[uint16]*endpoint{}, requests: map[string]*request{}, customers: map[uint32]*customer{},
		peers: make([]peer, s.GatewayCount), admittedWorkAt: now, format: newMessageFormat(s)}
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

// Timer takes a timer: all work that no event brings.
func (g *Gateway) HandleTimer(now float64, token uint64) {
	g.clock.advance(now)
	if token != 1 {
		return
	}
	g.actions.SetTimer(1, timerInterval)
	g.dispatchQueued()
	g.watchAttempts()
	g.healthCheckNext()
	g.retransmit()
	g.retryQueued()
	g.sendUsageReports()
	if now > g.nextSweepAt {
		g.nextSweepAt = now + customerExpiry/4
		g.evictIdleCustomers(customerExpiry)
		g.evictRemovedEndpoints()
	}
}
