package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"reedlead/internal/command"
	"reedlead/internal/readbuf"
	"reedlead/internal/resp"

	"github.com/tidwall/redcon"
)

const (
	maxPipelined   = 32              // commands of one connection that may be open
	commandTimeout = 2 * time.Second // an answer is owed to what can't be read within 3 s
	maxBadCommands = 8               // bad commands of one connection; then it is closed
	lingerTimeout  = 2 * time.Second // how long a refused client's bytes are read and dropped
	maxLingerBytes = 1 << 20         // and how many
	// How long a client may take to close its side of a connection that this side has shut down.
	shutdownTimeout = 500 * time.Millisecond
	// An answer that was written so many seconds ago has come, so that a reset of its connection can't destroy it.
	replyInFlightS      = 1.0
	clientIdleTimeoutS  = 10.0 // seconds for which a connection may stand idle
	minClients          = 8
	lateClientGrace     = 100 * time.Millisecond // for a command on a connection that came last
	listenerQuietPeriod = 10 * time.Millisecond  // without a new connection, after which the listener closes
	acceptAhead         = 8                      // connections accepted that the loop has not come to
	// For the listener, discovery with the questions open beside each other, peers, the configuration file, the
	// slack and the runtime; and a share for what is being closed.
	reservedDescriptors     = 32
	reservedDescriptorShare = 1.0 / 32
)

// usableFDs is how many descriptors connections may take: the rest is kept for all that must never wait for one.
func usableDescriptors(sockets int) int {
	return sockets - reservedDescriptors - int(float64(sockets)*reservedDescriptorShare)
}

// slot is the place of one answer in its connection's order.
type pipelineSlot struct {
	request *request // nil where the answer was known at once
	reply   []byte   // nil until it is final
	last    bool     // the connection ends with it
}

// client is one client's connection.
type clientConn struct {
	number         uint64 // of the connection, counted by the listener
	conn           connection
	raw            syscall.RawConn
	permits        chan struct{} // bounds the open commands; taken by the reader
	done           chan struct{} // closed with the connection
	pauseRequested atomic.Bool   // the loop wants the reader to stand still between commands
	hasReceived    atomic.Bool   // something has been read
	discardInput   atomic.Bool   // the reader is to drop what still comes

	writeProgressAt atomicTime // when a write that the socket had no room for last went on

	resume chan struct{} // and to go on

	// Its reader's.
	buffer      readbuf.Buffer
	arrivals    arrivalTracker
	badCommands int

	// Loop only.
	pipeline         []*pipelineSlot  // no more than permits, and one
	pending          []byte           // what the socket has not taken yet
	unwritten        []unwrittenReply // the answers of which that holds the end, oldest first
	reservedOutput   int              // of the budget, for what is pending or being written
	writing          bool             // a goroutine writes what was pending
	openedAt         float64
	lastUsedAt       float64
	closeReason      closeReason // why its reader is to stand still
	hasSpoken        bool        // a whole command has come
	lastReplyQueued  bool        // the last answer is written, what still comes is read and dropped
	lingerDone       bool        // for long enough
	sendingShutDown  bool        // its sending side is shut down: nothing more is answered, what comes is dropped
	overLimit        bool        // beyond the bound: what it asks is refused while that holds
	closeRequested   bool        // its reader is to stand still, so that the connection can be closed
	usedSinceRequest bool        // since then
	closed           bool
}

// idle tells that the client waits for nothing. What its reader has not come to yet counts.
func (c *clientConn) idle() bool {
	return len(c.pipeline) == 0 && len(c.pending) == 0 && !c.writing
}

// clientSet bounds the connections of clients.
type clientSet struct {
	all                map[*clientConn]struct{}
	limit              int           // of open connections
	configuredLimit    int           // what limit is as long as descriptors last
	overLimitAllowance int           // so many more are taken, to be refused in words
	closing            int           // connections that were asked to stand still, to be closed
	places             chan struct{} // a place for each connection, taken before it is accepted

	stallTimeout   time.Duration // see there
	commandTimeout time.Duration // how long one may take for its first command, and for a whole one
}

func (s *clientSet) init(sockets int) {
	s.all = map[*clientConn]struct{}{}
	s.limit = max(minClients, usableDescriptors(sockets)/2)
	s.configuredLimit = s.limit
	s.overLimitAllowance = max(2, usableDescriptors(sockets)/8)
	s.commandTimeout = commandTimeout
	s.stallTimeout = stallTimeout
	s.places = make(chan struct{}, s.limit+s.overLimitAllowance+acceptAhead)
}

