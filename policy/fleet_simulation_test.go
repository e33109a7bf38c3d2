package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// This file simulates a fleet of gateways with its endpoints and clients. Some of the endpoints restart and
// warm up. The simulation records the attempts that they get from gateways that know of the restart.

const (
	simulationStart Seconds = 100
	restartAt       Seconds = 104 // time at which endpoints restart
	simulationEnd   Seconds = 112

	defaultServiceRate          = 20.0 // attempts per second that a warm endpoint serves on average
	endpointQueueLength         = 25.0 // attempts of mean duration; an endpoint with a longer queue rejects
	networkDelay        Seconds = 0.01 // time that a success or rejection takes to reach the gateway

	listDelay       Seconds = 0.5 // maximum time until a gateway learns that an endpoint has restarted
	faultyListDelay Seconds = 3   // listDelay with faults

	burstDuration             Seconds = 3   // duration of the burst of requests that starts at restartAt, with faults
	burstFactor                       = 2.0 // multiplies the request rate during the burst
	gatewayRestartProbability         = 0.9 // probability that a gateway restarts, with faults
	gatewayRestartDelay       Seconds = 4   // maximum time from restartAt to the restart of a gateway

	clientTimeout Seconds = 1.5
)

// Retries of simulated clients.
const (
	clientRetryProbability = 0.7 // probability of a retry after a rejection or failure
	maxClientRetries       = 3   // per request
)

// fleetCase configures a simulation.
type fleetCase struct {
	gateways, endpoints int
	restarting          float64 // fraction of the endpoints that restart
	load                float64 // offered load as a fraction of the capacity of all endpoints when warm
	seed                uint64
	serviceRate         float64 // of a warm endpoint; 0 stands for defaultServiceRate
	// faults adds a burst of requests, late endpoint lists and restarts of gateways.
	faults bool
}

// restartingEndpoints returns the number of endpoints that restart, rounded down.
func (c fleetCase) restartingEndpoints() int { return int(c.restarting * float64(c.endpoints)) }

// simulatedEndpoint serves one attempt at a time. After a restart, its capacity grows as the slow-start
// settings specify.
type simulatedEndpoint struct {
	id          string
	restartedAt Seconds // 0 if it has not restarted
	busyUntil   Seconds
	sent        []Seconds // send times of attempts; after a restart, only from gateways that know of it
}

func (e *simulatedEndpoint) capacity(now Seconds, settings Settings) float64 {
	if e.restartedAt == 0 {
		return 1
	}
	age := max(now-e.restartedAt, 0)
	return min(1, settings.SlowStartMinCapacity+(1-settings.SlowStartMinCapacity)*age/settings.SlowStartDuration)
}

// serve queues or rejects an attempt that is sent now, and returns its status and the time at which it ends.
// rate is the number of attempts per second that the endpoint serves on average.
func (e *simulatedEndpoint) serve(now, timeout Seconds, rate float64, random *rand.Rand) (AttemptStatus, Seconds) {
	if e.busyUntil > now+endpointQueueLength/rate {
		return Rejected, now + networkDelay
	}
	e.busyUntil = max(e.busyUntil, now) + 1/rate*(0.5+random.Float64())
	if e.busyUntil > now+timeout {
		return Timeout, now + timeout
	}
	return OK, e.busyUntil + networkDelay
}

// worstWindow counts the attempts in each window that starts with an attempt after the restart. It returns
// the largest ratio of such a count to the bound of the window, and a description of that window.
func (e *simulatedEndpoint) worstWindow(window Seconds, bound func(from Seconds) float64) (ratio float64, windowDescription string) {
	for i, from := range e.sent {
		if e.restartedAt == 0 || from < e.restartedAt {
			continue
		}
		count := 0
		for count < len(e.sent)-i && e.sent[i+count] < from+window {
			count++
		}
		if r := float64(count) / bound(from); r > ratio {
			ratio = r
			windowDescription = fmt.Sprintf("%s got %d attempts in the window starting %.2f s after its restart, the bound is %.1f", e.id, count, from-e.restartedAt, bound(from))
		}
	}
	return ratio, windowDescription
}

// simulationEvent is a scheduled function. Events of the same time run in the order of their numbers.
type simulationEvent struct {
	at     Seconds
	number int
	run    func(now Seconds)
}

// simulationEvents is a heap of events, ordered by time and number.
type simulationEvents []simulationEvent

func (h simulationEvents) Len() int { return len(h) }

func (h simulationEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

func (h simulationEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *simulationEvents) Push(event any) { *h = append(*h, event.(simulationEvent)) }

func (h *simulationEvents) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}

// clientAttempt is one transmission of a client's request to a gateway.
type clientAttempt struct {
	deadline         Seconds
	previousAttempts int
}

