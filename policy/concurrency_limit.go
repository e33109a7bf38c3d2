package policy

// Times are in seconds.
const (
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
