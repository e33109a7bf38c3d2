// Package policy decides, for one gateway of a fleet, which requests are
// admitted, which endpoint serves each attempt, and when a request is retried,
// hedged or rejected, so that every customer of a shared backend keeps to its
// plan across all gateways together.
//
// The package holds no clock, no sockets and no entropy of its own: events come
// in as method calls that carry the time, the seed is given at the start, and
// what is to be done goes out through Actions. The same events give the same
// actions, byte for byte.
//
// Every customer is hashed on a ring of gateways to one owner, which alone counts
// the customer's window against the whole quota. The others are its members: they
// report their counts to the owner in batches, admit from their share of the
// remaining units it last reported, and fall back to a local window while the
// owner does not reply.
//
// This file is the interface of the package. Gateway dispatches the events.
package policy

// Seconds is a span of time, or a point in time counted from the same origin as
// the now of all events. It is a name for float64, so that sums of times and
// rates need no conversion; every time in this package has this unit but
// LoadReport.ServiceTimeMS.
type Seconds = float64

// Idempotency tells whether a class of request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be executed any number of times
	IdempotencyKey                    // repeats of a key are dropped by a group of endpoints for a time
	NonIdempotent                     // must not be executed twice
)

// String returns the name that logs use.
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

// DedupScope is the group of endpoints that drops repeats of an idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all endpoints
	DedupZone                    // the endpoints of one zone
	DedupCell                    // the endpoints of one cell of a zone
)

// String returns the name that logs use.
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

// Class describes one class of request.
type Class struct {
	Name string
	// LatencyObjective is the time within which a reply earns the full PriorityWeight.
	LatencyObjective Seconds
	// ObjectiveLatencyMultiple extends the objective by this multiple of the class's mean latency.
	ObjectiveLatencyMultiple float64
	// Timeout is how long clients wait for a reply.
	Timeout Seconds
	// PriorityWeight is the weight of a reply within the objective, at least 0, relative to other classes.
	PriorityWeight float64
	// LateWeightFraction is the fraction of PriorityWeight that a reply earns after the objective.
	LateWeightFraction float64
	Idempotency        Idempotency
	// DedupScope and IdempotencyWindow tell, of IdempotencyKey, which endpoints drop repeats, and for how long.
	DedupScope        DedupScope
	IdempotencyWindow Seconds
}

// Plan describes the quota that each customer of the plan holds over all gateways.
type Plan struct {
	Name string
	// Rate is the quota in units a second; 0 stands for no such quota.
	Rate float64
	// Burst is the largest number of units that the quota holds.
	Burst float64
	// MaxConcurrent bounds the attempts in flight; 0 stands for no such bound.
	MaxConcurrent int
	// WeightFactor multiplies the priority weight of the class.
	WeightFactor float64
	// CeilingRate, in units a second, and CeilingBurst bound what is forwarded in any case; a rate of 0
	// stands for no ceiling.
	CeilingRate  float64
	CeilingBurst float64
}

// Settings are fixed for the life of a Gateway.
type Settings struct {
	// Self is the number of this gateway, from 0 to GatewayCount-1.
	Self, GatewayCount int
	Zone               string
	Classes            []Class
	Plans              []Plan

	// MaxRequestUnits is the largest number of units of one request; 0 stands for no such bound.
	MaxRequestUnits int
	// ActualUnitsInReply tells that units are an estimate until the reply brings the actual ones.
	ActualUnitsInReply bool
	// PeerMessageRate is how many peer messages a second a gateway can receive.
	PeerMessageRate float64

	// Which actions and messages there are.
	PeerMessages, HealthChecks, Cancellation, Hedging, RetryAfter bool

	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MaxRetryAfter is the longest Retry-After of a rejection.
	MaxRetryAfter Seconds
	// LoadReportInHealthCheck tells that endpoints report their load in replies to health checks alone.
	LoadReportInHealthCheck bool

	// ReplySlack is how long after the deadline a final reply still counts as given.
	ReplySlack Seconds
	// An endpoint warms up for SlowStartDuration, from the fraction SlowStartMinCapacity of its capacity to
	// the whole of it.
	SlowStartMinCapacity float64
	SlowStartDuration    Seconds
	// An endpoint fails when it gets OverloadMultiple times its capacity within OverloadWindow.
	OverloadMultiple float64
	OverloadWindow   Seconds

	// HandshakeCost is the price of a new connection, and CrossZoneCost that of an attempt in another zone, in
	// the unit of the settings' prices.
	CrossZoneCost float64
	HandshakeCost float64
	// ConnectionIdleTimeout is how long an idle connection stays open.
	ConnectionIdleTimeout Seconds
}

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

