package proxy

import (
	"bytes"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"

	"reedlead/internal/discovery"
	"reedlead/internal/readbuf"
	"reedlead/internal/reply"
	"reedlead/internal/resp"
	"reedlead/policy"
)

const (
	// A backend closes what idles for connIdleS; a request written after that ends as a reset, so
	// connections are retired at this share of it.
	idleShare = 0.5
	// A second copy of an answer comes right behind it. What has rested for so long is taken first, so
	// that the copy is seen before the next command goes out.
	connectionRestS = 0.005
	// A copy of an answer comes right behind it, or some milliseconds later: on a connection whose command
	// was written within this of an answer, the same bytes once more are taken for that one's copy. Values of
	// requests differ, as do the load reports beside them; equal errors may be two answers, and then one is
	// given up needlessly, with its connection.
	duplicateWindowS = 0.1
	// What the socket of a backend does not take at once must be written so soon, or is cut off: the command tells
	// how much time its client had left as it was begun, and may tell 0.15 s too much.
	writeSlack = 0.1
	// A command over so many bytes tells less than the client has left, as it may take longer to write: by so great
	// a share, and so many seconds at most.
	longCommand  = 16 << 10
	reserveShare = 0.25
	maxReserveS  = 0.5
	// How long a dial that fails for something on this side is tried again.
	maxLocalFaultRetry = 250 * time.Millisecond
)

// maxLoggedBytes is how much the log holds of a reply that could not be used.
const maxLoggedBytes = 40

var (
	errDuplicateReply = errors.New("duplicate of an earlier reply")
	errOtherReply     = errors.New("reply to another kind of command")
)

// backend is a backend of the list and its connections.
type endpoint struct {
	discovery.Endpoint
	state   policy.EndpointState
	idle    []*backendConn // least idle last
	waiting []*attempt     // for a dial, oldest first
	dials   int            // under way
}

// backendSet holds the backends by id, those of the list alone. Loop only.
type endpointSet struct {
	byID             map[string]*endpoint
	openConns        int // connections, dials among them
	limit            int
	idleTimeoutS     float64
	duplicateWindowS float64 // see there; never changes

	writeSlack      float64       // see there; never changes
	localFaultRetry time.Duration // how long a dial that fails for something on this side is tried again
	dial            func(addr string) (net.Conn, error)
	afterWrite      func(*backendConn) // between the last byte of a command that took long and the note of it
}

func (s *endpointSet) init(cfg config.Config, calls *netcalls.Calls) {
	s.byID = map[string]*endpoint{}
	s.afterWrite = func(*backendConn) {}
	s.limit = max(8, usableDescriptors(cfg.Sockets)*3/8)
	s.duplicateWindowS = duplicateWindowS
	s.writeSlack = writeSlack
	s.idleTimeoutS = cfg.Settings.ConnectionIdleTimeout * idleShare
	timeout := cfg.Settings.DialTimeout
	s.dial = func(addr string) (net.Conn, error) { return calls.Dial(addr, timeout) }
	s.localFaultRetry = min(timeout, maxLocalFaultRetry)
}

// ready tells whether a request could be sent anywhere.
func (s *endpointSet) hasInService() bool {
	for _, be := range s.byID {
		if be.state == policy.InService {
			return true
		}
	}
	return false
}

// apply takes in a list or a change of it. A send that waits for a dial to a backend that may get
// nothing new is given back to the module at once.
func (s *endpointSet) apply(p *Proxy, list discovery.List) {
	listed := map[string]bool{}
	for _, e := range list.Endpoints {
		listed[e.ID] = true
		be := s.byID[e.ID]
		if be == nil {
			be = &endpoint{}
			s.byID[e.ID] = be
		}
		moved := be.Addr != e.Addr || be.StartedMS != e.StartedMS
		be.Endpoint = e
		be.state, _ = e.State.Policy()
		if moved || be.state != policy.InService {
			s.retire(p, be)
		}
	}
	for id, be := range s.byID {
		if list.Full && !listed[id] {
			be.state = policy.Removed
			s.retire(p, be)
		}
		if be.state == policy.Removed {
			delete(s.byID, id) // its attempts keep it until they end
		}
	}
}