// fleetSimulation holds the simulated gateways, endpoints and client requests, and the scheduled events.
type fleetSimulation struct {
	fleetCase
	settings       Settings
	random         *rand.Rand
	gateways       []*simulatedGateway
	weights        []float64  // cumulative traffic weights of the gateways
	list           []Endpoint // endpoint list before the restarts
	endpoints      map[string]*simulatedEndpoint
	clientAttempts map[string]clientAttempt // by request ID
	events         simulationEvents
	now            Seconds
	number         int // number of the last event or request
}

// simulateFleet runs a simulation from simulationStart to simulationEnd, and returns its final state.
func simulateFleet(c fleetCase) *fleetSimulation {
	c.serviceRate = cmp.Or(c.serviceRate, defaultServiceRate)
	f := &fleetSimulation{
		fleetCase:      c,
		settings:       simulationSettings(c.gateways),
		random:         rand.New(rand.NewPCG(c.seed, 3)),
		endpoints:      map[string]*simulatedEndpoint{},
		clientAttempts: map[string]clientAttempt{},
	}
	f.addEndpoints()
	for number := range c.gateways {
		f.addGateway(number)
	}
	f.schedule(restartAt, f.restartEndpoints)
	f.schedule(simulationStart, f.handleArrival)
	for f.events[0].at < simulationEnd {
		event := heap.Pop(&f.events).(simulationEvent)
		f.now = event.at
		event.run(event.at)
	}
	return f
}

func simulationSettings(gateways int) Settings {
	settings := testSettings()
	settings.GatewayCount = gateways
	settings.PeerMessages = false
	settings.SlowStartMinCapacity, settings.SlowStartDuration = 0.15, 14
	settings.OverloadMultiple, settings.OverloadWindow = 2.5, 1
	settings.Classes = []Class{
		{Name: "read", LatencyObjective: 0.6, Timeout: clientTimeout, PriorityWeight: 1, Idempotency: Idempotent},
	}
	return settings
}

// schedule adds an event that calls run at the given time.
func (f *fleetSimulation) schedule(at Seconds, run func(now Seconds)) {
	f.number++
	heap.Push(&f.events, simulationEvent{at: at, number: f.number, run: run})
}

func (f *fleetSimulation) addEndpoints() {
	for i := range f.fleetCase.endpoints {
		id := fmt.Sprintf("s%03d", i)
		f.endpoints[id] = &simulatedEndpoint{id: id}
		f.list = append(f.list, Endpoint{ID: id, Zone: string(rune('a' + i%3)), Cell: i % 12})
	}
}

func (f *fleetSimulation) restartEndpoints(Seconds) {
	for _, entry := range f.list[:f.restartingEndpoints()] {
		restarted := f.endpoints[entry.ID]
		restarted.restartedAt, restarted.busyUntil, restarted.sent = restartAt, 0, nil
	}
}

// addGateway starts a gateway with a random share of the traffic.
func (f *fleetSimulation) addGateway(number int) {
	gateway := &simulatedGateway{fleet: f, number: number, attempts: map[string]int{}}
	gateway.start(simulationStart, f.list)
	weight := math.Exp(f.random.NormFloat64() * 0.7)
	if number > 0 {
		weight += f.weights[number-1]
	}
	f.gateways, f.weights = append(f.gateways, gateway), append(f.weights, weight)
	f.schedule(simulationStart+f.random.Float64()*timerInterval, gateway.tick)
	f.announceRestarts(gateway)
}

// announceRestarts schedules the times at which the gateway learns of the restarts of endpoints, a random
// time for each endpoint. With faults, it also schedules a restart of the gateway, with the probability
// gatewayRestartProbability.
func (f *fleetSimulation) announceRestarts(gateway *simulatedGateway) {
	delay := listDelay
	if f.faults {
		delay = faultyListDelay
	}
	var known []Endpoint
	for _, entry := range f.list[:f.restartingEndpoints()] {
		entry.StartedAt = restartAt
		f.schedule(restartAt+delay*f.random.Float64(), func(now Seconds) {
			known = append(known, entry)
			gateway.policy.HandleEndpoints(now, []Endpoint{entry}, false)
		})
	}
	if f.faults && f.random.Float64() < gatewayRestartProbability {
		f.schedule(restartAt+gatewayRestartDelay*f.random.Float64(), func(now Seconds) {
			gateway.start(now, f.list)
			gateway.policy.HandleEndpoints(now, known, false)
		})
	}
}

// handleArrival sends a new request and schedules the next arrival.
func (f *fleetSimulation) handleArrival(now Seconds) {
	f.request(now, clientAttempt{deadline: now + clientTimeout})
	rate := f.load * f.serviceRate * float64(f.fleetCase.endpoints)
	if f.faults && now > restartAt && now < restartAt+burstDuration {
		rate *= burstFactor
	}
	f.schedule(now+f.random.ExpFloat64()/rate, f.handleArrival)
}

// request sends a request to a random gateway, chosen by weight.
func (f *fleetSimulation) request(now Seconds, attempt clientAttempt) {
	drawn, gateway := f.random.Float64()*f.weights[len(f.weights)-1], 0
	for f.weights[gateway] < drawn {
		gateway++
	}
	f.number++
	id := fmt.Sprint("q", f.number)
	f.clientAttempts[id] = attempt
	f.gateways[gateway].policy.HandleRequest(now, Request{
		ID: id, Class: "read", Deadline: attempt.deadline, GatewayCount: 1, Units: 1,
	})
}

