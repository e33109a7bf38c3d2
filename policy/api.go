// Package policy makes the decisions of one gateway of a fleet: which requests are admitted, which endpoint
// serves each attempt, and when a request is retried, hedged or rejected. The gateways of a fleet exchange
// messages to apply the quota of a customer's plan to its usage at all of them.
//
// The package has no clock, no sockets and no source of entropy. Events arrive as method calls that carry the
// current time, the random seed is a parameter of New, and effects are calls of the Actions interface. The
// same settings, seed and events produce the same actions, byte for byte.
//
// With Settings.PeerMessages, a hash ring of gateways assigns each customer to one gateway, its owner. The
// owner counts the customer's usage at all gateways against the quota. The other gateways are members. A
// member reports its usage to the owner. It admits requests from its share of the units that remained at the
// owner's last reply, or asks the owner for a grant. While the owner does not reply, it falls back to a local
// window.
//
// Gateway handles the events. Actions carries out its decisions.
package policy

// Seconds is a duration, or a time on the clock of the caller, which passes the current time as now to each
// event method. It is an alias of float64, so that arithmetic with times and rates needs no conversion.
type Seconds = float64

// Idempotency specifies whether requests of a class may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be executed any number of times
	IdempotencyKey                    // endpoints drop duplicates of a key for a limited time
	NonIdempotent                     // must not be executed twice
)

// String returns the name used in logs.
func (i Idempotency) String() string {
	switch i {
	case Idempotent:
		return "idempotent"
	case IdempotencyKey:
		return "idempotency_key"
	case NonIdempotent:
		return "non_idempotent"
	}
	return "unknown"
}

// DedupScope specifies which endpoints share a record of idempotency keys and so drop each other's
// duplicates.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all endpoints
	DedupZone                    // the endpoints of one zone
	DedupCell                    // the endpoints of one cell of a zone
)

// String returns the name used in logs.
func (s DedupScope) String() string {
	switch s {
	case DedupFleet:
		return "all"
	case DedupZone:
		return "zone"
	case DedupCell:
		return "cell"
	}
	return "unknown"
}

// Class is the configuration of a class of requests.
type Class struct {
	Name string
	// LatencyObjective is the time within which a reply earns the full PriorityWeight. It counts from the
	// arrival of the request. For a detected client retry it counts from the time at which the client is
	// assumed to have first sent the request, if that is earlier: the deadline minus Timeout.
	LatencyObjective Seconds
	// ObjectiveLatencyMultiple extends the objective by this multiple of the mean latency of the class.
	ObjectiveLatencyMultiple float64
	// Timeout is the time that clients wait for a reply after they have first sent a request.
	Timeout Seconds
	// PriorityWeight is the value of a reply within the objective, at least 0, relative to other classes.
	PriorityWeight float64
	// LateWeightFraction is the fraction of PriorityWeight that a reply earns after the objective.
	LateWeightFraction float64
	Idempotency        Idempotency
	// DedupScope specifies which endpoints drop duplicates of a key, and IdempotencyWindow is the time for
	// which they do. Both apply to IdempotencyKey only.
	DedupScope        DedupScope
	IdempotencyWindow Seconds
}

// Plan holds the limits and the priority of its customers. The limits apply to the usage of one customer at
// all gateways together.
type Plan struct {
	Name string
	// Rate is the rate at which the quota refills, in units per second; 0 means no quota.
	Rate float64
	// Burst is the capacity of the quota in units.
	Burst float64
	// MaxConcurrent is the number of attempts in flight at which no further request is admitted; 0 means no
	// limit.
	MaxConcurrent int
	// WeightFactor multiplies the PriorityWeight of the class.
	WeightFactor float64
	// CeilingRate, in units per second, and CeilingBurst are a second limit on the units, besides the quota.
	// Unlike the quota, the ceiling holds even if messages are lost or gateways restart. A rate of 0 means no
	// ceiling.
	CeilingRate  float64
	CeilingBurst float64
}

