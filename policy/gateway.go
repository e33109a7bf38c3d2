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
	ringPoints      = 512  // points a gateway, as in the post, but
	maxRingPoints   = 8192 // on the whole ring no more than about so many
	batchS          = 0.1  // least time between reports to one owner: "a few times a second"
	gapS            = 0.1  // no event for so long: this gateway itself stood still
	poolShare       = 0.5  // of a ceiling, that grants of the first gateway on the ring are paid from
	unboundedIntake = 1e6  // stands for no bound on it
	lagS            = 0.05 // added to a verdict's age
	demandTauS      = 1.5  // memory of what a customer asks for
	memberS         = 8.0  // a member unheard of a customer for so long asks nothing of it, and is forgotten
	forgetS         = 10.0 // customers unused for longer are forgotten: after memberS at any owner, so that
	// the count that starts at 0 then is not taken for units handed back
	tickS         = 0.02 // how often queue and attempts are looked at
	startLimit    = 3.0  // attempts out at one server, all gateways together, to begin with
	stretchHigh   = 0.22 // answers that take this share of their aim shrink a server's limit
	lookAtAllUpTo = 12   // gateways, up to which each looks at all servers
	swing         = 4.0  // deviations of chance that many gateways may go above their part of the limit
	utilS         = 3.0  // a load report counts for so long
	connShare     = 0.4  // of the time after which idle ones close, for which they are counted on
	minOwnWeight  = 0.2  // what one of many gateways' attempts weighs in what all tell of a server
	hedgeSick     = 0.3  // attempts at servers so sick are tried elsewhere early
	newsStepS     = 0.2  // and so much newer than what is known already; also the least silence that tells
	busyTauS      = 1.0  // memory of what this gateway keeps out at a server
)

// Gateway decides for one gateway.
type Gateway struct {
	s                Settings
	act              Actions
	form             form // of messages
	rng              *rand.Rand
	now              float64
	born             float64
	boot             uint8
	seq              uint16
	gapAt            float64 // when this gateway last came back from a gap of its own
	inRate           float64 // messages a second that come in
	inAt             float64
	tokens           float64 // reports that may be sent
	tokensAt         float64
	pending          []int       // peers with reports due
	waiting          []*customer // with reports unanswered
	slotless         []*customer // with requests parked
	limit            float64     // attempts out here, at all servers
	word             float64     // weight of one attempt here in what all tell of a server
	swing            float64     // how far out may go above limit, in deviations
	part             float64     // servers a gateway
	out              int         // attempts out
	stretch          float64     // mean of latency over aim
	spent            float64     // mean time until an answer or a time-out
	sentAt           float64
	probes           float64 // that may be sent
	news             []item
	byHash           map[uint16]*server
	classList        []*class
	maxWorth         float64 // of any class, a unit
	ring             []ringPoint
	classes          map[string]*class
	plans            []*plan
	byPlan           map[string]*plan
	servers          map[string]*server
	order            []*server
	reqs             map[string]*request
	live             []*request
	queue            []*request
	custs            map[uint32]*customer
	peers            []peer
	work             float64 // a second that quotas let in
	workAt           float64
	shares           float64 // of their capacity that the servers have by now, in sum
	up               float64 // so many of them
	coldShares       float64 // of them those that are cold
	offered, carried float64 // first tries' work, and what was answered, over about the time of a cold start
	meanLat          float64 // of the attempts, which stands for their mean work
	sweepAt          float64
}

// check tells what is wrong with the settings.
func check(s Settings, act Actions) error {
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

// clock sets the time, and notes when this gateway itself stood still.
func (g *Gateway) clock(now float64) {
	if now-g.now > gapS {
		g.gapAt = now
	}
	g.now = now
}

// setUp makes the classes, the plans and the ring.
func (g *Gateway) setUp(points int) {
	for i, c := range g.s.Classes {
		g.maxWorth = max(g.maxWorth, c.PriorityWeight)
		g.classList = append(g.classList, newClass(c, i))
		g.classes[c.Name] = g.classList[i]
	}
	for i, p := range g.s.Plans {
		g.plans = append(g.plans, &plan{Plan: p, index: i})
		g.byPlan[p.Name] = g.plans[i]
	}
	for gw := range g.s.GatewayCount {
		for i := range points {
			g.ring = append(g.ring, ringPoint{mix(uint64(gw)<<32 | uint64(i)), gw})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.gw, b.gw))
	})
}

// Started takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) HandleStreamStarted(now float64, id string, attempt int) {
	g.clock(now)
	if r := g.reqs[id]; r != nil {
		r.stream = true
	}
}

// Gone takes the news that the request needs no answer any more.
func (g *Gateway) HandleClientGone(now float64, id string) {
	g.clock(now)
	if r := g.reqs[id]; r != nil && !r.over {
		g.over(r)
	}
}

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if err := check(s, act); err != nil {
		return nil, err
	}
	g := &Gateway{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, born: now,
		classes: map[string]*class{}, byPlan: map[string]*plan{}, servers: map[string]*server{},
		byHash: map[uint16]*server{}, reqs: map[string]*request{}, custs: map[uint32]*customer{},
		peers: make([]peer, s.GatewayCount), workAt: now, form: formOf(s)}
	g.boot = uint8(g.rng.Uint32())
	g.tokens, g.tokensAt = 2, now
	g.limit = startLimit / float64(s.GatewayCount) // for one server
	g.word = max(minOwnWeight, min(1, lookAtAllUpTo/float64(s.GatewayCount)))
	g.swing = swing * max(0, 1-lookAtAllUpTo/float64(s.GatewayCount))
	g.s.PeerMessageRate = cmp.Or(max(s.PeerMessageRate, 0), unboundedIntake)
	g.setUp(min(ringPoints, max(8, maxRingPoints/s.GatewayCount)))
	g.act.SetTimer(1, tickS)
	return g, nil
}

// Timer takes a timer: all work that no event brings.
func (g *Gateway) HandleTimer(now float64, token uint64) {
	g.clock(now)
	if token != 1 {
		return
	}
	g.act.SetTimer(1, tickS)
	g.drain()
	g.watch()
	g.probe()
	g.unanswered()
	g.slots()
	g.flush()
	if now > g.sweepAt {
		g.sweepAt = now + forgetS/4
		g.forget(forgetS)
		g.forgetServers()
	}
}
