package policy

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A fleet on servers that are modelled, to see what all gateways together send to cold ones.

// coldCase is one fleet, and the servers that start anew.
type coldCase struct {
	gateways, servers int
	cold              float64 // share of the servers
	load              float64 // of what all servers can do when warm
	seed              uint64
	rate              float64 // calls of mean work a second that a warm server does
	trouble           bool    // a burst, lists that come late, and restarts of the gateways just then
}

const (
	coldRate    = 20.0 // calls of mean work a second that a warm server usually does
	coldStart   = 104.0
	coldEnd     = 112.0
	coldQueue   = 25 // calls that wait at a server; more are turned away
	coldAnswerS = 0.01
	coldBurst   = 2.0
)

// coldServer is a server as it is: one call after another, at the least capacity that the rules allow.
type coldServer struct {
	id      string
	since   float64
	busyTil float64
	sent    []float64
	served  int
}

func (s *coldServer) share(now float64, set Settings) float64 {
	if s.since == 0 {
		return 1
	}
	return min(1, set.SlowStartMinCapacity+(1-set.SlowStartMinCapacity)*max(now-s.since, 0)/set.SlowStartDuration)
}

// coldEvent is something that comes to a gateway.
type coldEvent struct {
	at float64
	n  int // order of those at the same time
	do func(now float64)
}

type coldEvents []coldEvent

func (h coldEvents) Len() int { return len(h) }
func (h coldEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h coldEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *coldEvents) Push(x any)   { *h = append(*h, x.(coldEvent)) }
func (h *coldEvents) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// coldGate carries out what one gateway asks for.
type coldGate struct {
	f    *coldFleet
	g    *Gateway
	me   int
	life uint64         // counts its starts
	outs map[string]int // attempts so far
	busy int
}

// start begins the gateway's life, or a new one: what was out before is forgotten, and its clients try again.
func (c *coldGate) start(now float64, list []Endpoint) {
	set := c.f.set
	set.Self = c.me
	c.life++
	g, err := New(set, c.f.seed<<16+uint64(c.me)+c.life<<40, now, c)
	if err != nil {
		panic(err)
	}
	c.g, c.busy = g, 0
	g.HandleEndpoints(now, list, true)
}

func (c *coldGate) Send(id, server string, timeoutS, _ float64) {
	f, now, n, life := c.f, c.g.clock.now, c.outs[id], c.life
	c.outs[id]++
	c.busy++
	s := f.servers[server]
	if s.since == 0 || c.g.endpoints[server].StartedAt == s.since { // else it has not been told yet
		s.sent = append(s.sent, now)
	}
	end := func(at float64, status AttemptStatus) {
		f.after(at, func(at float64) {
			if c.life != life {
				return
			}
			c.busy--
			c.g.HandleOutcome(at, Outcome{RequestID: id, Endpoint: server, Attempt: n, Status: status, RequestDone: status == OK, Elapsed: at - now})
		})
	}
	rate := f.rate * s.share(now, f.set)
	if s.busyTil > now+coldQueue/rate {
		end(now+coldAnswerS, Rejected)
		return
	}
	s.busyTil = max(s.busyTil, now) + 1/rate*(0.5+f.rng.Float64())
	if s.busyTil > now+timeoutS {
		end(now+timeoutS, Timeout)
		return
	}
	s.served++
	f.served++
	end(s.busyTil+coldAnswerS, OK)
}

func (c *coldGate) Reject(id string, _ float64, _ Reason) { c.f.comeAgain(id) }
func (c *coldGate) Fail(id string, _ Reason)              { c.f.comeAgain(id) }
func (c *coldGate) Cancel(string, int)                    {}
func (c *coldGate) SetTimer(uint64, float64)              {}
func (c *coldGate) HealthCheck(string)                    {}
func (c *coldGate) SendToPeer(int, []byte)                {}
func (c *coldGate) Log(string)                            {}

type coldFleet struct {
	coldCase
	set     Settings
	rng     *rand.Rand
	gates   []*coldGate
	weights []float64 // summed up
	servers map[string]*coldServer
	events  coldEvents
	tries   map[string]coldTry
	now     float64
	n       int
	asked   int
	served  int
}

func (f *coldFleet) after(at float64, do func(float64)) {
	f.n++
	heap.Push(&f.events, coldEvent{at, f.n, do})
}

// coldTry is a client's try.
type coldTry struct {
	until float64 // when the client gives up
	tries int     // before this one
}

