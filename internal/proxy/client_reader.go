package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"reedlead/internal/command"
	"reedlead/internal/readbuf"
	"reedlead/internal/resp"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const (
	// maxBadCommands is how many commands of one connection may be bad; it is closed with the last of them.
	maxBadCommands = 8
	// discardTimeout and maxLingerBytes bound the input that is read and discarded behind a malformed command.
	discardTimeout    = 2 * time.Second
	maxDiscardedBytes = 1 << 20
	// typicalArguments is how many arguments of a command there is space for without an allocation.
	typicalArguments = 8
)

// pingCommand asks whether this gateway can serve requests.
const pingCommand = "PING"

// maxQuotedBytes is how much of an unknown command an error quotes.
const maxQuotedBytes = 40

// Errors of a client, worded for it.
var (
	errEmptyCommand = errors.New("empty command")
	errNoCommand    = errors.New("no whole command in time")
)

// clientReader reads the commands of one connection and posts each to the event loop, with the time at which its last
// byte had arrived. Its goroutine, which the listener starts, owns it, but while it pauses; it ends with the
// connection, or when the rest of the input can't be read.
//
// A read deadline is set while a command is unfinished, and until the first one has come. The event loop sets one that
// has passed to have the reader pause.
type clientReader struct {
	client   *clientConn
	services *services
	parser   *command.Parser

	buffer         readbuf.Buffer
	arrivals       arrivalTracker
	badCommands    int
	deadlineActive bool      // a deadline of the client runs
	deadline       time.Time // of it; zero for none
}

// run reads until the connection ends.
func (r *clientReader) run() {
	defer r.buffer.Free()
	r.deadlineActive = true
	r.setDeadline(time.Now().Add(r.client.set.commandTimeout))
	for r.readOnce() {
	}
}

// setDeadline sets the read deadline, but does not undo one by which the event loop requests a pause.
func (r *clientReader) setDeadline(deadline time.Time) {
	r.deadline = deadline
	_ = r.client.conn.SetReadDeadline(deadline) // where it fails, so does the next read
	if r.client.pauseRequested.Load() {
		_ = r.client.conn.SetReadDeadline(pastDeadline)
	}
}

// readOnce reads what has come, waiting for it, and handles the commands that are complete. It reports whether to go on.
func (r *clientReader) readOnce() (more bool) {
	space := r.buffer.Space()
	if space == nil {
		r.rejectInput(r.services.clock.Now(), readbuf.ErrExhausted)
		return false
	}
	startedAt := r.services.clock.Now()
	n, err := r.client.conn.Read(space)
	at := r.services.clock.Now()
	var arrived arrival
	if n > 0 {
		r.client.hasReceived.Store(true)
		arrived = r.arrivals.estimate(r.client.rawConn, r.services.loop.StallDetector(), startedAt, at, n == len(space))
	}
	r.buffer.Commit(n)
	used, ok := r.handleCommands(at, arrived)
	if !ok {
		return false
	}
	unfinished := used < r.buffer.Len()
	r.buffer.Discard(used)
	if err != nil {
		return r.handleError(at, err)
	}
	r.updateDeadline(used, unfinished)
	return true
}

// updateDeadline starts the deadline with an unfinished command and ends it with the last complete one.
func (r *clientReader) updateDeadline(used int, unfinished bool) {
	switch {
	case unfinished && (used > 0 || !r.deadlineActive):
		r.deadlineActive = true
		r.setDeadline(time.Now().Add(r.client.set.commandTimeout))
	case !unfinished && r.deadlineActive:
		r.deadlineActive = false
		r.setDeadline(time.Time{})
	}
}

// handleError handles an error of a read. It reports whether to go on.
func (r *clientReader) handleError(at policy.Seconds, err error) (more bool) {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && r.client.pauseRequested.Load():
		return r.pause(at)
	case timedOut && r.deadlineActive && time.Now().Before(r.deadline):
		r.setDeadline(r.deadline) // the deadline was that of a pause that has ended
		return true
	case timedOut:
		r.rejectInput(at, errNoCommand)
		return false
	}
	r.services.loop.Post(at, func() { r.client.abandon(peerClosed, err) })
	return false
}