// retire closes a backend's idle connections and, unless it is up, ends what waits for a dial.
func (s *endpointSet) retire(p *Proxy, be *endpoint) {
	for len(be.idle) > 0 {
		p.closeBackendConn(be.idle[len(be.idle)-1], backendRetired, nil)
	}
	if be.state == policy.InService {
		return
	}
	for len(be.waiting) > 0 {
		p.finishDeferred(be.waiting[0], policy.NotSent)
	}
}

// sweep retires what has idled for long.
func (s *endpointSet) sweep(p *Proxy) {
	for _, be := range s.byID {
		for len(be.idle) > 0 && p.now-be.idle[0].idleSince > s.idleTimeoutS {
			p.closeBackendConn(be.idle[0], idleTimeout, nil)
		}
	}
}

// evictIdle closes the idle connection that was used longest ago.
func (p *Proxy) evictIdle() bool {
	var oldest *backendConn
	for _, be := range p.endpoints.byID {
		if len(be.idle) > 0 && (oldest == nil || be.idle[0].idleSince < oldest.idleSince) {
			oldest = be.idle[0]
		}
	}
	if oldest != nil {
		p.closeBackendConn(oldest, evicted, nil)
	}
	return oldest != nil
}

// backConn is a connection to a backend. It carries one attempt at a time.
type backendConn struct {
	endpoint       *endpoint
	dialedAs       discovery.Endpoint // as the backend stood when it was dialled
	conn           netcalls.Conn
	raw            syscall.RawConn
	awaitingReply  atomic.Bool // a reply is expected
	unusable       atomic.Bool // not to be used again
	commandWritten atomic.Bool // the whole of the attempt's command
	writeStartedAt atomicTime  // when the writing of its command did
	writeMu        sync.Mutex  // held while a write that the loop does not wait for goes on

	writeErr error // what that write met; guarded by writing

	// Loop only.
	attempt   *attempt
	idleSince float64
	closed    bool
}

// takeIdle takes a connection out of the pool, nil if there is none of use: the one used last of those
// that have rested, else the one that has rested longest. One on which bytes wait that nobody asked for,
// or that has ended, though its reader has not come to it yet, must not get a command.
func (p *Proxy) acquireIdle(be *endpoint) *backendConn {
	for len(be.idle) > 0 {
		i := len(be.idle) - 1
		for i > 0 && p.now-be.idle[i].idleSince < connectionRestS {
			i--
		}
		c := be.idle[i]
		if c.unusable.Load() || p.now-c.idleSince > p.endpoints.idleTimeoutS || !netcalls.NoDataPending(c.raw) {
			p.closeBackendConn(c, notUsable, nil)
			continue
		}
		be.idle = slices.Delete(be.idle, i, i+1)
		return c
	}
	return nil
}

// dialFor has the attempt wait for a new connection; false if there may be no more of them.
func (p *Proxy) awaitDial(a *attempt) bool {
	if p.endpoints.openConns >= p.endpoints.limit && !p.evictIdle() {
		return false
	}
	a.endpoint.waiting = append(a.endpoint.waiting, a)
	a.endpoint.dials++
	p.endpoints.openConns++
	go p.dial(a.endpoint, a.endpoint.Endpoint)
	return true
}

// dial makes one connection. Its goroutine ends with the dial's time-out at the latest.
func (p *Proxy) dial(be *endpoint, at discovery.Endpoint) {
	from := p.clock.now()
	conn, err := p.endpoints.dial(at.Addr)
	for first := true; netcalls.IsLocalFault(err) && p.clock.now()-from < p.endpoints.localFaultRetry.Seconds(); first = false {
		if failed := err; first {
			p.post(p.clock.now(), func() { p.freeDescriptorsAfter(failed) })
		}
		p.calls.Sleep(netcalls.RetryInterval)
		conn, err = p.endpoints.dial(at.Addr)
	}
	var c *backendConn
	if err == nil {
		c = &backendConn{endpoint: be, dialedAs: at, conn: netcalls.RetryingConn{Conn: conn.(netcalls.Conn), Sleep: p.calls.Sleep}}
		if c.raw, err = c.conn.SyscallConn(); err != nil {
			conn.Close()
			c = nil
		}
	}
	p.post(p.clock.now(), func() { p.dialed(be, c, err) })
}