func (s *clientSet) open() int { return len(s.all) }

// staying counts those that are not about to be closed.
func (s *clientSet) staying() int { return len(s.all) - s.closing }

// sweep closes what has idled for long, so that clients that keep a connection for good hold none of
// the memory either. What has never spoken is its reader's to answer.
func (s *clientSet) sweep(p *Proxy) {
	for c := range s.all {
		if c.hasSpoken && c.idle() && p.now-c.lastUsedAt > clientIdleTimeoutS {
			p.requestClose(c, idleTimeout)
		}
		// Its reader waits for a permit and does not see the end.
		if len(c.pipeline)+len(c.unwritten) >= maxPipelined && closedByPeer(c.raw) {
			p.abandonClient(c, peerClosed, nil)
		}
	}
	s.enforceLimit(p) // nobody new may come to it who would have others make room
}

// trim has idle connections go while more are open than may be.
func (s *clientSet) enforceLimit(p *Proxy) {
	if s.staying() > s.limit {
		s.makeRoom(p, nil)
	}
}

// closeIdle closes each connection that waits for no answer.
func (s *clientSet) closeIdle(p *Proxy) {
	for c := range s.all {
		if c.idle() {
			p.requestClose(c, draining)
		}
	}
}

// endIdle closes a connection between requests. Its reader may be in the middle of a command, and what it
// posted may lie in the queue: the connection ends when it stands still and nothing of the kind was left.
func (p *Proxy) requestClose(c *clientConn, why closeReason) {
	switch {
	case c.closed || c.closeRequested:
	case c.lastReplyQueued: // what still comes is dropped
		p.closeClient(c, why, nil)
	default:
		c.closeRequested, c.usedSinceRequest, c.closeReason = true, false, why
		p.clients.closing++
		c.pauseRequested.Store(true)
		c.conn.SetReadDeadline(pastDeadline)
	}
}

// past is a deadline that is over.
var pastDeadline = time.Unix(1, 0)

// paused takes the word of a reader that it stands still. All that it read before has been handled.
func (p *Proxy) readerPaused(c *clientConn) {
	if c.closed {
		return
	}
	if (p.leaving || !c.usedSinceRequest) && c.idle() && c.buffer.Len() == 0 && noDataPending(c.raw) {
		p.closeGracefully(c)
		return
	}
	c.closeRequested = false
	p.clients.closing--
	c.pauseRequested.Store(false)
	c.resume <- struct{}{}
	p.clients.enforceLimit(p) // another one has to go in its place
}

// closeGracefully ends a connection on which nothing is owed. Bytes may come in this very moment: a close over them
// would reset the connection, and with it destroy answers that the client has not received yet. So where one was
// written of late only the sending side is shut down, and what still comes is read and dropped until the client
// closes too; it sends what it had asked meanwhile once more.
func (p *Proxy) closeGracefully(c *clientConn) {
	if p.now-c.lastUsedAt > replyInFlightS {
		p.closeClient(c, c.closeReason, nil)
		return
	}
	p.shutDownSending(c)
	c.discardInput.Store(true)
	c.resume <- struct{}{}
}

// shutDown ends the sending side of a connection.
func (p *Proxy) shutDownSending(c *clientConn) {
	c.sendingShutDown = true
	c.conn.CloseWrite()
}

// dropInput reads and drops what still comes, for a while. It returns whether the client has closed its side.
func (c *clientConn) drainInput(timeout time.Duration) (closed bool) {
	c.buffer.Free()
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(c.conn, maxLingerBytes))
	return n < maxLingerBytes && !errors.Is(err, os.ErrDeadlineExceeded)
}

// rank orders the connections that may be closed for others: first those that were told their last
// answer, then those that have said nothing, then those that idle, then those whose first word has come but
// was not heard yet: they could not be closed, and others would have to wait for that. Those that have taken
// nothing of their answers for long come last.
func (c *clientConn) evictionRank() int {
	switch {
	case c.writing:
		return 4
	case c.lastReplyQueued:
		return 0
	case c.hasSpoken:
		return 2
	case c.hasReceived.Load() || !noDataPending(c.raw):
		return 3
	}
	return 1
}

