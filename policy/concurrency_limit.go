package policy

// Times are in seconds.
const (
	maxConcurrencyPerEndpoint     = 64.0 // attempts out at one server, all gateways together, at most
	limitIncrease                 = 0.1  // attempts that one fast answer adds to the limit
	limitDecrease                 = 0.03 // share of one server's limit that a slow one takes off
	lowLatencyRatio               = 0.15 // and below this one it may grow
	minConcurrencyPerEndpoint     = 3.0  // and at least
	lowUtilization                = 0.8  // cores less busy than this let a limit grow again
	timeoutWeight                 = 0.15 // how far one attempt that timed out moves the limit
	initialConcurrencyPerEndpoint = 3.0  // attempts out at one server, all gateways together, to begin with
	highLatencyRatio              = 0.22 // answers that take this share of their aim shrink a server's limit
	burstDeviations               = 4.0  // deviations of chance that many gateways may go above their part of the limit
)

// concurrencyLimiter holds the bound on attempts in flight at all endpoints together.
type concurrencyLimiter struct {
	concurrencyLimit    float64 // attempts out here, at all servers
	burstAllowance      float64 // how far out may go above limit, in deviations
	inFlight            int     // attempts out
	latencyRatio        float64 // mean of latency over aim
	meanAttemptDuration float64 // mean time until an answer or a time-out
	lastSentAt          float64
	endpointsPerGateway float64
}

// observeLatency adjusts the limit.
func (g *Gateway) observeLatency(c *class, o Outcome) {
	g.meanAttemptDuration += 0.1 * (o.Elapsed - g.meanAttemptDuration)
	g.latencyRatio += 0.1 * (o.Elapsed/c.LatencyObjective - g.latencyRatio)
	util, fresh := g.endpoints.meanUtilization(g.clock.now)
	easy := fresh && util < lowUtilization                           // cores are free: not driven too hard
	step := min(1, initialConcurrencyPerEndpoint/g.concurrencyLimit) // one answer tells of one server among those in use
	if o.Status == Timeout && !easy {
		g.concurrencyLimit *= 1 - timeoutWeight*step
	}
	if g.latencyRatio > highLatencyRatio && !easy {
		g.concurrencyLimit *= 1 - limitDecrease*step
	} else if (easy || g.latencyRatio < lowLatencyRatio) && float64(g.inFlight)+1.5 >= g.concurrencyLimit {
		g.concurrencyLimit += limitIncrease * min(1, g.concurrencyLimit)
	}
	g.concurrencyLimit = min(max(g.concurrencyLimit, minConcurrencyPerEndpoint*g.endpointsPerGateway), maxConcurrencyPerEndpoint*g.endpointsPerGateway)
}
