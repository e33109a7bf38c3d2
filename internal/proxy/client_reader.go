package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"reedlead/internal/command"
	"reedlead/internal/eventloop"
	"reedlead/internal/readbuf"
	"reedlead/internal/resp"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

const (
	// maxBadCommands is the number of invalid commands after which a connection is closed.
	maxBadCommands = 8
	// discardTimeout is the maximum time for which input is discarded after the reader has rejected input.
	discardTimeout = 2 * time.Second
	// maxDiscardedBytes is the maximum number of bytes that are discarded before a connection is closed.
	maxDiscardedBytes = 1 << 20
	// maxKeptInput is the number of handled bytes that the buffer may hold while later commands wait for a permit, if these
	// are fewer.
	maxKeptInput = 64 << 10
	// commandsPerTurn is the number of commands after which a reader lets other goroutines run.
	commandsPerTurn = 32
	// typicalArguments is the number of arguments that a command can have before handleCommands needs a larger slice.
	typicalArguments = 8
)

// pingCommand is the command of a health check, which asks whether this gateway is ready.
const pingCommand = "PING"

// maxQuotedRunes is the maximum number of characters of an unknown command that an error quotes.
const maxQuotedRunes = 40

// Errors that are sent to the client.
var (
	errEmptyCommand     = errors.New("empty command")
	errNoCommand        = errors.New("no whole command in time")
	errPipelineTooLong  = errors.New("too many commands at once")
	errOversizedCommand = errors.New("unknown command of over 2 KiB")
)

// unknownCommand returns the error for a command with an unknown name.
func unknownCommand(name []byte) error {
	return fmt.Errorf("unknown command %.*q", maxQuotedRunes, name)
}

// clientReader reads the commands of one connection and posts them to the event loop. For an invalid command, it posts
// an error reply. Its goroutine, which the listener starts, owns it except during a pause. The goroutine ends with the
// connection, or after it has discarded input.
//
// A read deadline is set until the first command is complete, and while a later command is incomplete. To pause the
// reader, or to have it shed its partial command, the event loop sets a deadline in the past.
type clientReader struct {
	client   *clientConn
	services *services
	parser   *command.Parser

	buffer         readbuf.Buffer
	shed           *shedCommand // the command that is being shed, of which the buffer holds no more than a header; nil if none is
	arrivals       arrivalTracker
	ahead          readAheadState
	connectedAt    policy.Seconds // when the connection was established, which is before it was accepted
	badCommands    int
	handled        int       // commands handled; see yield
	deadlineActive bool      // the client must complete a command by deadline
	deadline       time.Time // zero if there is none
}

// run reads and handles commands until readOnce reports false.
func (r *clientReader) run() {
	defer r.buffer.Free()
	defer r.recoverPanic()
	r.deadlineActive = true
	r.setDeadline(time.Now().Add(r.firstCommandTimeout()))
	for r.readOnce() {
	}
}

// recoverPanic ends the connection after a panic of its reader, so that the process and the other connections go on.
func (r *clientReader) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	r.services.loop.Post(r.services.clock.Now(), func() {
		r.services.logPanic(cause, stack)
		r.client.abandon(readerFailed, nil)
	})
}

// firstCommandTimeout returns the time that is left for the first command. If the connection has waited to be accepted,
// the command timeout counts from when it was established, but what came meanwhile must be read. The kernel's time of
// that is less precise than the clock, so a wait that may be none does not count.
func (r *clientReader) firstCommandTimeout() time.Duration {
	timeout := r.client.set.commandTimeout
	waited := r.services.clock.Now() - r.connectedAt
	if waited < eventloop.StallThreshold {
		return timeout
	}
	return max(timeout-eventloop.Duration(waited), min(timeout, eventloop.Duration(inputStallTimeout)))
}

// setDeadline sets the read deadline. If the event loop has requested a pause, the deadline that interrupts the reader
// stays in force.
func (r *clientReader) setDeadline(deadline time.Time) {
	r.deadline = deadline
	_ = r.client.conn.SetReadDeadline(deadline) // if it fails, so does the next read
	if r.client.pauseRequested.Load() {
		_ = r.client.conn.SetReadDeadline(pastDeadline)
	}
}

// readOnce waits for input and handles the complete commands. It reports whether to continue.
func (r *clientReader) readOnce() (more bool) {
	r.shedIfRequested()
	space := r.space()
	startedAt := r.services.clock.Now()
	n, err := r.client.conn.Read(space)
	at := r.services.clock.Now()
	var arrived arrival
	if n > 0 {
		r.client.hasReceived.Store(true)
		r.client.lastInputAt.Store(at)
		arrived = r.arrivals.estimate(r.client.rawConn, r.services.loop.StallDetector(), startedAt, at, n == len(space))
	}
	r.buffer.Commit(n)
	r.arrivals.record(r.buffer.Len(), arrived)
	r.client.partialCommand.Store(false) // what the buffer holds now may be complete commands
	r.client.partialInput.Store(0)
	ended, ok := r.handleInput(at)
	if !ok {
		return false
	}
	r.publishPartialCommand()
	if err != nil {
		return r.handleError(at, err)
	}
	r.updateDeadline(ended)
	return true
}