// The states of an endpoint.
const (
	InService EndpointState = iota
	Draining
	Removed
)

// String returns the name that logs use.
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
	Weight   float64 // of the endpoint list; not used
	// StartedAt is when its process started, in event time; 0 stands for long ago. A change tells of a restart.
	StartedAt Seconds
}

// Request is a client's request, to which this gateway owes one final reply.
type Request struct {
	ID, Class, Plan, Customer string
	// Deadline is the point in time at which the client stops waiting.
	Deadline Seconds
	// The customer's requests come to GatewayCount gateways in a row, from FirstGateway on.
	FirstGateway, GatewayCount int
	Units                      float64
	// ClientRetry tells that the client has sent it before.
	ClientRetry bool
}

// AttemptStatus is how an attempt or a health check ended.
type AttemptStatus int

// The ways an attempt ends. Whether it may have executed decides whether a request may be retried.
const (
	OK            AttemptStatus = iota
	Error                       // the endpoint replied with an error; may have executed
	Rejected                    // the endpoint rejected it unseen; did not execute
	Timeout                     // no reply in time; may have executed
	ConnectFailed               // never reached the endpoint; did not execute
	Reset                       // the connection broke; may have executed
	Cancelled                   // given up by this gateway; may have executed
	NotSent                     // never written; did not execute
)

// String returns the name that logs use.
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

// LoadReport is what an endpoint reports of its load. Values that were not reported are below 0. Only
// Utilization is used; the other values are kept for the network side's callers.
type LoadReport struct {
	InFlight      float64 // requests being served
	Queued        float64 // requests waiting
	Utilization   float64 // of its processors, 0 to 1
	ServiceTimeMS float64 // milliseconds a request
	ServedPerS    float64
	FailedPerS    float64
}

// Outcome ends one attempt.
type Outcome struct {
	RequestID, Endpoint string
	Attempt             int // its index among the request's attempts, from 0
	Status              AttemptStatus
	RequestDone         bool // the request needs no reply any more
	Elapsed             Seconds
	ActualUnits         float64     // with Settings.ActualUnitsInReply and OK
	Load                *LoadReport // nil: none came
}

// HealthCheckResult ends one health check.
type HealthCheckResult struct {
	Endpoint string
	Status   AttemptStatus
	Elapsed  Seconds
	Load     *LoadReport // nil: none came
}

// Reason tells why the final reply of a request is not a value.
type Reason string

// Why a request is rejected, or fails where nothing can be said of what may have executed.
const (
	QuotaExceeded           Reason = "quota_exceeded"            // its customer is over a quota or a ceiling
	ConcurrencyLimitReached Reason = "concurrency_limit_reached" // its customer has too many in flight
	DeadlineTooClose        Reason = "deadline_too_close"        // no reply could come in time
	NoEndpointInTime        Reason = "no_endpoint_in_time"       // no endpoint had capacity while one could
	AttemptsExhausted       Reason = "attempts_exhausted"        // no further attempt is allowed
	OwnerUnreachable        Reason = "owner_unreachable"         // the owner's grant did not come in time
	UnknownClass            Reason = "unknown_class"
)

// Broadcast as the addressee of SendToPeer means every other gateway.
const Broadcast = -1

// Actions is what a Gateway asks of the network side. Its methods are called only while one of the
// Gateway's event methods runs, and in the order in which they are to take effect.
type Actions interface {
	// Send starts the request's next attempt. It ends after timeout at the latest, or at the request's deadline
	// if timeout is 0; with one below 0 it has timed out at once. Its last byte is written within writeWithin or
	// never; 0 stands for no such bound.
	Send(id, endpoint string, timeout, writeWithin Seconds)
	// Reject gives the final reply that the request did not execute, or may safely be sent again, after
	// retryAfter.
	Reject(id string, retryAfter Seconds, reason Reason)
	// Fail gives the final reply that promises nothing.
	Fail(id string, reason Reason)
	// Cancel gives up an attempt that is in flight.
	Cancel(id string, attempt int)
	// SetTimer has HandleTimer called with token after delay.
	SetTimer(token uint64, delay Seconds)
	// HealthCheck checks an endpoint; HandleHealthCheck brings the result.
	HealthCheck(endpoint string)
	// SendToPeer sends a message to a gateway, or to all with Broadcast. It may be lost.
	SendToPeer(gateway int, data []byte)
}