// dialed gives a new connection to the attempt that has waited longest, or takes its failure.
func (p *Proxy) dialed(be *endpoint, c *backendConn, err error) {
	be.dials--
	failed := policy.ConnectFailed
	if c == nil {
		p.endpoints.openConns--
		p.warn("dial failed", "backend", be.ID, "error", err)
		if p.freeDescriptorsAfter(err); netcalls.IsLocalFault(err) {
			failed = policy.NotSent // it tells nothing of the backend
		}
	} else {
		go c.read(p)
		if p.usable(c) {
			p.assign(c)
		} else {
			if !c.unusable.Load() || c.dialedAs.Addr != be.Addr {
				failed = policy.NotSent // the backend is another one by now: it tells nothing of that
			}
			p.closeBackendConn(c, notUsable, nil)
		}
	}
	for len(be.waiting) > be.dials {
		if c := p.acquireIdle(be); c != nil {
			p.assign(c)
			continue
		}
		p.finishAttempt(be.waiting[0], attemptResult{status: failed}, p.now)
	}
}

// usable tells that the connection may carry another command: its backend still stands where it was
// dialled, in the group for which the module chose it, and may be sent to.
func (p *Proxy) usable(c *backendConn) bool {
	return !c.closed && !c.unusable.Load() && c.endpoint.state == policy.InService && c.dialedAs.Addr == c.endpoint.Addr &&
		c.dialedAs.StartedMS == c.endpoint.StartedMS && c.dialedAs.Zone == c.endpoint.Zone && c.dialedAs.Cell == c.endpoint.Cell
}

// give puts a connection to use for what waits, else into the pool.
func (p *Proxy) assign(c *backendConn) {
	be := c.endpoint
	for len(be.waiting) > 0 {
		a := be.waiting[0]
		be.waiting = be.waiting[1:]
		if p.unsendable(a) || a.request != nil && p.alreadySettled(a.request) {
			p.finishDeferred(a, policy.NotSent)
			continue
		}
		p.writeCommand(c, a)
		return
	}
	p.release(c)
}

// release puts a connection into the pool. It does not go to what waits: that has a dial under way,
// and a second copy of the answer may be right behind.
func (p *Proxy) release(c *backendConn) {
	c.attempt = nil
	if !p.usable(c) {
		p.closeBackendConn(c, notUsable, nil)
		return
	}
	c.idleSince = p.now
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// write sends the command: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection. The last byte of an attempt goes out in its time or never: the loop's time is
// that of what it handles, and may be well behind the clock; a dial and a backend that reads slowly take
// time as well.
func (p *Proxy) writeCommand(c *backendConn, a *attempt) {
	from := p.clock.now()
	if from >= min(a.writeDeadline, a.expiresAt) {
		p.release(c)
		p.finishDeferred(a, policy.NotSent)
		return
	}
	var reserve float64
	p.commandBuffer, reserve = p.appendCommand(p.commandBuffer[:0], a, from)
	b := p.commandBuffer
	if cap(p.commandBuffer) > 4*readbuf.Size {
		p.commandBuffer = nil
	}
	a.conn, c.attempt = c, a
	c.commandWritten.Store(false)
	c.awaitingReply.Store(true)
	c.writeStartedAt.store(from)
	n, err := p.calls.WriteNow(c.raw, b)
	switch {
	case err != nil:
		p.closeBackendConn(c, writeFailed, err)
		p.finishDeferred(a, policy.ConnectFailed)
	case n == len(b):
		c.commandWritten.Store(true)
		p.traceSent(a, c.dialedAs, from, p.clock.now())
	default:
		rest := bytes.Clone(b[n:])
		c.writeMu.Lock() // only its own reader takes it besides, for a moment at its end
		c.conn.SetWriteDeadline(p.clock.at(min(a.writeDeadline, a.expiresAt, from+reserve+p.endpoints.writeSlack)))
		go func() {
			defer c.writeMu.Unlock()
			_, err := c.conn.Write(rest)
			p.endpoints.afterWrite(c)
			if err == nil {
				c.conn.SetWriteDeadline(time.Time{}) // first of all: once it is written, it may be used again
				c.commandWritten.Store(true)
				p.traceSent(a, c.dialedAs, from, p.clock.now())
			} else {
				c.writeErr = err
				c.conn.Close() // its reader reports it
			}
		}()
	}
}

// cutOff tells that the command on the connection was never wholly written, and closes it then. While the
// rest is being written nobody knows: it is closed first, and the writer asked, who ends with it.
func (p *Proxy) abortWrite(c *backendConn) bool {
	if c.commandWritten.Load() {
		return false
	}
	p.closeBackendConn(c, attemptGivenUp, nil)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return !c.commandWritten.Load()
}

func (p *Proxy) closeBackendConn(c *backendConn, why closeReason, err error) {
	if c.closed {
		return
	}
	c.closed = true
	p.logBackendClosed(c, why, err)
	c.unusable.Store(true)
	c.conn.Close()
	p.endpoints.openConns--
	c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(i *backendConn) bool { return i == c })
}