// Settings configures a Gateway and does not change during its lifetime.
type Settings struct {
	// Self is the index of this gateway, from 0 to GatewayCount-1.
	Self, GatewayCount int
	Zone               string
	Classes            []Class
	Plans              []Plan

	// MaxExecutedRequests is the number of requests that are remembered because they may have executed and must
	// not execute again; 0 means no limit. See ExecutedRequestMemory.
	MaxExecutedRequests int

	// StartID distinguishes this start of the gateway from earlier ones with the same seed.
	StartID uint32

	// MaxRequestUnits is the maximum number of units of a request; 0 means no limit.
	MaxRequestUnits int
	// ActualUnitsInReply is set if Request.Units is an estimate and the reply reports the actual units.
	ActualUnitsInReply bool
	// MaxCustomers is the number of customers whose usage this gateway keeps at a time; 0 means no limit. While
	// it is reached, requests of further customers are rejected. A customer takes up to CustomerMemory bytes.
	MaxCustomers int
	// PeerMessageRate is the number of peer messages per second that a gateway can receive; 0 means no limit.
	PeerMessageRate float64

	// Each of these enables an optional feature: messages between gateways, health checks, cancellation of
	// attempts, hedged requests, and a retryAfter in the replies to rejected requests. This package does not
	// use RetryAfter.
	PeerMessages, HealthChecks, Cancellation, Hedging, RetryAfter bool

	// MaxAttempts is the maximum number of attempts of a request, including hedges. Values below 1 count as 1.
	MaxAttempts int
	// MaxRetryAfter is the retryAfter of every rejection.
	MaxRetryAfter Seconds
	// LoadReportInHealthCheck is set if endpoints report their load only in replies to health checks.
	LoadReportInHealthCheck bool

	// ReplySlack is the time after the deadline within which a final reply still counts as on time. This
	// package does not use it.
	ReplySlack Seconds
	// The capacity of an endpoint rises linearly from the fraction SlowStartMinCapacity at its start to 1 after
	// SlowStartDuration.
	SlowStartMinCapacity float64
	SlowStartDuration    Seconds
	// An endpoint fails if it receives OverloadMultiple times its capacity within OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   Seconds

	// CrossZoneCost is the cost of an attempt in another zone, and HandshakeCost is the cost of a new
	// connection. Both have the same unit.
	CrossZoneCost float64
	HandshakeCost float64
	// ConnectionIdleTimeout is the time after which endpoints close an idle connection.
	ConnectionIdleTimeout Seconds
}

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// String returns the name used in logs.
func (s EndpointState) String() string {
	switch s {
	case InService:
		return "in_service"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	}
	return "unknown"
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID, Zone string
	Cell     int
	State    EndpointState
	// Address is where the endpoint is reached, or empty if that is not known. A process may take over the
	// address of another one that has ended, with another ID.
	Address string
	Weight  float64 // in the endpoint list; not used by this package
	// StartedAt is the time at which the endpoint's process started. It changes when the process restarts. 0
	// means that the time is unknown; the endpoint then counts as warm.
	StartedAt Seconds
}

// Request is a client's request. It gets exactly one final reply, from an endpoint or through Actions.Reject
// or Actions.Fail, unless it stops needing one, for example because the client disconnects. Its ID must
// differ from those of all open requests.
type Request struct {
	ID, Class, Plan, Customer string
	// Deadline is the time at which the client stops waiting.
	Deadline Seconds
	// The customer's requests arrive at GatewayCount gateways with consecutive indexes, starting at
	// FirstGateway. Index 0 follows the last index of the fleet.
	FirstGateway, GatewayCount int
	Units                      float64
	// ClientRetry is set if the client has sent the request before.
	ClientRetry bool
}

// AttemptStatus is the result of an attempt or a health check.
type AttemptStatus int

// The statuses of an attempt. If the endpoint may have executed the attempt, Class.Idempotency decides
// whether the request may be retried.
const (
	OK            AttemptStatus = iota
	Error                       // the endpoint sent an error or an invalid reply; may have executed
	Rejected                    // the endpoint rejected the attempt without processing it; did not execute
	Timeout                     // no reply within the timeout; may have executed
	ConnectFailed               // no connection, or the attempt was not completely written; did not execute
	Reset                       // the connection was lost; may have executed
	Cancelled                   // cancelled by this gateway; may have executed
	NotSent                     // given up before it was completely written; did not execute
)

