package proxy

import (
	"log/slog"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// decider is the decision module, a *policy.Gateway but for tests. Its methods are called on the event loop.
type decider interface {
	HandleRequest(now policy.Seconds, request policy.Request)
	HandleOutcome(now policy.Seconds, outcome policy.Outcome)
	HandleClientDisconnected(now policy.Seconds, id string)
	HandleEndpoints(now policy.Seconds, list []policy.Endpoint, complete bool)
	HandleTimer(now policy.Seconds, token uint64)
	HandlePeerMessage(now policy.Seconds, from int, data []byte)
	HandleHealthCheck(now policy.Seconds, result policy.HealthCheckResult)
}

// services are what the parts of a proxy share. All but warnings, which the event loop owns, are set before the
// goroutines start and may be used by each of them, as far as their own methods may.
type services struct {
	log   *slog.Logger
	calls *netcalls.Calls
	clock eventloop.Clock
	loop  *eventloop.Loop
	// inputBudget bounds the input of clients and endpoints that is read and not handled yet.
	inputBudget *readbuf.Budget
	warnings    warningLimiter
	// decider is called on the event loop alone.
	decider decider
}
