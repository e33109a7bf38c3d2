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

	"reedlead/internal/netcalls"

	"reedlead/internal/resp"

	"github.com/tidwall/redcon"
)

const (
	maxPipelined    = 32              // commands of one connection that may be open
	commandTimeout  = 2 * time.Second // an answer is owed to what can't be read within 3 s
	maxClientErrors = 8               // bad commands of one connection; then it is closed
	lingerTimeout   = 2 * time.Second // how long a refused client's bytes are read and dropped
	maxLingerBytes  = 1 << 20         // and how many
	// How long a client may take to close its side of a connection that this side has shut down.
	shutdownTimeout = 500 * time.Millisecond
	// An answer that was written so many seconds ago has come, so that a reset of its connection can't destroy it.
	answerInFlightS    = 1.0
	clientIdleTimeoutS = 10.0 // seconds for which a connection may stand idle
	minClients         = 8
	lateClientGrace    = 100 * time.Millisecond // for a command on a connection that came last
	listenerQuiet      = 10 * time.Millisecond  // without a new connection, after which the listener closes
	acceptSlack        = 8                      // connections accepted that the loop has not come to
	// For the listener, discovery with the questions open beside each other, peers, the configuration file, the
	// slack and the runtime; and a share for what is being closed.
	reservedFDs   = 32
	reservedShare = 1.0 / 32
)

// usableFDs is how many descriptors connections may take: the rest is kept for all that must never wait for one.
func usableFDs(sockets int) int { return sockets - reservedFDs - int(float64(sockets)*reservedShare) }

// slot is the place of one answer in its connection's order.
type slot struct {
	req    *request // nil where the answer was known at once
	answer []byte   // nil until it is final
	last   bool     // the connection ends with it
}

// client is one client's connection.
type client struct {
	number  uint64 // of the connection, counted by the listener
	conn    netcalls.Conn
	raw     syscall.RawConn
	permits chan struct{} // bounds the open commands; taken by the reader
	quit    chan struct{} // closed with the connection
	pausing atomic.Bool   // the loop wants the reader to stand still between commands
	began   atomic.Bool   // something has been read
	discard atomic.Bool   // the reader is to drop what still comes

	progressAt atomicTime // when a write that the socket had no room for last went on

	resume chan struct{} // and to go on

	// Its reader's.
	buf      buffer
	arrivals arrivals
	errors   int

	// Loop only.
	slots    []*slot        // no more than permits, and one
	pending  []byte         // what the socket has not taken yet
	unsent   []unsentAnswer // the answers of which that holds the end, oldest first
	held     int            // of the budget, for what is pending or being written
	writing  bool           // a goroutine writes what was pending
	openedAt float64
	usedAt   float64
	closing  closeReason // why its reader is to stand still
	spoke    bool        // a whole command has come
	ending   bool        // the last answer is written, what still comes is read and dropped
	lingered bool        // for long enough
	shut     bool        // its sending side is shut down: nothing more is answered, what comes is dropped
	surplus  bool        // beyond the bound: what it asks is refused while that holds
	asked    bool        // its reader is to stand still, so that the connection can be closed
	used     bool        // since then
	closed   bool
}

// idle tells that the client waits for nothing. What its reader has not come to yet counts.
func (c *client) idle() bool {
	return len(c.slots) == 0 && len(c.pending) == 0 && !c.writing
}

// clientSet bounds the connections of clients.
type clientSet struct {
	all        map[*client]struct{}
	limit      int           // of open connections
	configured int           // what limit is as long as descriptors last
	surplus    int           // so many more are taken, to be refused in words
	going      int           // connections that were asked to stand still, to be closed
	room       chan struct{} // a place for each connection, taken before it is accepted

	stallTimeout   time.Duration // see there
	commandTimeout time.Duration // how long one may take for its first command, and for a whole one
}

func (s *clientSet) init(sockets int) {
	s.all = map[*client]struct{}{}
	s.limit = max(minClients, usableFDs(sockets)/2)
	s.configured = s.limit
	s.surplus = max(2, usableFDs(sockets)/8)
	s.commandTimeout = commandTimeout
	s.stallTimeout = stallTimeout
	s.room = make(chan struct{}, s.limit+s.surplus+acceptSlack)
}