// String returns the name used in logs.
func (s AttemptStatus) String() string {
	switch s {
	case OK:
		return "ok"
	case Error:
		return "error"
	case Rejected:
		return "rejected"
	case Timeout:
		return "timeout"
	case ConnectFailed:
		return "connect_failed"
	case Reset:
		return "reset"
	case Cancelled:
		return "cancelled"
	case NotSent:
		return "not_sent"
	}
	return "unknown"
}

// LoadReport is the load that an endpoint reports. Values that it did not report are negative. This package
// uses Utilization only.
type LoadReport struct {
	InFlight      float64 // requests in progress
	Queued        float64 // requests waiting
	Utilization   float64 // of the endpoint's processors, 0 to 1
	ServiceTimeMS float64 // milliseconds per request
	ServedPerS    float64
	FailedPerS    float64
}

// Outcome is the result of an attempt.
type Outcome struct {
	RequestID, Endpoint string
	Attempt             int // index among the attempts of the request, from 0
	Status              AttemptStatus
	RequestDone         bool        // the request no longer needs a reply
	Elapsed             Seconds     // duration of the attempt
	ActualUnits         float64     // only with Settings.ActualUnitsInReply and status OK
	Load                *LoadReport // nil if none was reported
}

// HealthCheckResult is the result of a health check.
type HealthCheckResult struct {
	Endpoint string
	Status   AttemptStatus
	Elapsed  Seconds
	Load     *LoadReport // nil if none was reported
}

// Reason explains why a request gets a final reply that does not come from an endpoint.
type Reason string

// Reasons for rejecting a request, or for failing it if the client may not safely send it again. UnknownClass
// and RepeatedID always fail the request.
const (
	QuotaExceeded           Reason = "quota_exceeded"            // a limit of the customer's plan is reached
	ConcurrencyLimitReached Reason = "concurrency_limit_reached" // queued for a concurrency slot but got none
	DeadlineTooClose        Reason = "deadline_too_close"        // too late to send an attempt
	NoEndpointInTime        Reason = "no_endpoint_in_time"       // no endpoint had free capacity in time
	AttemptsExhausted       Reason = "attempts_exhausted"        // no further attempt is allowed
	TooManyCustomers        Reason = "too_many_customers"        // a new customer, and no room for it
	OwnerUnreachable        Reason = "owner_unreachable"         // no grant from the owner arrived in time
	UnknownClass            Reason = "unknown_class"
	RepeatedID              Reason = "repeated_id" // a request with this ID may have executed
)

// Broadcast as the gateway argument of SendToPeer addresses all other gateways.
const Broadcast = -1

// Actions carries out the decisions of a Gateway on the network. The Gateway calls these methods only within
// New and its event methods. They must take effect in the order of the calls.
type Actions interface {
	// Send starts the next attempt of a request. The attempt times out after timeout, and at the latest at the
	// deadline of the request. A timeout of 0 means the deadline, and a negative one has expired already. The
	// attempt must be given up if it is not completely written within writeWithin; 0 means no limit.
	Send(id, endpoint string, timeout, writeWithin Seconds)
	// Reject gives the final reply to a request that the client may safely send again after retryAfter: the
	// request did not execute, its class is idempotent, or all endpoints drop duplicates of its key.
	Reject(id string, retryAfter Seconds, reason Reason)
	// Fail gives the final reply to a request that the client may not safely send again, because it may have
	// executed, or whose class is unknown.
	Fail(id string, reason Reason)
	// Cancel cancels an attempt in flight. The Gateway counts the attempt as in flight until HandleOutcome
	// reports its end.
	Cancel(id string, attempt int)
	// SetTimer schedules a call of HandleTimer with token after delay.
	SetTimer(token uint64, delay Seconds)
	// HealthCheck sends a health check to an endpoint. HandleHealthCheck receives the result.
	HealthCheck(endpoint string)
	// SendToPeer sends a message to a gateway, or to all others with Broadcast. Messages may be lost.
	SendToPeer(gateway int, data []byte)
}