// pause lets the event loop decide between commands whether the connection is closed. It reports whether to go on.
func (r *clientReader) pause(at policy.Seconds) (more bool) {
	c := r.client
	r.services.loop.Post(at, c.readerPaused)
	select {
	case <-c.resume:
	case <-c.done:
		return false
	}
	if !c.discardInput.Load() {
		r.setDeadline(r.deadline)
		return true
	}
	r.discardRemaining(shutdownTimeout)
	r.services.loop.Post(r.services.clock.Now(), func() { c.close(c.closeReason, nil) })
	return false
}

// handleCommands posts the complete commands that are in the buffer and returns their length, and false when the
// connection has ended or is about to.
func (r *clientReader) handleCommands(at policy.Seconds, arrived arrival) (used int, ok bool) {
	var space [typicalArguments][]byte
	r.arrivals.record(r.buffer.Len(), arrived)
	defer func() { r.arrivals.discard(used) }()
	for used < r.buffer.Len() {
		args, size, err := resp.ParseCommand(r.buffer.Bytes()[used:], space[:0])
		if err != nil {
			r.rejectInput(at, resp.SyntaxError{Cause: err})
			return 0, false
		}
		if size == 0 {
			break
		}
		if !r.acquirePermit() {
			return 0, false
		}
		if err := r.handleCommand(at, r.arrivals.commandArrival(used+size), args); err != nil {
			if !r.replyError(at, err) {
				return 0, false
			}
		}
		used += size
	}
	return used, true
}

// handleCommand posts one complete command, which was read at the time at and had arrived at arrivedAt, or returns what
// is wrong with it, worded for the client.
func (r *clientReader) handleCommand(at, arrivedAt policy.Seconds, args [][]byte) error {
	shared, c := r.services, r.client
	requests := c.set.requests
	switch {
	case len(args) == 0:
		return errEmptyCommand
	case command.IsRequest(args[0]):
		request, err := r.parser.Parse(args)
		if err != nil {
			return err
		}
		if !shared.inputBudget.Reserve(request.Size) {
			shared.loop.Post(at, func() { requests.rejectLocally(c, request, inputMemoryExhausted) })
			return nil
		}
		request.CopyArgs()
		shared.loop.Post(at, func() { requests.admit(c, request, arrivedAt) })
	case bytes.EqualFold(args[0], []byte(pingCommand)):
		shared.loop.Post(at, func() { c.replyToPing() })
	default:
		return fmt.Errorf("unknown command %.*q", maxQuotedBytes, args[0])
	}
	return nil
}

// replyError replies to a bad command. It reports whether the connection goes on.
func (r *clientReader) replyError(at policy.Seconds, err error) (more bool) {
	if r.badCommands++; r.badCommands == maxBadCommands {
		<-r.client.permits // the last reply has none
		r.rejectInput(at, err)
		return false
	}
	reply := errorReply(err)
	r.services.loop.Post(at, func() { r.client.replyLocally(reply, false) })
	return true
}

// errorReply is the reply to a malformed command.
func errorReply(err error) []byte { return redcon.AppendError(nil, "ERR "+err.Error()) }

// rejectInput replies to input that can't be handled and ends the connection. What still comes is read for a while: a
// close over unread bytes would reset the connection, and might destroy the reply.
func (r *clientReader) rejectInput(at policy.Seconds, err error) {
	c, reply := r.client, errorReply(err)
	r.services.loop.Post(at, func() { c.replyLocally(reply, true) })
	closedByClient := r.discardRemaining(discardTimeout)
	r.services.loop.Post(r.services.clock.Now(), func() {
		c.inputDiscarded = true
		if closedByClient || c.idle() {
			c.abandon(protocolError, err)
		} // else it is closed once the replies before the last one are written
	})
}

// discardRemaining reads and discards what still comes, for a while. It reports whether the client has closed its side.
func (r *clientReader) discardRemaining(timeout time.Duration) (closedByClient bool) {
	r.buffer.Free()
	_ = r.client.conn.SetReadDeadline(time.Now().Add(timeout)) // where it fails, so does the read
	n, err := io.Copy(io.Discard, io.LimitReader(r.client.conn, maxDiscardedBytes))
	return n < maxDiscardedBytes && !errors.Is(err, os.ErrDeadlineExceeded)
}
