package policy

import "math/rand/v2"

const (
	// timerInterval is the time between two timers: how often queues, attempts and reports are looked at.
	timerInterval Seconds = 0.02
	// timerToken names the one timer of a Gateway.
	timerToken = 1
	// evictionInterval is the time between two evictions of what expired.
	evictionInterval Seconds = customerExpiry / 4
	// randomStream is the second half of the seed; any constant will do.
	randomStream = 0x9e3779b97f4a7c15
)

// Gateway decides for one gateway of a fleet. It holds the parts that the state of the decisions belongs to,
// and dispatches each event to them. It is not safe for concurrent use: the caller hands it one event after
// the other, with times that don't decrease.
//
// The parts, each with its own file, and what they own:
//
//   - The request side: classTable holds the classes with their mean latencies and the detection of client
//     retries, requestTable the open requests with their attempts. requestAdmitter decides on new requests,
//     with the quota side. dispatcher sends admitted requests or queues them, by the rules of retryPolicy and
//     through attemptSender. attemptWatcher acts on silence and hedges. finalReplier rejects and closes
//     requests.
//   - The endpoint side: endpointTable holds the endpoint list, outlierDetector scores the endpoints,
//     gossipBuffer holds what other gateways are to learn of them, slowStart estimates what warming endpoints
//     may get, concurrencyLimiter bounds all attempts in flight, healthChecker holds the budget of health
//     checks. endpointPicker reads them all.
//   - The quota side: quotaController admits requests. It holds the customers with their quotas, as a member
//     sees them or, in their ledgers, as their owner; the usageReporter, which reports to the owners through
//     peerProtocol; and the slotQueue of requests that wait for a concurrency slot. ownerDirectory finds the
//     owner of a customer.
//
// In each event the clock is advanced first, then the parts take in what the event says, then the request
// that it concerns goes on, and at last what waits is tried again: the dispatch queue before the requests
// that wait for a concurrency slot, and the reports to owners after both. The order decides who gets the last
// free capacity, and in which order random numbers are drawn, so it is part of the behavior.
type Gateway struct {
	settings Settings
	actions  Actions
	random   *rand.Rand // drawn from by picker and outliers, and once by New
	clock    *eventClock

	classes    *classTable
	requests   *requestTable
	retries    *retryPolicy
	sender     *attemptSender
	replies    *finalReplier
	dispatcher *dispatcher
	watcher    *attemptWatcher
	admitter   *requestAdmitter

	endpoints    *endpointTable
	outliers     *outlierDetector
	gossip       *gossipBuffer
	slowStart    *slowStart
	limiter      *concurrencyLimiter
	healthChecks *healthChecker
	picker       *endpointPicker

	quota    quotaController
	owners   *ownerDirectory
	protocol peerProtocol

	nextEvictionAt Seconds // when what expired is evicted next
}

// New returns a Gateway at its start, which knows no endpoints yet: HandleEndpoints brings the list. All
// random numbers derive from seed. The error is ErrNoActions or a SettingError.
func New(settings Settings, seed uint64, now Seconds, actions Actions) (*Gateway, error) {
	if actions == nil {
		return nil, ErrNoActions
	}
	if err := validate(settings); err != nil {
		return nil, err
	}
	g := &Gateway{
		settings: settings,
		actions:  actions,
		random:   rand.New(rand.NewPCG(seed, randomStream)),
		clock:    &eventClock{now: now},
	}
	g.initEndpointSide()
	g.initQuotaSide()
	g.initRequestSide()
	g.actions.SetTimer(timerToken, timerInterval)
	return g, nil
}

// initEndpointSide makes the parts that know of endpoints.
func (g *Gateway) initEndpointSide() {
	settings := g.settings
	g.slowStart = newSlowStart(settings, g.clock)
	g.healthChecks = newHealthChecker(settings, g.clock, g.slowStart)
	g.endpoints = newEndpointTable(len(settings.Classes), g.slowStart.initialCredit)
	g.gossip = &gossipBuffer{}
	g.outliers = newOutlierDetector(settings.GatewayCount, g.clock, g.random, g.gossip)
	g.limiter = newConcurrencyLimiter(settings.GatewayCount, g.clock)
	g.picker = &endpointPicker{
		clock: g.clock, random: g.random,
		endpoints: g.endpoints, outliers: g.outliers, limiter: g.limiter, slowStart: g.slowStart,
		gatewayCount: settings.GatewayCount, zone: settings.Zone,
		crossZoneCost: settings.CrossZoneCost, handshakeCost: settings.HandshakeCost,
		idleTimeout: settings.ConnectionIdleTimeout,
	}
}

// initQuotaSide makes the parts that know of customers and peers. It draws the incarnation of this gateway.
func (g *Gateway) initQuotaSide() {
	settings := g.settings
	incarnation := uint8(g.random.Uint32())
	g.protocol = newPeerProtocol(settings, g.clock, incarnation, g.gossip, g.actions.SendToPeer)
	g.owners = newOwnerDirectory(settings, g.protocol.reachable)
	g.retries = newRetryPolicy(settings, g.clock)
	g.quota = quotaController{
		clock: g.clock, self: settings.Self, owners: g.owners, protocol: &g.protocol,
		retries: g.retries, limiter: g.limiter,
		customers: newCustomerTable(settings, g.clock, g.owners),
		reporter:  newUsageReporter(settings, g.clock, &g.protocol, g.owners),
	}
}