// space returns space to read into. If there is no memory for it, space sheds the command at the start of the buffer.
func (r *clientReader) space() []byte {
	space := r.buffer.Space()
	if space == nil {
		space = r.awaitSpace()
	}
	if space == nil {
		r.startShedding()
		space = r.buffer.Space() // a buffer of the initial size takes nothing from the budget
	}
	return space
}

// hasPartialCommand reports whether the reader has read a part of a command.
func (r *clientReader) hasPartialCommand() bool { return r.buffer.Len() > 0 || r.shed != nil }

// discard removes the first n bytes from the buffer.
func (r *clientReader) discard(n int) {
	r.arrivals.discard(n)
	r.buffer.Discard(n)
}

// updateDeadline sets a read deadline when a command is first found unfinished, and clears it when no command is
// unfinished. Further parts of the command do not extend the deadline, and the first command of the connection keeps
// the deadline that run has set. commandEnded is true if the last read has completed a command.
func (r *clientReader) updateDeadline(commandEnded bool) {
	unfinished := r.hasPartialCommand()
	switch {
	case unfinished && (commandEnded || !r.deadlineActive):
		r.deadlineActive = true
		r.setDeadline(time.Now().Add(r.client.set.commandTimeout))
	case !unfinished && r.deadlineActive:
		r.deadlineActive = false
		r.setDeadline(time.Time{})
	}
}

// handleError handles a read error. The event loop may have interrupted the read for a pause, a command may have timed
// out, or the connection may have ended. It reports whether to continue.
func (r *clientReader) handleError(at policy.Seconds, err error) (more bool) {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && r.client.pauseRequested.Load():
		return r.pause(at)
	case timedOut && (!r.deadlineActive || time.Now().Before(r.deadline)):
		r.setDeadline(r.deadline) // the deadline in the past belonged to a pause that has ended, or to a request to shed
		return true
	case timedOut:
		r.rejectInput(at, errNoCommand)
		return false
	}
	r.services.loop.Post(at, func() { r.client.abandon(peerClosed, err) })
	return false
}

// pause posts readerPaused and waits until the event loop resumes the reader or closes the connection. If the event loop
// has set discardInput, pause discards further input for up to shutdownTimeout and then posts the close. It reports
// whether to continue.
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

// handleInput handles and discards the commands in the buffer that are complete, and the bytes of a command that is being
// shed. commandEnded reports whether there was the end of a command. ok is false if the connection has ended or its input
// was rejected.
func (r *clientReader) handleInput(at policy.Seconds) (commandEnded, ok bool) {
	if r.shed != nil {
		used, ended, ok := r.continueShedding(at)
		r.discard(used)
		if !ended || !ok {
			return false, ok
		}
		commandEnded = true
	}
	used, some, ok := r.handleCommands(at)
	r.discard(used)
	return commandEnded || some, ok
}

// handleCommands posts the complete commands in the buffer to the event loop and returns the length of those that it has
// not discarded, and whether there were any. ok is false if the connection has ended or its input was rejected.
func (r *clientReader) handleCommands(at policy.Seconds) (used int, some, ok bool) {
	var space [typicalArguments][]byte
	for used < r.buffer.Len() {
		args, size, err := resp.ParseCommand(r.buffer.Bytes()[used:], space[:0])
		if err != nil {
			r.rejectInput(at, resp.SyntaxError{Cause: err})
			return 0, some, false
		}
		if size == 0 {
			break
		}
		if !r.handleNext(at, used, size, args) {
			return 0, some, false
		}
		some = true
		r.yield()
		if used += size; used >= maxKeptInput && 2*used >= r.buffer.Len() {
			r.discard(used)
			used = 0
		}
	}
	return used, some, true
}

// yield lets other goroutines run after commandsPerTurn commands. Otherwise a client that sends without pause could keep
// the processor for a whole time slice of the scheduler whenever it is its turn, and each step of the requests of others
// would wait for that.
func (r *clientReader) yield() {
	if r.handled++; r.handled%commandsPerTurn == 0 {
		r.services.yield()
	}
}

// handleNext handles the complete command of the given size that stands at an offset of the buffer. It reports whether to
// continue.
func (r *clientReader) handleNext(at policy.Seconds, offset, size int, args [][]byte) (more bool) {
	switch r.acquirePermit(size) {
	case connectionEnded:
		return false
	case permitRefused:
		request, err := r.parseCommand(args)
		return r.refuse(at, request, err)
	}
	err := r.handleCommand(at, r.arrivals.commandArrival(offset+size), args)
	return err == nil || r.replyError(at, err)
}

