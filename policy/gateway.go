package policy

import "math/rand/v2"

const (
	// timerInterval is the time between two timer ticks; see HandleTimer.
	timerInterval Seconds = 0.02
	// timerToken identifies the only timer of a Gateway.
	timerToken = 1
	// evictionInterval is the minimum time between two evictions of idle customers and removed endpoints.
	evictionInterval Seconds = customerExpiry / 4
	// randomStream is the second half of the PCG seed, the same for all gateways; its value is arbitrary.
	randomStream = 0x9e3779b97f4a7c15
)

// Gateway makes the decisions of one gateway of a fleet. It owns the components that hold the state and
// dispatches each event to them. It is not safe for concurrent use: the caller passes events one at a time,
// with times that never decrease.
//
// The components form three groups:
//
//   - The request side: classTable holds the classes with their mean latencies and client retry detectors.
//     requestTable holds the open requests with their attempts. requestAdmitter decides with the quota
//     side whether to admit, queue or reject a new request. dispatcher sends admitted requests through
//     attemptSender, and queues those that must wait for an endpoint. retryPolicy decides whether an
//     attempt may be sent. attemptWatcher detects late grants and endpoints that do not reply, and hedges
//     or cancels slow attempts. finalReplier rejects, fails and finishes requests.
//   - The endpoint side: endpointTable holds the endpoint list. outlierDetector scores and ejects
//     endpoints. gossipBuffer holds health updates for other gateways. slowStart limits the attempts at
//     warming endpoints. concurrencyLimiter limits the attempts in flight at all endpoints together.
//     healthChecker schedules health checks. endpointPicker chooses the endpoint of an attempt.
//   - The quota side: quotaController checks the limits of the customers' plans. customerTable holds the
//     customers, with a ledger if this gateway is the owner and a quota view otherwise. usageReporter
//     reports to the owners through peerProtocol. slotQueue holds the customers with requests that wait for
//     a concurrency slot. ownerDirectory finds the owner of a customer.
//
// An event method advances the clock, records the event in the components, and lets the request of the event
// proceed. After that it handles waiting work: first the dispatch queue, then the requests that wait for a
// concurrency slot, and then the usage reports. Each method does only the steps that its event needs. A
// change of the order would change the decisions: the order determines which request gets the last free
// capacity, and which random numbers each decision uses.
type Gateway struct {
	settings Settings
	actions  Actions
	random   *rand.Rand // used by picker and outliers, and once by New
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

	nextEvictionAt Seconds // see evictExpired
}

// New returns a Gateway without endpoints, and sets its timer. HandleEndpoints provides the endpoint list.
// All random numbers derive from seed. The error is ErrNoActions or a *SettingError.
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

// initEndpointSide creates the components that track endpoints.
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

// initQuotaSide creates the components that track customers and peers, and the retryPolicy that they need. It
// draws the random incarnation that lets peers distinguish this start of the gateway from earlier ones.
func (g *Gateway) initQuotaSide() {
	settings := g.settings
	incarnation := g.random.Uint32() ^ settings.StartID
	g.protocol = newPeerProtocol(settings, g.clock, incarnation, g.gossip, g.actions.SendToPeer)
	g.owners = newOwnerDirectory(settings, g.protocol.reachable)
	g.retries = newRetryPolicy(settings, g.clock)
	g.quota = quotaController{
		clock: g.clock, self: settings.Self, owners: g.owners, protocol: &g.protocol,
		retries: g.retries, limiter: g.limiter,
		customers: newCustomerTable(settings, g.clock, g.owners),
		reporter:  newUsageReporter(settings, g.clock, &g.protocol, g.owners),
	}
	g.quota.customers.reports = &g.quota.reporter
}

// initRequestSide creates the components that process requests. They depend on the other two sides.
func (g *Gateway) initRequestSide() {
	settings := g.settings
	g.classes = newClassTable(settings.Classes)
	g.requests = newRequestTable(newExecutedRequests(settings, g.clock))
	g.sender = &attemptSender{
		clock: g.clock, actions: g.actions, requests: g.requests, limiter: g.limiter, slowStart: g.slowStart,
		endpoints:   g.endpoints,
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

// CustomerCount returns the number of customers whose usage this gateway keeps.
func (g *Gateway) CustomerCount() int { return g.quota.customers.count }

// HandleRequest admits, queues or rejects a client's request. It fails a request of an unknown class, and one
// whose ID is that of a request that may have executed and must not execute again. It ignores a request with
// the ID of an open one.
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
	if requestClass.Idempotency != Idempotent && g.requests.executed.contains(incoming.ID) {
		g.actions.Fail(incoming.ID, RepeatedID)
		return
	}
	g.healthChecks.accrueCredit()
	g.admitter.handle(incoming, requestClass)
}

// HandleStreamStarted records that the reply to a request is being streamed to the client. Such a request can
// no longer be retried.
func (g *Gateway) HandleStreamStarted(now Seconds, id string) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil {
		r.streaming = true
	}
}

// HandleClientDisconnected finishes a request whose client has disconnected, or that needs no reply for
// another reason. Its attempts in flight are not cancelled.
func (g *Gateway) HandleClientDisconnected(now Seconds, id string) {
	g.clock.advance(now)
	if r := g.requests.find(id); r != nil && !r.done {
		g.replies.finish(r)
	}
}

// HandleOutcome processes the end of an attempt. It records the outcome, and then finishes the request,
// dispatches it again, which may reject it, or leaves it to another attempt in flight or to the reply being
// streamed. An outcome of an attempt that is not in flight is ignored.
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
	g.quota.reconsiderSlotWaiters()
}

// HandlePeerMessage processes a message from another gateway. Invalid, duplicate and overtaken messages are
// ignored.
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
	g.quota.reconsiderSlotWaiters()
	g.quota.reporter.sendDue()
}

// HandleEndpoints updates the endpoint list: it replaces the list if complete is set, and otherwise updates
// the given entries.
func (g *Gateway) HandleEndpoints(now Seconds, list []Endpoint, complete bool) {
	g.clock.advance(now)
	before := len(g.endpoints.listed)
	for _, e := range g.endpoints.apply(list, complete) {
		g.requests.recordOther(e)
	}
	after := len(g.endpoints.listed)
	g.slowStart.updateEstimates(g.classes.ordered, g.endpoints.listed)
	g.limiter.resize(before, after)
	g.dispatcher.dispatchQueued()
}

// HandleHealthCheck processes the result of a health check.
func (g *Gateway) HandleHealthCheck(now Seconds, result HealthCheckResult) {
	g.clock.advance(now)
	e := g.endpoints.byID[result.Endpoint]
	if e == nil {
		return
	}
	g.recordLoadReport(e, result.Load)
	if result.Status == Timeout || result.Status == ConnectFailed {
		g.outliers.recordFailureForAllClasses(e, errorSeverity)
	}
	g.dispatcher.dispatchQueued()
}

// HandleTimer does the periodic work of a Gateway and schedules the next tick. Unknown tokens are ignored.
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

// evictExpired evicts idle customers and removed endpoints at most once per evictionInterval.
func (g *Gateway) evictExpired() {
	if g.clock.now <= g.nextEvictionAt {
		return
	}
	g.nextEvictionAt = g.clock.now + evictionInterval
	g.quota.customers.evictIdle()
	g.endpoints.evictRemoved()
}