// full tells that more connections are open, the newcomer aside, than may be served, after those of the
// lowest rank, and of them those unused for longest, were closed to make room.
func (s *clientSet) makeRoom(p *Proxy, newcomer *clientConn) bool {
	for {
		others, lowest := 0, 0
		var first *clientConn
		for c := range s.all {
			if c == newcomer || c.closeRequested { // as good as gone
				continue
			}
			if others++; !c.idle() && !c.stalled(p.now) {
				continue
			}
			if rank := c.evictionRank(); first == nil || rank < lowest || rank == lowest && c.lastUsedAt < first.lastUsedAt {
				first, lowest = c, rank
			}
		}
		switch {
		case others < s.limit:
			return false
		case first == nil:
			return true
		}
		if first.writing {
			p.abandonClient(first, evicted, nil)
		} else {
			p.requestClose(first, evicted)
		}
	}
}

// accept takes connections until the loop gives the listener a deadline, and then those that have come
// before it closes the listener: they count as taken too.
func (p *Proxy) acceptClients(l *net.TCPListener) {
	defer func() {
		l.Close()
		p.post(p.clock.now(), func() { p.accepted = true })
	}()
	number := uint64(0)
	calm := 0 // waits for a connection that none came in, after the deadline
	parser := command.NewParser(p.cfg.Settings.Settings)
	for {
		select {
		case p.clients.places <- struct{}{}:
		case <-p.done:
			return
		}
		from := time.Now()
		conn, err := p.calls.accept(l)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			// It may have come back without a look, as the deadline was over by then: a wait of its own tells.
			if calm++; time.Since(from) < listenerQuietPeriod/2 {
				calm = 0
			}
			if calm > 1 {
				return
			}
			<-p.clients.places
			l.SetDeadline(time.Now().Add(listenerQuietPeriod))
			continue
		}
		var raw syscall.RawConn
		if err == nil {
			if raw, err = conn.SyscallConn(); err != nil {
				conn.Close()
			}
		}
		at := p.clock.now()
		if err != nil {
			<-p.clients.places
			p.post(at, func() {
				p.warn("accept failed", "error", err)
				p.freeDescriptorsAfter(err)
			})
			p.calls.wait(scarceRetry) // out of descriptors: others must end first
			continue
		}
		number++
		c := &clientConn{
			number: number, conn: steadyConn{conn, p.calls.wait}, raw: raw, permits: make(chan struct{}, maxPipelined), done: make(chan struct{}),
			resume: make(chan struct{}, 1), buffer: readbuf.NewBuffer(p.inputBudget), arrivals: arrivalTracker{lastEmptyAt: p.loopLag.onScheduleUntil(at)},
		}
		p.post(at, func() { p.addClient(c) })
		go c.read(p, parser)
	}
}

func (p *Proxy) addClient(c *clientConn) {
	c.overLimit = p.clients.makeRoom(p, c)
	if c.overLimit && p.clients.staying() >= p.clients.limit+p.clients.overLimitAllowance {
		p.warn("client turned away: too many connections", "open", p.clients.open())
		p.closeClient(c, tooManyConnections, nil)
		return
	}
	c.openedAt, c.lastUsedAt = p.now, p.now
	p.clients.all[c] = struct{}{}
	if p.leaving { // it came before the listener closed, and so does what it asks
		p.after(lateClientGrace.Seconds(), func() { p.requestClose(c, draining) })
	}
}

// read parses what the client sends, and posts each command with the time of its last byte. Its
// deadline runs while a command is unfinished, and until there was one at all.
func (c *clientConn) read(p *Proxy, parser *command.Parser) {
	defer c.buffer.Free()
	timed := true
	until := time.Now().Add(p.clients.commandTimeout)
	limit := func(at time.Time) {
		until = at
		if c.conn.SetReadDeadline(at); c.pauseRequested.Load() {
			c.conn.SetReadDeadline(pastDeadline)
		}
	}
	limit(until)
	for {
		room := c.buffer.Space()
		if room == nil {
			c.rejectInput(p, p.clock.now(), readbuf.ErrExhausted)
			return
		}
		began := p.clock.now()
		n, err := c.conn.Read(room)
		at := p.clock.now()
		var came arrival
		if n > 0 {
			c.hasReceived.Store(true)
			came = c.arrivals.estimate(c.raw, &p.loopLag, began, at, n == len(room))
		}
		c.buffer.Grow(n)
		used, ok := c.handleCommands(p, at, came, parser)
		if !ok {
			return
		}
		unfinished := used < c.buffer.Len()
		c.buffer.Discard(used)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && c.pauseRequested.Load():
			p.post(at, func() { p.readerPaused(c) })
			select {
			case <-c.resume:
				if c.discardInput.Load() {
					c.drainInput(shutdownTimeout)
					p.post(p.clock.now(), func() { p.closeClient(c, c.closeReason, nil) })
					return
				}
				limit(until)
			case <-c.done:
				return
			}
		case errors.Is(err, os.ErrDeadlineExceeded) && timed && time.Now().Before(until):
			limit(until) // left over from a pause that has ended
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.rejectInput(p, at, errors.New("no whole command in time"))
			return
		case err != nil:
			p.post(at, func() { p.abandonClient(c, peerClosed, err) })
			return
		case unfinished && (used > 0 || !timed):
			timed = true
			limit(time.Now().Add(p.clients.commandTimeout))
		case !unfinished && timed:
			timed = false
			limit(time.Time{})
		}
	}
}