// read takes the replies of one connection and notices its end, also while it idles.
func (c *backendConn) read(p *Proxy) {
	buffer := readbuf.NewBuffer(p.inputBudget)
	defer buffer.Free()
	var history reply.History
	var ended error // what the last read met
	for {
		room := buffer.Space()
		if room == nil {
			c.rejectReply(p, p.clock.now(), nil, readbuf.ErrExhausted)
			break
		}
		n, err := c.conn.Read(room)
		ended = err
		at := p.clock.now()
		if n > 0 && !c.awaitingReply.Load() {
			p.post(at, func() { p.warn("bytes that nobody asked for", "backend", c.endpoint.ID, "bytes", n) })
			break // what follows can't be told apart
		}
		buffer.Grow(n)
		size, bad := resp.Frame(buffer.Bytes())
		if bad == nil && size == 0 && buffer.Len() > resp.MaxFrame {
			bad = resp.ErrOversized
		}
		if bad != nil {
			c.rejectReply(p, at, buffer.Bytes(), bad)
			break
		}
		if size > 0 {
			received, err := reply.Parse(buffer.Bytes()[:size])
			if err != nil {
				c.rejectReply(p, at, buffer.Bytes(), err)
				break
			}
			// A duplicate whose bytes were on their way when the next command was written is known by this.
			if history.IsDuplicate(buffer.Bytes()[:size], received.Status, c.writeStartedAt.load()-p.endpoints.duplicateWindowS) {
				c.rejectReply(p, at, buffer.Bytes(), errDuplicateReply)
				break
			}
			history.Add(buffer.Bytes()[:size], received.Status, at)
			stray := buffer.Len() > size
			buffer.Discard(buffer.Len())
			if stray {
				c.unusable.Store(true)
			}
			c.awaitingReply.Store(false)
			p.post(at, func() { p.replyReceived(c, received, at) })
			if stray {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.unusable.Store(true)
	c.conn.Close()
	c.writeMu.Lock() // whether the command was wholly written decides what its end means
	if c.writeErr != nil {
		ended = c.writeErr
	}
	c.writeMu.Unlock()
	at := p.clock.now()
	p.post(at, func() { p.backendConnClosed(c, ended, at) })
}

// rejectReply ends the connection's attempt for what came in place of a reply. It runs on the reader's goroutine.
func (c *backendConn) rejectReply(p *Proxy, at float64, got []byte, err error) {
	c.unusable.Store(true)
	start := string(got[:min(len(got), maxLoggedBytes)])
	p.post(at, func() {
		p.warn("bad reply", "backend", c.endpoint.ID, "why", err, "bytes", start)
		p.endAttemptOn(c, malformedReply(err), at)
	})
}

// replyReceived ends the attempt that the connection carries with its reply.
func (p *Proxy) replyReceived(c *backendConn, received reply.Reply, at float64) {
	if c.closed || c.attempt == nil {
		return
	}
	res := attemptResult{status: received.Status, value: received.Value, load: received.Load}
	if isHealthCheck := c.attempt.request == nil; received.Status == policy.OK && received.HealthCheck != isHealthCheck {
		c.unusable.Store(true)
		p.warn("bad reply", "backend", c.endpoint.ID, "why", errOtherReply)
		res = malformedReply(errOtherReply)
	}
	p.endAttemptOn(c, res, at)
}

// endAttemptOn ends the attempt that the connection carries, and puts the connection into the pool if it may be used
// again.
func (p *Proxy) endAttemptOn(c *backendConn, res attemptResult, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if c.commandWritten.Load() && !c.unusable.Load() {
		a.conn = nil
		p.release(c)
	}
	p.finishAttempt(a, res, at)
}

// lost takes the end of a connection.
func (p *Proxy) backendConnClosed(c *backendConn, err error, at float64) {
	p.closeBackendConn(c, peerClosed, err)
	if a := c.attempt; a != nil && !a.done {
		status := policy.Reset
		if !c.commandWritten.Load() {
			status = policy.ConnectFailed
		}
		p.finishAttempt(a, attemptResult{status: status}, at)
	}
}
