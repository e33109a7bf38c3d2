package policy

import (
	"container/heap"
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
}

const (
	coldRate    = 20.0 // calls of mean work a second that a warm server does
	coldStart   = 104.0
	coldEnd     = 112.0
	coldQueue   = 25 // calls that wait at a server; more are turned away
	coldAnswerS = 0.01
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
	return min(1, set.ColdFrom+(1-set.ColdFrom)*max(now-s.since, 0)/set.ColdS)
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
	outs map[string]int // attempts so far
	busy int
}

func (c *coldGate) Send(id, server string, timeoutS, _ float64) {
	f, now, n := c.f, c.g.now, c.outs[id]
	c.outs[id]++
	c.busy++
	s := f.servers[server]
	if s.since == 0 || c.g.servers[server].SinceS == s.since { // else it has not been told yet
		s.sent = append(s.sent, now)
	}
	end := func(at float64, status Status) {
		f.after(at, func(at float64) {
			c.busy--
			c.g.Outcome(at, Outcome{ID: id, Server: server, Attempt: n, Status: status, Over: status == OK, SpentS: at - now})
		})
	}
	rate := coldRate * s.share(now, f.set)
	if s.busyTil > now+coldQueue/rate {
		end(now+coldAnswerS, Full)
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

func (c *coldGate) Refuse(id string, _ float64) { c.f.comeAgain(id) }
func (c *coldGate) Fail(id string)              { c.f.comeAgain(id) }
func (c *coldGate) Cancel(string, int)          {}
func (c *coldGate) SetTimer(uint64, float64)    {}
func (c *coldGate) Probe(string)                {}
func (c *coldGate) Tell(int, []byte)            {}
func (c *coldGate) Log(string)                  {}

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
	f.gates[i].g.Request(now, Request{ID: id, Class: "read", DeadlineS: until, Entries: 1, Units: 1})
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
	f := &coldFleet{coldCase: c, rng: rand.New(rand.NewPCG(c.seed, 3)), servers: map[string]*coldServer{},
		tries: map[string]coldTry{}}
	f.set = testSettings()
	f.set.Gateways, f.set.Peers, f.set.ColdFrom, f.set.ColdS, f.set.FallMultiple, f.set.FallS = c.gateways, false, 0.15, 14, 2.5, 1
	f.set.Classes = []Class{{Name: "read", AimS: 0.6, DeadlineS: 1.5, Worth: 1, Effect: Safe}}
	var warm []Server
	for i := range c.servers {
		id := fmt.Sprintf("s%03d", i)
		f.servers[id] = &coldServer{id: id}
		warm = append(warm, Server{ID: id, Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
	sum := 0.0
	for i := range c.gateways {
		set, gate := f.set, &coldGate{f: f, outs: map[string]int{}}
		set.Me = i
		g, err := New(set, c.seed<<16+uint64(i), 100, gate)
		if err != nil {
			t.Fatal(err)
		}
		gate.g = g
		g.Servers(100, warm, true)
		sum += math.Exp(f.rng.NormFloat64() * 0.7)
		f.gates, f.weights = append(f.gates, gate), append(f.weights, sum)
		tick := func(float64) {}
		tick = func(now float64) {
			g.Timer(now, 1)
			step := tickS
			if gate.busy == 0 && len(g.queue) == 0 {
				step = 4 * tickS
			}
			f.after(now+step, tick)
		}
		f.after(100+f.rng.Float64()*tickS, tick)
		// It hears of the start up to half a second later, and some hear of one server before the others.
		for _, s := range warm[:int(c.cold*float64(c.servers))] {
			s.SinceS = coldStart
			f.after(coldStart+0.5*f.rng.Float64(), func(now float64) { g.Servers(now, []Server{s}, false) })
		}
	}
	f.after(coldStart, func(float64) {
		for _, s := range warm[:int(c.cold*float64(c.servers))] {
			f.servers[s.ID].since, f.servers[s.ID].busyTil, f.servers[s.ID].sent = coldStart, 0, nil
		}
	})
	perS := c.load * coldRate * float64(c.servers)
	next := func(float64) {}
	next = func(now float64) {
		f.ask(now, now+1.5, 0)
		f.after(now+f.rng.ExpFloat64()/perS, next)
	}
	f.after(100, next)
	for f.events[0].at < coldEnd {
		e := heap.Pop(&f.events).(coldEvent)
		f.now = e.at
		e.do(e.at)
	}
	return f
}

// worst is the most that a cold server got in a window, against what it may get: the budget that the
// settings allow at the window's start, and what chance does.
func (f *coldFleet) worst() (ratio float64, what string) {
	for _, s := range f.servers {
		for i, from := range s.sent {
			if s.since == 0 || from < s.since {
				continue
			}
			n := 0
			for n < len(s.sent)-i && s.sent[i+n] < from+f.set.FallS {
				n++
			}
			budget := f.set.FallMultiple * coldRate * s.share(from, f.set) * f.set.FallS
			if r := float64(n) / (budget + 2*math.Sqrt(budget) + 2); r > ratio {
				ratio, what = r, fmt.Sprintf("%s got %d calls from %.2f s on, %.1f are allowed", s.id, n, from-s.since, budget)
			}
		}
	}
	return ratio, what
}

// Guards the bound on what all gateways together send to a cold server, in any window in which it could fall:
// from few gateways to many, that see uneven traffic and hear of the starts at different times, with one, some
// and most of the servers cold, and with more asked for than all of them can do. Retries, copies and what
// clients ask again count; what a gateway sends that has not been told of the start does not. And it must not
// be held by sending nothing.
func TestAllGatewaysTogetherKeepToWhatAColdServerBears(t *testing.T) {
	for _, c := range []struct{ gateways, servers int }{{5, 20}, {20, 20}, {30, 20}, {80, 60}, {300, 60}, {350, 40}} {
		for name, cold := range map[string]float64{"one": 1 / float64(c.servers), "some": 0.35, "most": 0.95} {
			t.Run(fmt.Sprintf("%d gateways, %s cold", c.gateways, name), func(t *testing.T) {
				t.Parallel()
				for i, load := range []float64{0.4, 0.8, 1.2} {
					f := playCold(t, coldCase{c.gateways, c.servers, cold + 0.001, load, uint64(i + c.gateways)})
					if r, what := f.worst(); r > 1 {
						t.Errorf("load %.1f: %s", load, what)
					}
					sent := 0
					for _, s := range f.servers {
						if s.since > 0 {
							sent += len(s.sent)
						}
					}
					if least := 0.05 * load * coldRate * float64(int(cold*float64(c.servers))) * (coldEnd - coldStart); float64(sent) < least {
						t.Errorf("load %.1f: cold servers got %d calls, %.0f at least are wanted", load, sent, least)
					}
				}
			})
		}
	}
}

// Guards against probes of many gateways that add up at a cold server, beside its turns.
func TestColdServersAreNotProbed(t *testing.T) {
	g, r := gateway(t, func(s *Settings) { s.Probes, s.ReportByProbe = true, true })
	g.Servers(100, []Server{{ID: "s1", Zone: "a", SinceS: 99}, {ID: "s2", Zone: "a"}}, true)
	for i := range 200 {
		now := 100 + float64(i)*0.04
		at(g, now, fmt.Sprint("q", i), "read")
		g.Timer(now+0.01, 1)
	}
	probed := map[string]int{}
	for _, a := range r.of("probe", "") {
		probed[a.server]++
	}
	if probed["s1"] > 0 || probed["s2"] == 0 {
		t.Errorf("probes by server: %v", probed)
	}
}
