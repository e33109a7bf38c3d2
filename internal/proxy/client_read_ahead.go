package proxy

import (
	"time"

	"reedlead/internal/command"
	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// A connection has maxPipelined permits. Each command holds one until its reply is written. A reader that waits for a
// permit reads ahead, because unread commands could otherwise fill the receive buffer of the socket, and the send buffer
// of the client. This machine would then not receive a FIN behind them, and the gateway would go on forwarding open
// requests of a client that has disconnected.
//
// What is read ahead is bounded. A client with open requests may have sent more, and have disconnected. If it has, it
// resets the connection at the next reply that is written to it. So where none was written for a moment, the reader
// refuses permits: the commands at the front are rejected in their place, until all that has come is read.

const (
	// readAheadInterval is the interval at which a waiting reader checks its socket.
	readAheadInterval = 10 * time.Millisecond
	// minReadAhead is the number of buffered bytes up to which a waiting reader reads ahead, and readAheadShare is the
	// share of the input budget up to which it does while its client has open requests, if that is more.
	minReadAhead   = 256 << 10
	readAheadShare = 0.125
	// readAheadReserveShare is the share of the input budget that must be available for a reader to read ahead.
	readAheadReserveShare = 0.5

	// hiddenInputPatience is the time in seconds without output to the client after which a reader that can't read on
	// refuses permits. No attempt may begin over 0.1 s after a client has disconnected.
	hiddenInputPatience policy.Seconds = 0.03
	// maxRefusedInput is the number of bytes of commands that a reader refuses within readAheadInterval.
	maxRefusedInput = 4 << 20
	// refusedReplyMemory is the number of bytes of the reply budget that the reply to a refused command takes.
	refusedReplyMemory = 256
	// valueReserveShare is the share of the reply budget that replies to refused commands leave to values.
	valueReserveShare = 0.5
)

// permitResult is the result of a wait for a permit.
type permitResult int

const (
	permitAcquired permitResult = iota
	permitRefused               // the command must be rejected, so that the reader can read on
	connectionEnded
)

// readAheadState is what a reader knows of the input that it has no room for.
type readAheadState struct {
	hidden       bool           // there is such input, and open requests that its client may have given up
	hiddenSince  policy.Seconds // since when hidden is set
	refusing     bool           // permits are refused
	refusedBytes int            // of commands refused since checkedAt
	checkedAt    policy.Seconds // see readAheadDue
}

// acquirePermit waits for a permit for the next command, of the given size, and reads ahead in the meantime.
func (r *clientReader) acquirePermit(size int) permitResult {
	c := r.client
	select {
	case c.permits <- struct{}{}:
		return permitAcquired
	default:
	}
	ticker := time.NewTicker(readAheadInterval)
	defer ticker.Stop()
	for ended := false; ; {
		if !ended && r.readAheadDue() {
			if ended = r.readAhead(); !ended && r.refusesPermit(size) {
				return permitRefused
			}
		}
		select {
		case c.permits <- struct{}{}:
			return permitAcquired
		case <-c.done:
			return connectionEnded
		case <-ticker.C:
		}
	}
}

// readAheadDue reports whether to read ahead now: once in each readAheadInterval, and as often as needed while permits
// are refused, within maxRefusedInput.
func (r *clientReader) readAheadDue() bool {
	ahead, now := &r.ahead, r.services.clock.Now()
	if now-ahead.checkedAt >= readAheadInterval.Seconds() {
		ahead.checkedAt, ahead.refusedBytes = now, 0
		return true
	}
	return ahead.refusing && ahead.refusedBytes < maxRefusedInput
}

// refusesPermit reports whether the command at the front of the buffer, of the given size, has to be rejected to make
// room for hidden input.
func (r *clientReader) refusesPermit(size int) bool {
	ahead := &r.ahead
	quietSince := max(ahead.hiddenSince, r.client.lastOutputAt.Load())
	ahead.refusing = ahead.hidden && r.services.clock.Now()-quietSince > hiddenInputPatience
	if ahead.refusing {
		ahead.refusedBytes += size
	}
	return ahead.refusing
}

// readAhead reads the available input without blocking, as far as the limits on buffered input allow. If the connection
// has ended, it posts a call of abandon to the event loop and returns true.
func (r *clientReader) readAhead() (ended bool) {
	shared, c := r.services, r.client
	limit := r.readAheadLimit()
	for r.buffer.Len() < limit && (r.buffer.HasSpace() || shared.inputBudget.AllowsReadAhead()) {
		space := r.buffer.Space()
		if space == nil {
			break
		}
		at := shared.clock.Now()
		n, err := netcalls.TryRead(c.rawConn, space)
		if netcalls.IsShortage(err) {
			r.setHidden(false)
			return false
		}
		if err != nil {
			shared.loop.Post(at, func() { c.abandon(peerClosed, err) })
			return true
		}
		arrived := r.arrivals.estimate(c.rawConn, shared.loop.StallDetector(), at, at, n == len(space))
		r.buffer.Commit(n)
		r.arrivals.record(r.buffer.Len(), arrived)
		if n < len(space) {
			r.setHidden(false)
			return false
		}
	}
	if netcalls.ClosedByPeer(c.rawConn) {
		shared.loop.Post(shared.clock.Now(), func() { c.abandon(peerClosed, nil) })
		return true
	}
	r.setHidden(c.openRequests.Load() > 0 && !netcalls.NoDataPending(c.rawConn))
	return false
}

// readAheadLimit returns the number of buffered bytes up to which the reader reads ahead.
func (r *clientReader) readAheadLimit() int {
	if r.client.openRequests.Load() == 0 {
		return minReadAhead
	}
	return max(minReadAhead, int(r.services.inputBudget.Share(readAheadShare)))
}

// setHidden records whether there is input that the reader has no room for.
func (r *clientReader) setHidden(hidden bool) {
	if hidden && !r.ahead.hidden {
		r.ahead.hiddenSince = r.services.clock.Now()
	}
	r.ahead.hidden = hidden
}

// refuse rejects a command without a permit, in its place among the connection's commands. err says why the command is
// invalid; if it is nil, the command is sound, and request is nil if it is not a request. refuse reports whether to
// continue, which is false after maxBadCommands invalid commands, and if there is no memory for another reply.
func (r *clientReader) refuse(at policy.Seconds, request *command.Request, err error) (more bool) {
	if err != nil && r.countBadCommand() {
		r.rejectInput(at, err)
		return false
	}
	budget := r.services.replyBudget
	if !budget.ReserveLeaving(refusedReplyMemory, budget.Share(valueReserveShare)) {
		r.rejectInput(at, errPipelineTooLong)
		return false
	}
	slot := &pipelineSlot{withoutPermit: true, reserved: refusedReplyMemory}
	if err != nil {
		slot.reply = errorReply(err)
	}
	r.services.loop.Post(at, func() { r.client.set.requests.refuse(r.client, slot, request) })
	return true
}
