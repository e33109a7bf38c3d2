package proxy

import (
	"log/slog"

	"reedlead/internal/eventloop"
	"reedlead/internal/netcalls"
	"reedlead/internal/readbuf"
)

// services are what the parts of a proxy share. All but warnings, which the event loop owns, are set before the
// goroutines start and may be used by each of them, as far as their own methods may.
type services struct {
	log   *slog.Logger
	calls *netcalls.Calls
	clock eventloop.Clock
	loop  *eventloop.Loop
	// inputBudget bounds what clients and endpoints have sent and nobody has used up yet.
	inputBudget *readbuf.Budget
	warnings    warningLimiter
}