// commands posts the whole commands that have come and returns their length, or false when the
// connection has ended or is about to.
func (c *clientConn) handleCommands(p *Proxy, at float64, came arrival, parser *command.Parser) (used int, ok bool) {
	var space [8][]byte
	c.arrivals.record(c.buffer.Len(), came)
	defer func() { c.arrivals.discard(used) }()
	for used < c.buffer.Len() {
		args, size, bad := resp.ParseCommand(c.buffer.Bytes()[used:], space[:0])
		if bad != nil {
			c.rejectInput(p, at, resp.SyntaxError{Cause: bad})
			return 0, false
		}
		if size == 0 {
			break
		}
		if !c.acquirePermit(p) {
			return 0, false
		}
		if bad := c.handleCommand(p, at, c.arrivals.ofCommandEndingAt(used+size), parser, args); bad != nil {
			if c.badCommands++; c.badCommands == maxBadCommands {
				<-c.permits // the last answer takes none
				c.rejectInput(p, at, bad)
				return 0, false
			}
			answer := errorReply(bad)
			p.post(at, func() { p.replyAtOnce(c, answer, false) })
		}
		used += size
	}
	return used, true
}

func errorReply(bad error) []byte { return redcon.AppendError(nil, "ERR "+bad.Error()) }

// refuse answers what can't be taken and ends the connection. What still comes is read for a while:
// closing on unread bytes would reset the connection and might take the answer with it.
func (c *clientConn) rejectInput(p *Proxy, at float64, bad error) {
	answer := errorReply(bad)
	p.post(at, func() { p.replyAtOnce(c, answer, true) })
	gone := c.drainInput(lingerTimeout)
	p.post(p.clock.now(), func() {
		if c.lingerDone = true; gone || c.idle() {
			p.abandonClient(c, protocolError, bad)
		} // else once the answers before the last one are written
	})
}

// command posts one whole command, which was read and had come at given times, or returns what is wrong with it,
// worded for the client.
func (c *clientConn) handleCommand(p *Proxy, at, came float64, parser *command.Parser, args [][]byte) error {
	switch {
	case len(args) == 0:
		return errors.New("empty command")
	case command.IsRequest(args[0]):
		request, err := parser.Parse(args)
		if err != nil {
			return err
		}
		if !p.inputBudget.Reserve(request.Size) {
			p.post(at, func() {
				p.refuseAtOnce(c, request, inputUsedUp)
			})
			return nil
		}
		request.CopyArgs()
		p.post(at, func() { p.take(c, request, came) })
	case bytes.EqualFold(args[0], []byte("PING")):
		p.post(at, func() { p.ping(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}

// answerAtOnce answers a command that never reaches the module.
func (p *Proxy) replyAtOnce(c *clientConn, answer []byte, last bool) {
	if c.closed || c.sendingShutDown {
		return
	}
	c.hasSpoken = true
	c.pipeline = append(c.pipeline, &pipelineSlot{reply: answer, last: last})
	p.flushReplies(c)
}

// clientGone takes a client's hang-up: nothing is owed for what it had asked.
func (p *Proxy) abandonClient(c *clientConn, why closeReason, err error) {
	if c.closed {
		return
	}
	slots := c.pipeline
	p.closeClient(c, why, err)
	for _, s := range slots {
		if s.request != nil && !s.request.over {
			p.traceGone(s.request)
			p.end(s.request)
			p.decider.HandleClientGone(p.now, s.request.ID)
		}
	}
}

func (p *Proxy) closeClient(c *clientConn, why closeReason, err error) {
	if c.closed {
		return
	}
	c.closed = true
	p.logClientClosed(c, why, err)
	p.inputBudget.Release(c.reservedOutput)
	c.pipeline, c.pending, c.reservedOutput = nil, nil, 0
	if c.closeRequested {
		p.clients.closing--
	}
	close(c.done)
	c.conn.Close()
	delete(p.clients.all, c)
	<-p.clients.places
}
