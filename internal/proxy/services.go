package proxy

import (
	"log/slog"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// decider is the interface of the decision module, which *policy.Gateway implements. It is called on the event loop
// only.
type decider interface {
	HandleRequest(now policy.Seconds, request policy.Request)
	HandleOutcome(now policy.Seconds, outcome policy.Outcome)
	HandleClientDisconnected(now policy.Seconds, id string)
	HandleEndpoints(now policy.Seconds, list []policy.Endpoint, complete bool)
	HandleTimer(now policy.Seconds, token uint64)
	HandlePeerMessage(now policy.Seconds, from int, data []byte)
	HandleHealthCheck(now policy.Seconds, result policy.HealthCheckResult)
	CustomerCount() int
}

// services holds the values that the components of a proxy share. The event loop owns warnings and decider. Any
// goroutine may use the other fields, as the documentation of their types allows.
type services struct {
	log   *slog.Logger
	calls *netcalls.Calls
	clock eventloop.Clock
	// yield lets other goroutines run. It is runtime.Gosched, except in tests.
	yield func()
	loop  *eventloop.Loop
	// inputBudget limits the memory for buffered input, for the arguments of open requests and for unwritten replies.
	inputBudget *readbuf.Budget
	// replyBudget limits the memory for values that wait for the replies before them.
	replyBudget *readbuf.Budget
	warnings    warningLimiter
	decider     decider
}