// parseCommand returns the request of a command, or nil if the command is a health check. If the command is invalid,
// parseCommand returns the error to send to the client.
func (r *clientReader) parseCommand(args [][]byte) (*command.Request, error) {
	switch {
	case len(args) == 0:
		return nil, errEmptyCommand
	case command.IsRequest(args[0]):
		return r.parser.Parse(args)
	case bytes.EqualFold(args[0], []byte(pingCommand)):
		return nil, nil
	}
	return nil, unknownCommand(args[0])
}

// handleCommand posts an event for one complete command to the event loop. at is the time of the event, and arrivedAt is
// the estimated arrival time of the command. If the command is invalid, handleCommand posts nothing and returns the
// error to send to the client.
func (r *clientReader) handleCommand(at, arrivedAt policy.Seconds, args [][]byte) error {
	shared, c := r.services, r.client
	requests := c.set.requests
	request, err := r.parseCommand(args)
	switch {
	case err != nil:
		return err
	case request == nil:
		shared.loop.Post(at, func() { c.replyToPing() })
	case !shared.inputBudget.ReserveLeaving(openRequestSize(request), shared.inputBudget.Share(replyReserveShare)):
		shared.loop.Post(at, func() { requests.rejectLocally(c, request, inputMemoryExhausted) })
	default:
		request.CopyArgs()
		shared.loop.Post(at, func() { requests.admit(c, request, arrivedAt) })
	}
	return nil
}

// replyError replies to an invalid command with an error. It reports whether to continue, which is false after
// maxBadCommands invalid commands.
func (r *clientReader) replyError(at policy.Seconds, err error) (more bool) {
	if r.countBadCommand() {
		<-r.client.permits // the last reply of a connection holds no permit
		r.rejectInput(at, err)
		return false
	}
	reply := errorReply(err)
	r.services.loop.Post(at, func() { r.client.replyLocally(reply, false) })
	return true
}

// countBadCommand counts an invalid command, and reports whether it is the last that the connection may send.
func (r *clientReader) countBadCommand() (last bool) {
	r.badCommands++
	return r.badCommands == maxBadCommands
}

// errorReply returns the error reply for err in RESP.
func errorReply(err error) []byte { return redcon.AppendError(nil, "ERR "+err.Error()) }

// rejectInput replies with an error to input that cannot be handled. It then discards further input for up to
// discardTimeout, because closing a socket with unread bytes resets the connection and may destroy the reply. After
// that, the connection is closed: directly if the client has closed its side or no reply is outstanding, and otherwise
// after the last reply. Until then, rejectInput goes on to discard input, to find out if the client disconnects.
func (r *clientReader) rejectInput(at policy.Seconds, err error) {
	c, reply := r.client, errorReply(err)
	r.services.loop.Post(at, func() { c.replyLocally(reply, true) })
	closedByClient := r.discardRemaining(discardTimeout)
	r.services.loop.Post(r.services.clock.Now(), func() {
		c.inputDiscarded = true
		if closedByClient || c.idle() {
			c.abandon(protocolError, err)
		} // otherwise allWritten closes it after the last reply
	})
	if !closedByClient {
		r.discardUntilClosed()
	}
}

// discardUntilClosed reads and discards input until the connection ends, and then abandons it. It discards at most
// maxRefusedInput bytes within readAheadInterval.
func (r *clientReader) discardUntilClosed() {
	c := r.client
	_ = c.conn.SetReadDeadline(time.Time{}) // if it fails, so does the read
	for {
		_, err := io.CopyN(io.Discard, c.conn, maxRefusedInput)
		if err != nil {
			r.services.loop.Post(r.services.clock.Now(), func() { c.abandon(peerClosed, err) })
			return
		}
		r.services.calls.Sleep(readAheadInterval)
	}
}

// discardRemaining frees the read buffer, and reads and discards up to maxDiscardedBytes of input until the timeout. It
// reports whether the input ended earlier, usually because the client has closed the connection or its sending side.
func (r *clientReader) discardRemaining(timeout time.Duration) (closedByClient bool) {
	r.buffer.Free()
	r.client.partialInput.Store(0)
	end, left := time.Now().Add(timeout), int64(maxDiscardedBytes)
	for {
		_ = r.client.conn.SetReadDeadline(end) // if it fails, so does the read
		n, err := io.Copy(io.Discard, io.LimitReader(r.client.conn, left))
		left -= n
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && time.Now().Before(end) && !r.client.pauseRequested.Load() {
			continue // the deadline in the past belonged to a request to shed
		}
		return left > 0 && !timedOut
	}
}