// retry sends a rejected or failed request again after a random delay, to a random gateway. It does so with
// the probability clientRetryProbability, at most maxClientRetries times per request, and only if more than
// 0.05 s are then left until the deadline.
func (f *fleetSimulation) retry(id string) {
	attempt := f.clientAttempts[id]
	delete(f.clientAttempts, id)
	if f.random.Float64() > clientRetryProbability || attempt.previousAttempts >= maxClientRetries {
		return
	}
	f.schedule(f.now+0.1+0.3*f.random.Float64(), func(now Seconds) {
		if now < attempt.deadline-0.05 {
			f.request(now, clientAttempt{deadline: attempt.deadline, previousAttempts: attempt.previousAttempts + 1})
		}
	})
}

// overloadBound returns the largest number of attempts that an endpoint may get in a window starting at from:
// OverloadMultiple times the attempts that it serves on average in OverloadWindow with its capacity at from,
// plus a margin for random variation.
func (f *fleetSimulation) overloadBound(e *simulatedEndpoint, from Seconds) float64 {
	allowed := f.settings.OverloadMultiple * f.serviceRate * e.capacity(from, f.settings) * f.settings.OverloadWindow
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// worstOverload calls worstWindow for each endpoint, with windows of OverloadWindow and overloadBound as
// the bound. It returns the largest ratio and the description of its window.
func (f *fleetSimulation) worstOverload() (ratio float64, windowDescription string) {
	for _, e := range f.endpoints {
		bound := func(from Seconds) float64 { return f.overloadBound(e, from) }
		if r, description := e.worstWindow(f.settings.OverloadWindow, bound); r > ratio {
			ratio, windowDescription = r, description
		}
	}
	return ratio, windowDescription
}

// sentToRestarted returns the number of attempts that restarted endpoints got from gateways that knew of the
// restart.
func (f *fleetSimulation) sentToRestarted() (sent int) {
	for _, e := range f.endpoints {
		if e.restartedAt > 0 {
			sent += len(e.sent)
		}
	}
	return sent
}

// simulatedGateway is one gateway of the simulation. It implements Actions for its Gateway.
type simulatedGateway struct {
	fleet       *fleetSimulation
	policy      *Gateway
	number      int
	incarnation uint64         // number of starts so far
	attempts    map[string]int // number of attempts sent, by request ID
	inFlight    int
}

// start starts or restarts the gateway. A restarted gateway has no knowledge of its attempts in flight.
func (g *simulatedGateway) start(now Seconds, list []Endpoint) {
	settings := g.fleet.settings
	settings.Self = g.number
	g.incarnation++
	seed := g.fleet.seed<<16 + uint64(g.number) + g.incarnation<<40
	policy, err := New(settings, seed, now, g)
	if err != nil {
		panic(err)
	}
	g.policy, g.inFlight = policy, 0
	policy.HandleEndpoints(now, list, true)
}

// tick calls HandleTimer and schedules the next tick. To save time, an idle gateway ticks less often.
func (g *simulatedGateway) tick(now Seconds) {
	g.policy.HandleTimer(now, 1)
	interval := timerInterval
	if g.inFlight == 0 && g.policy.dispatcher.queue.isEmpty() {
		interval = 4 * timerInterval
	}
	g.fleet.schedule(now+interval, g.tick)
}

func (g *simulatedGateway) Send(id, endpoint string, timeout, _ Seconds) {
	f, now, attempt := g.fleet, g.policy.clock.now, g.attempts[id]
	g.attempts[id]++
	g.inFlight++
	e := f.endpoints[endpoint]
	knowsOfRestart := g.policy.endpoints.byID[endpoint].StartedAt == e.restartedAt
	if e.restartedAt == 0 || knowsOfRestart {
		e.sent = append(e.sent, now)
	}
	status, end := e.serve(now, timeout, f.serviceRate*e.capacity(now, f.settings), f.random)
	incarnation := g.incarnation
	f.schedule(end, func(at Seconds) {
		if g.incarnation != incarnation {
			return
		}
		g.inFlight--
		g.policy.HandleOutcome(at, Outcome{
			RequestID: id, Endpoint: endpoint, Attempt: attempt, Status: status,
			RequestDone: status == OK, Elapsed: at - now,
		})
	})
}

func (g *simulatedGateway) Reject(id string, _ Seconds, _ Reason) { g.fleet.retry(id) }
func (g *simulatedGateway) Fail(id string, _ Reason)              { g.fleet.retry(id) }
func (g *simulatedGateway) Cancel(string, int)                    {}
func (g *simulatedGateway) SetTimer(uint64, Seconds)              {}
func (g *simulatedGateway) HealthCheck(string)                    {}
func (g *simulatedGateway) SendToPeer(int, []byte)                {}