func (s *clientSet) open() int { return len(s.all) }

// staying counts those that are not about to be closed.
func (s *clientSet) staying() int { return len(s.all) - s.going }

// sweep closes what has idled for long, so that clients that keep a connection for good hold none of
// the memory either. What has never spoken is its reader's to answer.
func (s *clientSet) sweep(p *Proxy) {
	for c := range s.all {
		if c.spoke && c.idle() && p.now-c.usedAt > clientIdleTimeoutS {
			p.endIdle(c, idleTimeout)
		}
		// Its reader waits for a permit and does not see the end.
		if len(c.slots)+len(c.unsent) >= maxPipelined && closedByPeer(c.raw) {
			p.clientGone(c, peerClosed, nil)
		}
	}
	s.trim(p) // nobody new may come to it who would have others make room
}

// trim has idle connections go while more are open than may be.
func (s *clientSet) trim(p *Proxy) {
	if s.staying() > s.limit {
		s.full(p, nil)
	}
}

// closeIdle closes each connection that waits for no answer.
func (s *clientSet) closeIdle(p *Proxy) {
	for c := range s.all {
		if c.idle() {
			p.endIdle(c, draining)
		}
	}
}

// endIdle closes a connection between requests. Its reader may be in the middle of a command, and what it
// posted may lie in the queue: the connection ends when it stands still and nothing of the kind was left.
func (p *Proxy) endIdle(c *client, why closeReason) {
	switch {
	case c.closed || c.asked:
	case c.ending: // what still comes is dropped
		p.closeClient(c, why, nil)
	default:
		c.asked, c.used, c.closing = true, false, why
		p.clients.going++
		c.pausing.Store(true)
		c.conn.SetReadDeadline(past)
	}
}

// past is a deadline that is over.
var past = time.Unix(1, 0)

// paused takes the word of a reader that it stands still. All that it read before has been handled.
func (p *Proxy) paused(c *client) {
	if c.closed {
		return
	}
	if (p.leaving || !c.used) && c.idle() && len(c.buf.b) == 0 && silent(c.raw) {
		p.closeGracefully(c)
		return
	}
	c.asked = false
	p.clients.going--
	c.pausing.Store(false)
	c.resume <- struct{}{}
	p.clients.trim(p) // another one has to go in its place
}

// closeGracefully ends a connection on which nothing is owed. Bytes may come in this very moment: a close over them
// would reset the connection, and with it destroy answers that the client has not received yet. So where one was
// written of late only the sending side is shut down, and what still comes is read and dropped until the client
// closes too; it sends what it had asked meanwhile once more.
func (p *Proxy) closeGracefully(c *client) {
	if p.now-c.usedAt > answerInFlightS {
		p.closeClient(c, c.closing, nil)
		return
	}
	p.shutDown(c)
	c.discard.Store(true)
	c.resume <- struct{}{}
}

// shutDown ends the sending side of a connection.
func (p *Proxy) shutDown(c *client) {
	c.shut = true
	c.conn.CloseWrite()
}

// dropInput reads and drops what still comes, for a while. It returns whether the client has closed its side.
func (c *client) dropInput(timeout time.Duration) (closed bool) {
	c.buf.free()
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(c.conn, maxLingerBytes))
	return n < maxLingerBytes && !errors.Is(err, os.ErrDeadlineExceeded)
}

// rank orders the connections that may be closed for others: first those that were told their last
// answer, then those that have said nothing, then those that idle, then those whose first word has come but
// was not heard yet: they could not be closed, and others would have to wait for that. Those that have taken
// nothing of their answers for long come last.
func (c *client) rank() int {
	switch {
	case c.writing:
		return 4
	case c.ending:
		return 0
	case c.spoke:
		return 2
	case c.began.Load() || !silent(c.raw):
		return 3
	}
	return 1
}