// initRequestSide makes the parts that know of requests, on top of the other two sides.
func (g *Gateway) initRequestSide() {
	settings := g.settings
	g.classes = newClassTable(settings.Classes)
	g.requests = newRequestTable()
	g.sender = &attemptSender{
		clock: g.clock, actions: g.actions, requests: g.requests, limiter: g.limiter, slowStart: g.slowStart,
		idleTimeout: settings.ConnectionIdleTimeout, cancellation: settings.Cancellation,
		adjustInFlight: g.quota.adjustInFlight,
	}
	g.replies = &finalReplier{
		clock: g.clock, actions: g.actions, requests: g.requests, sender: g.sender, charge: g.quota.charge,
		maxRetryAfter: settings.MaxRetryAfter,
	}
	g.dispatcher = &dispatcher{
		clock: g.clock, retries: g.retries, picker: g.picker, sender: g.sender, replies: g.replies,
	}
	g.watcher = &attemptWatcher{
		clock: g.clock, requests: g.requests, retries: g.retries, outliers: g.outliers, picker: g.picker,
		sender: g.sender, replies: g.replies, queue: &g.dispatcher.queue,
		hedging: settings.Hedging, cancellation: settings.Cancellation,
	}
	g.admitter = &requestAdmitter{
		clock: g.clock, classes: g.classes, requests: g.requests, quota: &g.quota, retries: g.retries,
		replies: g.replies, actualUnitsInReply: settings.ActualUnitsInReply,
	}
	g.quota.requests = requestActions{g.dispatcher, g.replies}
}

// HandleRequest decides on a client's request. One that is open already is ignored.
func (g *Gateway) HandleRequest(now Seconds, incoming Request) {
	g.clock.advance(now)
	if g.requests.find(incoming.ID) != nil {
		return
	}
	requestClass := g.classes.byName[incoming.Class]
	if requestClass == nil {
		g.actions.Fail(incoming.ID, UnknownClass)
		return
	}
	g.healthChecks.accrueCredit()
	g.admitter.handle(incoming, requestClass)
}

// HandleStreamStarted notes that an attempt's reply is being streamed to the client, so that the request
// is not retried any more.
func (g *Gateway) HandleStreamStarted(now Seconds, id string) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil {
		r.streaming = true
	}
}

// HandleClientDisconnected notes that a request needs no reply any more.
func (g *Gateway) HandleClientDisconnected(now Seconds, id string) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil && !r.done {
		g.replies.finish(r)
	}
}

// HandleOutcome takes the end of an attempt: what it tells of the endpoint and of the request, and whether
// the request is finished or retried.
func (g *Gateway) HandleOutcome(now Seconds, outcome Outcome) {
	g.clock.advance(now)
	r, a := g.sender.end(outcome)
	if r == nil {
		return
	}
	g.recordLoadReport(a.endpoint, outcome.Load)
	g.recordOutcome(r, a, outcome)
	r.recordStatus(a, outcome.Status)
	g.admitter.chargeActualUnits(r, outcome)
	g.dispatcher.finishOrRetry(r, outcome)
	g.dispatcher.dispatchQueued()
	g.quota.retrySlotWaiters()
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
	g.quota.retrySlotWaiters()
	g.quota.reporter.sendDue()
}

// HandleEndpoints takes the endpoint list: all entries if it is complete, else those that changed.
func (g *Gateway) HandleEndpoints(now Seconds, list []Endpoint, complete bool) {
	g.clock.advance(now)
	before := len(g.endpoints.listed)
	g.endpoints.apply(list, complete)
	after := len(g.endpoints.listed)
	g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
	g.limiter.resize(before, after)
	g.dispatcher.dispatchQueued()
}

// HandleHealthCheck takes the result of a health check.
func (g *Gateway) HandleHealthCheck(now Seconds, result HealthCheckResult) {
	g.clock.advance(now)
	e := g.endpoints.byID[result.Endpoint]
	if e == nil {
		return
	}
	g.recordLoadReport(e, result.Load)
	if result.Status == Timeout || result.Status == ConnectFailed {
		g.outliers.recordFailureForAllClasses(e, errorScore)
	}
	g.dispatcher.dispatchQueued()
}

// HandleTimer does what no event brings. A token that is not timerToken is ignored.
func (g *Gateway) HandleTimer(now Seconds, token uint64) {
	g.clock.advance(now)
	if token != timerToken {
		return
	}
	g.actions.SetTimer(timerToken, timerInterval)
	g.dispatcher.dispatchQueued()
	g.watcher.watch()
	g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
	g.sendHealthCheck()
	g.quota.handleTimer()
	g.evictExpired()
}

// evictExpired forgets customers and endpoints that are not used any more, from time to time.
func (g *Gateway) evictExpired() {
	if g.clock.now <= g.nextEvictionAt {
		return
	}
	g.nextEvictionAt = g.clock.now + evictionInterval
	g.quota.customers.evictIdle()
	g.endpoints.evictRemoved()
}