func (f *coldFleet) ask(now, until float64, tries int) {
	if tries == 0 {
		f.asked++
	}
	at, i := f.rng.Float64()*f.weights[len(f.weights)-1], 0
	for f.weights[i] < at {
		i++
	}
	f.n++
	id := fmt.Sprint("q", f.n)
	f.tries[id] = coldTry{until, tries}
	f.gates[i].g.HandleRequest(now, Request{ID: id, Class: "read", Deadline: until, GatewayCount: 1, Units: 1})
}

// comeAgain has most clients that were refused try again, at any gateway, as long as they have time.
func (f *coldFleet) comeAgain(id string) {
	try := f.tries[id]
	delete(f.tries, id)
	if f.rng.Float64() > 0.7 || try.tries > 2 {
		return
	}
	f.after(f.now+0.1+0.3*f.rng.Float64(), func(now float64) {
		if now < try.until-0.05 {
			f.ask(now, try.until, try.tries+1)
		}
	})
}

func playCold(t *testing.T, c coldCase) *coldFleet {
	t.Helper()
	f := &coldFleet{
		coldCase: c, rng: rand.New(rand.NewPCG(c.seed, 3)), servers: map[string]*coldServer{},
		tries: map[string]coldTry{},
	}
	f.set = testSettings()
	f.set.GatewayCount, f.set.PeerMessages, f.set.SlowStartMinCapacity, f.set.SlowStartDuration, f.set.OverloadMultiple, f.set.OverloadWindow = c.gateways, false, 0.15, 14, 2.5, 1
	f.rate = cmp.Or(c.rate, coldRate)
	f.set.Classes = []Class{{Name: "read", LatencyObjective: 0.6, Timeout: 1.5, PriorityWeight: 1, Idempotency: Idempotent}}
	var warm []Endpoint
	for i := range c.servers {
		id := fmt.Sprintf("s%03d", i)
		f.servers[id] = &coldServer{id: id}
		warm = append(warm, Endpoint{ID: id, Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	sum := 0.0
	for i := range c.gateways {
		gate := &coldGate{f: f, outs: map[string]int{}, me: i}
		gate.start(100, warm)
		sum += math.Exp(f.rng.NormFloat64() * 0.7)
		f.gates, f.weights = append(f.gates, gate), append(f.weights, sum)
		tick := func(float64) {}
		tick = func(now float64) {
			gate.g.HandleTimer(now, 1)
			step := timerInterval
			if gate.busy == 0 && len(gate.g.dispatchQueue.requests) == 0 {
				step = 4 * timerInterval
			}
			f.after(now+step, tick)
		}
		f.after(100+f.rng.Float64()*timerInterval, tick)
		// It hears of the start up to half a second later, or some seconds, and of one server before the others.
		late := 0.5
		if c.trouble {
			late = 3
		}
		var known []Endpoint
		for _, s := range warm[:int(c.cold*float64(c.servers))] {
			s.StartedAt = coldStart
			f.after(coldStart+late*f.rng.Float64(), func(now float64) {
				known = append(known, s)
				gate.g.HandleEndpoints(now, []Endpoint{s}, false)
			})
		}
		if c.trouble && f.rng.Float64() < 0.9 { // it starts anew, with the list as it had it
			f.after(coldStart+4*f.rng.Float64(), func(now float64) {
				gate.start(now, warm)
				gate.g.HandleEndpoints(now, known, false)
			})
		}
	}
	f.after(coldStart, func(float64) {
		for _, s := range warm[:int(c.cold*float64(c.servers))] {
			f.servers[s.ID].since, f.servers[s.ID].busyTil, f.servers[s.ID].sent = coldStart, 0, nil
		}
	})
	perS := c.load * c.rate * float64(c.servers)
	next := func(float64) {}
	next = func(now float64) {
		f.ask(now, now+1.5, 0)
		rate := perS
		if c.trouble && now > coldStart && now < coldStart+3 {
			rate *= coldBurst
		}
		f.after(now+f.rng.ExpFloat64()/rate, next)
	}
	f.after(100, next)
	for f.events[0].at < coldEnd {
		e := heap.Pop(&f.events).(coldEvent)
		f.now = e.at
		e.do(e.at)
	}
	return f
}

// coldBound is what a cold server may get in a window, where the settings allow it so much: that, and what chance does.
func coldBound(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// worst is the most that a cold server got in a window, against what it may get.
func (f *coldFleet) worst() (ratio float64, what string) {
	for _, s := range f.servers {
		for i, from := range s.sent {
			if s.since == 0 || from < s.since {
				continue
			}
			n := 0
			for n < len(s.sent)-i && s.sent[i+n] < from+f.set.OverloadWindow {
				n++
			}
			budget := f.set.OverloadMultiple * f.rate * s.share(from, f.set) * f.set.OverloadWindow
			if r := float64(n) / coldBound(budget); r > ratio {
				ratio, what = r, fmt.Sprintf("%s got %d calls from %.2f s on, %.1f are allowed", s.id, n, from-s.since, budget)
			}
		}
	}
	return ratio, what
}

// Guards the bound on what all gateways together send to a cold server, in any window in which it could fall:
// from one gateway to 900 and from two servers to 3,200, that see uneven traffic and hear of the starts at different
// times, with one, some and most of the servers cold, and with more asked for than all of them can do; without other
// trouble, and with bursts, late lists and gateways that start anew. Retries, copies and what clients ask again count;
// what a gateway sends that has not been told of the start does not. And it must not be held by sending nothing.
func TestFleetKeepsToTheSlowStartBound(t *testing.T) {
	for _, c := range []struct {
		gateways, servers int
		rate              float64
	}{
		{1, 2, coldRate},
		{1, 20, coldRate},
		{3, 12, coldRate},
		{5, 20, coldRate},
		{12, 20, coldRate},
		{13, 20, coldRate},
		{20, 20, coldRate},
		{30, 20, coldRate},
		{80, 60, coldRate},
		{300, 60, coldRate},
		{350, 40, coldRate},
		{300, 200, 6},
	} {
		for name, cold := range map[string]float64{"one": 1 / float64(c.servers), "some": 0.35, "most": 0.95} {
			for _, trouble := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d gateways, %d servers, %s cold, trouble %t", c.gateways, c.servers, name, trouble),
					func(t *testing.T) {
						t.Parallel()
						loads := []float64{0.4, 0.8, 1.2}
						if trouble && c.gateways*c.servers > 5000 || c.gateways*c.servers > 20_000 {
							loads = loads[1:2] // the largest take long
						}
						for i, load := range loads {
							f := playCold(t, coldCase{c.gateways, c.servers, cold + 0.001, load, uint64(i + c.gateways), c.rate, trouble})
							f.judge(t)
						}
					})
			}
		}
	}
}

var coldLarge = flag.Bool("cold.large", false, "play slow starts in the largest fleets too, for some minutes each")

// TestSlowStartInTheLargestFleets does the same with 900 gateways and 3,200 servers.
func TestSlowStartInTheLargestFleets(t *testing.T) {
	if !*coldLarge {
		t.Skip("-cold.large plays it")
	}
	for _, cold := range []float64{0.1, 0.9} {
		t.Run(fmt.Sprintf("%.1f cold", cold), func(t *testing.T) {
			t.Parallel()
			playCold(t, coldCase{900, 3200, cold, 0.8, 7, 1.25, true}).judge(t)
		})
	}
}

// judge holds the fleet against the bound, from both sides.
func (f *coldFleet) judge(t *testing.T) {
	t.Helper()
	r, what := f.worst()
	if r > 1 {
		t.Errorf("load %.1f: %s", f.load, what)
	}
	t.Logf("load %.1f: %.2f of the bound", f.load, r)
	sent := 0
	for _, s := range f.servers {
		if s.since > 0 {
			sent += len(s.sent)
		}
	}
	cold := float64(int(f.cold * float64(f.coldCase.servers)))
	least := 0.05 * f.load * f.rate * cold * (coldEnd - coldStart)
	if f.trouble || f.gateways < 5 { // a few gateways with little to do have warm servers for all of it
		least = min(least, 1)
	}
	if float64(sent) < least {
		t.Errorf("load %.1f: cold servers got %d calls, %.0f at least are wanted", f.load, sent, least)
	}
}

// Guards against probes of many gateways that add up at a cold server, beside its turns.
func TestWarmingEndpointsGetNoHealthChecks(t *testing.T) {
	g, r := newTestGateway(t, func(s *Settings) { s.HealthChecks, s.LoadReportInHealthCheck = true, true })
	g.HandleEndpoints(100, []Endpoint{{ID: "s1", Zone: "a", StartedAt: 99}, {ID: "s2", Zone: "a"}}, true)
	for i := range 200 {
		now := 100 + float64(i)*0.04
		sendUnlimited(g, now, fmt.Sprint("q", i), "read")
		g.HandleTimer(now+0.01, 1)
	}
	probed := map[string]int{}
	for _, a := range r.ofKind("health_check", "") {
		probed[a.endpoint]++
	}
	if probed["s1"] > 0 || probed["s2"] == 0 {
		t.Errorf("probes by server: %v", probed)
	}
}