// full tells that more connections are open, the newcomer aside, than may be served, after those of the
// lowest rank, and of them those unused for longest, were closed to make room.
func (s *clientSet) full(p *Proxy, newcomer *client) bool {
	for {
		others, lowest := 0, 0
		var first *client
		for c := range s.all {
			if c == newcomer || c.asked { // as good as gone
				continue
			}
			if others++; !c.idle() && !c.stalled(p.now) {
				continue
			}
			if rank := c.rank(); first == nil || rank < lowest || rank == lowest && c.usedAt < first.usedAt {
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
			p.clientGone(first, evicted, nil)
		} else {
			p.endIdle(first, evicted)
		}
	}
}

// accept takes connections until the loop gives the listener a deadline, and then those that have come
// before it closes the listener: they count as taken too.
func (p *Proxy) accept(l *net.TCPListener) {
	defer func() {
		l.Close()
		p.post(p.clock.now(), func() { p.accepted = true })
	}()
	number := uint64(0)
	calm := 0 // waits for a connection that none came in, after the deadline
	words := newVocabulary(p.cfg.Settings.Settings)
	for {
		select {
		case p.clients.room <- struct{}{}:
		case <-p.done:
			return
		}
		from := time.Now()
		conn, err := p.calls.Accept(l)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			// It may have come back without a look, as the deadline was over by then: a wait of its own tells.
			if calm++; time.Since(from) < listenerQuiet/2 {
				calm = 0
			}
			if calm > 1 {
				return
			}
			<-p.clients.room
			l.SetDeadline(time.Now().Add(listenerQuiet))
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
			<-p.clients.room
			p.post(at, func() {
				p.warn("accept failed", "error", err)
				p.makeRoomFor(err)
			})
			p.calls.Sleep(netcalls.RetryInterval) // out of descriptors: others must end first
			continue
		}
		number++
		c := &client{
			number: number, conn: netcalls.RetryingConn{Conn: conn, Sleep: p.calls.Sleep}, raw: raw, permits: make(chan struct{}, maxPipelined), quit: make(chan struct{}),
			resume: make(chan struct{}, 1), buf: buffer{budget: &p.input}, arrivals: arrivals{emptyAt: p.pace.keptUpUntil(at)},
		}
		p.post(at, func() { p.addClient(c) })
		go c.read(p, words)
	}
}

func (p *Proxy) addClient(c *client) {
	c.surplus = p.clients.full(p, c)
	if c.surplus && p.clients.staying() >= p.clients.limit+p.clients.surplus {
		p.warn("client turned away: too many connections", "open", p.clients.open())
		p.closeClient(c, tooManyConnections, nil)
		return
	}
	c.openedAt, c.usedAt = p.now, p.now
	p.clients.all[c] = struct{}{}
	if p.leaving { // it came before the listener closed, and so does what it asks
		p.after(lateClientGrace.Seconds(), func() { p.endIdle(c, draining) })
	}
}

// read parses what the client sends, and posts each command with the time of its last byte. Its
// deadline runs while a command is unfinished, and until there was one at all.
func (c *client) read(p *Proxy, words *vocabulary) {
	defer c.buf.free()
	timed := true
	until := time.Now().Add(p.clients.commandTimeout)
	limit := func(at time.Time) {
		until = at
		if c.conn.SetReadDeadline(at); c.pausing.Load() {
			c.conn.SetReadDeadline(past)
		}
	}
	limit(until)
	for {
		room := c.buf.room()
		if room == nil {
			c.refuse(p, p.clock.now(), errNoRoom)
			return
		}
		began := p.clock.now()
		n, err := c.conn.Read(room)
		at := p.clock.now()
		var came arrival
		if n > 0 {
			c.began.Store(true)
			came = c.arrivals.took(c.raw, &p.pace, began, at, n == len(room))
		}
		c.buf.grew(n)
		used, ok := c.commands(p, at, came, words)
		if !ok {
			return
		}
		unfinished := used < len(c.buf.b)
		c.buf.drop(used)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && c.pausing.Load():
			p.post(at, func() { p.paused(c) })
			select {
			case <-c.resume:
				if c.discard.Load() {
					c.dropInput(shutdownTimeout)
					p.post(p.clock.now(), func() { p.closeClient(c, c.closing, nil) })
					return
				}
				limit(until)
			case <-c.quit:
				return
			}
		case errors.Is(err, os.ErrDeadlineExceeded) && timed && time.Now().Before(until):
			limit(until) // left over from a pause that has ended
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(p, at, errors.New("no whole command in time"))
			return
		case err != nil:
			p.post(at, func() { p.clientGone(c, peerClosed, err) })
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
func (c *client) commands(p *Proxy, at float64, came arrival, words *vocabulary) (used int, ok bool) {
	var space [8][]byte
	c.arrivals.mark(len(c.buf.b), came)
	defer func() { c.arrivals.drop(used) }()
	for used < len(c.buf.b) {
		args, size, bad := resp.ParseCommand(c.buf.b[used:], space[:0])
		if bad != nil {
			c.refuse(p, at, resp.SyntaxError{Cause: bad})
			return 0, false
		}
		if size == 0 {
			break
		}
		if !c.takePermit(p) {
			return 0, false
		}
		if bad := c.command(p, at, c.arrivals.of(used+size), words, args); bad != nil {
			if c.errors++; c.errors == maxClientErrors {
				<-c.permits // the last answer takes none
				c.refuse(p, at, bad)
				return 0, false
			}
			answer := errorOf(bad)
			p.post(at, func() { p.answerAtOnce(c, answer, false) })
		}
		used += size
	}
	return used, true
}

func errorOf(bad error) []byte { return redcon.AppendError(nil, "ERR "+bad.Error()) }

// refuse answers what can't be taken and ends the connection. What still comes is read for a while:
// closing on unread bytes would reset the connection and might take the answer with it.
func (c *client) refuse(p *Proxy, at float64, bad error) {
	answer := errorOf(bad)
	p.post(at, func() { p.answerAtOnce(c, answer, true) })
	gone := c.dropInput(lingerTimeout)
	p.post(p.clock.now(), func() {
		if c.lingered = true; gone || c.idle() {
			p.clientGone(c, protocolError, bad)
		} // else once the answers before the last one are written
	})
}

// command posts one whole command, which was read and had come at given times, or returns what is wrong with it,
// worded for the client.
func (c *client) command(p *Proxy, at, came float64, words *vocabulary, args [][]byte) error {
	switch {
	case len(args) == 0:
		return errors.New("empty command")
	case bytes.EqualFold(args[0], []byte("CALL.GET")), bytes.EqualFold(args[0], []byte("CALL.POST")):
		call, err := words.parseCall(args)
		if err != nil {
			return err
		}
		if !p.input.take(call.size) {
			p.post(at, func() {
				p.refuseAtOnce(c, call, inputUsedUp)
			})
			return nil
		}
		call.keep()
		p.post(at, func() { p.take(c, call, came) })
	case bytes.EqualFold(args[0], []byte("PING")):
		p.post(at, func() { p.ping(c) })
	default:
		return fmt.Errorf("unknown command %.40q", args[0])
	}
	return nil
}

// answerAtOnce answers a command that never reaches the module.
func (p *Proxy) answerAtOnce(c *client, answer []byte, last bool) {
	if c.closed || c.shut {
		return
	}
	c.spoke = true
	c.slots = append(c.slots, &slot{answer: answer, last: last})
	p.flush(c)
}

// clientGone takes a client's hang-up: nothing is owed for what it had asked.
func (p *Proxy) clientGone(c *client, why closeReason, err error) {
	if c.closed {
		return
	}
	slots := c.slots
	p.closeClient(c, why, err)
	for _, s := range slots {
		if s.req != nil && !s.req.over {
			p.traceGone(s.req)
			p.end(s.req)
			p.decider.HandleClientGone(p.now, s.req.ID)
		}
	}
}

func (p *Proxy) closeClient(c *client, why closeReason, err error) {
	if c.closed {
		return
	}
	c.closed = true
	p.logClientClosed(c, why, err)
	p.input.give(c.held)
	c.slots, c.pending, c.held = nil, nil, 0
	if c.asked {
		p.clients.going--
	}
	close(c.quit)
	c.conn.Close()
	delete(p.clients.all, c)
	<-p.clients.room
}
