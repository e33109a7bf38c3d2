package proxy

import (
	"bytes"
	"errors"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/internal/config"

	"reedlead/internal/discovery"

	"reedlead/internal/resp"
	"reedlead/policy"
)

const (
	// A backend closes what idles for connIdleS; a request written after that ends as a reset, so
	// connections are retired at this share of it.
	idleShare = 0.5
	// A second copy of an answer comes right behind it. What has rested for so long is taken first, so
	// that the copy is seen before the next command goes out.
	restS = 0.005
	// A copy of an answer comes right behind it, or some milliseconds later: on a connection whose command
	// was written within this of an answer, the same bytes once more are taken for that one's copy. Values of
	// requests differ, as do the load reports beside them; equal errors may be two answers, and then one is
	// given up needlessly, with its connection.
	copyS = 0.1
	// What the socket of a backend does not take at once must be written so soon, or is cut off: the command tells
	// how much time its client had left as it was begun, and may tell 0.15 s too much.
	writeSlack = 0.1
	// A command over so many bytes tells less than the client has left, as it may take longer to write: by so great
	// a share, and so many seconds at most.
	longCommand  = 16 << 10
	reserveShare = 0.25
	maxReserveS  = 0.5
	// How long a dial that fails for something on this side is tried again.
	maxOwnRetry = 250 * time.Millisecond
)

var (
	hashSeed = maphash.MakeSeed()
	errCopy  = errors.New("a copy of the answer before it")
)

// backend is a backend of the list and its connections.
type backend struct {
	discovery.Endpoint
	state   policy.EndpointState
	idle    []*backConn // least idle last
	waiting []*attempt  // for a dial, oldest first
	dials   int         // under way
}

// backendSet holds the backends by id, those of the list alone. Loop only.
type backendSet struct {
	byID  map[string]*backend
	open  int // connections, dials among them
	limit int
	idleS float64
	copyS float64 // see there; never changes

	writeSlack float64       // see there; never changes
	ownRetry   time.Duration // how long a dial that fails for something on this side is tried again
	dial       func(addr string) (net.Conn, error)
	wrote      func(*backConn) // between the last byte of a command that took long and the note of it
}

func (s *backendSet) init(cfg config.Config, calls *netcalls.Calls) {
	s.byID = map[string]*backend{}
	s.wrote = func(*backConn) {}
	s.limit = max(8, usableFDs(cfg.Sockets)*3/8)
	s.copyS = copyS
	s.writeSlack = writeSlack
	s.idleS = cfg.Settings.ConnectionIdleTimeout * idleShare
	timeout := cfg.Settings.DialTimeout
	s.dial = func(addr string) (net.Conn, error) { return calls.Dial(addr, timeout) }
	s.ownRetry = min(timeout, maxOwnRetry)
}

// ready tells whether a request could be sent anywhere.
func (s *backendSet) ready() bool {
	for _, be := range s.byID {
		if be.state == policy.InService {
			return true
		}
	}
	return false
}

// apply takes in a list or a change of it. A send that waits for a dial to a backend that may get
// nothing new is given back to the module at once.
func (s *backendSet) apply(p *Proxy, list discovery.List) {
	listed := map[string]bool{}
	for _, e := range list.Endpoints {
		listed[e.ID] = true
		be := s.byID[e.ID]
		if be == nil {
			be = &backend{}
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
func (s *backendSet) retire(p *Proxy, be *backend) {
	for len(be.idle) > 0 {
		p.closeConn(be.idle[len(be.idle)-1], backendRetired, nil)
	}
	if be.state == policy.InService {
		return
	}
	for len(be.waiting) > 0 {
		p.finishDeferred(be.waiting[0], policy.NotSent)
	}
}

// sweep retires what has idled for long.
func (s *backendSet) sweep(p *Proxy) {
	for _, be := range s.byID {
		for len(be.idle) > 0 && p.now-be.idle[0].idleAt > s.idleS {
			p.closeConn(be.idle[0], idleTimeout, nil)
		}
	}
}

// evictIdle closes the idle connection that was used longest ago.
func (p *Proxy) evictIdle() bool {
	var oldest *backConn
	for _, be := range p.backends.byID {
		if len(be.idle) > 0 && (oldest == nil || be.idle[0].idleAt < oldest.idleAt) {
			oldest = be.idle[0]
		}
	}
	if oldest != nil {
		p.closeConn(oldest, evicted, nil)
	}
	return oldest != nil
}

// backConn is a connection to a backend. It carries one attempt at a time.
type backConn struct {
	be      *backend
	at      discovery.Endpoint // as the backend stood when it was dialled
	conn    netcalls.Conn
	raw     syscall.RawConn
	busy    atomic.Bool // a reply is expected
	dead    atomic.Bool // not to be used again
	written atomic.Bool // the whole of the attempt's command
	began   atomicTime  // when the writing of its command did
	writing sync.Mutex  // held while a write that the loop does not wait for goes on

	writeErr error // what that write met; guarded by writing

	// Loop only.
	attempt *attempt
	idleAt  float64
	closed  bool
}

// takeIdle takes a connection out of the pool, nil if there is none of use: the one used last of those
// that have rested, else the one that has rested longest. One on which bytes wait that nobody asked for,
// or that has ended, though its reader has not come to it yet, must not get a command.
func (p *Proxy) takeIdle(be *backend) *backConn {
	for len(be.idle) > 0 {
		i := len(be.idle) - 1
		for i > 0 && p.now-be.idle[i].idleAt < restS {
			i--
		}
		c := be.idle[i]
		if c.dead.Load() || p.now-c.idleAt > p.backends.idleS || !silent(c.raw) {
			p.closeConn(c, notUsable, nil)
			continue
		}
		be.idle = slices.Delete(be.idle, i, i+1)
		return c
	}
	return nil
}

// silent tells that a connection is open and that no byte waits on it.
func silent(raw syscall.RawConn) bool {
	var one [1]byte
	err := error(nil)
	closed := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return closed == nil && (err == syscall.EAGAIN || err == syscall.EINTR)
}

// closedByPeer tells that the other end has closed a connection, or reset it, also while bytes of it are
// still unread here.
func closedByPeer(raw syscall.RawConn) (gone bool) {
	raw.Control(func(fd uintptr) {
		// The first byte of the struct is the state.
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		switch info & 0xff {
		case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			gone = err == nil
		}
	})
	return gone
}

// States of a connection that its other end has closed (tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// dialFor has the attempt wait for a new connection; false if there may be no more of them.
func (p *Proxy) dialFor(a *attempt) bool {
	if p.backends.open >= p.backends.limit && !p.evictIdle() {
		return false
	}
	a.be.waiting = append(a.be.waiting, a)
	a.be.dials++
	p.backends.open++
	go p.dial(a.be, a.be.Endpoint)
	return true
}

// dial makes one connection. Its goroutine ends with the dial's time-out at the latest.
func (p *Proxy) dial(be *backend, at discovery.Endpoint) {
	from := p.clock.now()
	conn, err := p.backends.dial(at.Addr)
	for first := true; netcalls.IsLocalFault(err) && p.clock.now()-from < p.backends.ownRetry.Seconds(); first = false {
		if failed := err; first {
			p.post(p.clock.now(), func() { p.makeRoomFor(failed) })
		}
		p.calls.Sleep(netcalls.RetryInterval)
		conn, err = p.backends.dial(at.Addr)
	}
	var c *backConn
	if err == nil {
		c = &backConn{be: be, at: at, conn: netcalls.RetryingConn{Conn: conn.(netcalls.Conn), Sleep: p.calls.Sleep}}
		if c.raw, err = c.conn.SyscallConn(); err != nil {
			conn.Close()
			c = nil
		}
	}
	p.post(p.clock.now(), func() { p.dialed(be, c, err) })
}

// dialed gives a new connection to the attempt that has waited longest, or takes its failure.
func (p *Proxy) dialed(be *backend, c *backConn, err error) {
	be.dials--
	failed := policy.ConnectFailed
	if c == nil {
		p.backends.open--
		p.warn("dial failed", "backend", be.ID, "error", err)
		if p.makeRoomFor(err); netcalls.IsLocalFault(err) {
			failed = policy.NotSent // it tells nothing of the backend
		}
	} else {
		go c.read(p)
		if p.usable(c) {
			p.give(c)
		} else {
			if !c.dead.Load() || c.at.Addr != be.Addr {
				failed = policy.NotSent // the backend is another one by now: it tells nothing of that
			}
			p.closeConn(c, notUsable, nil)
		}
	}
	for len(be.waiting) > be.dials {
		if c := p.takeIdle(be); c != nil {
			p.give(c)
			continue
		}
		p.finish(be.waiting[0], result{status: failed}, p.now)
	}
}

// usable tells that the connection may carry another command: its backend still stands where it was
// dialled, in the group for which the module chose it, and may be sent to.
func (p *Proxy) usable(c *backConn) bool {
	return !c.closed && !c.dead.Load() && c.be.state == policy.InService && c.at.Addr == c.be.Addr &&
		c.at.StartedMS == c.be.StartedMS && c.at.Zone == c.be.Zone && c.at.Cell == c.be.Cell
}

// give puts a connection to use for what waits, else into the pool.
func (p *Proxy) give(c *backConn) {
	be := c.be
	for len(be.waiting) > 0 {
		a := be.waiting[0]
		be.waiting = be.waiting[1:]
		if p.unsendable(a) || a.req != nil && p.superseded(a.req) {
			p.finishDeferred(a, policy.NotSent)
			continue
		}
		p.write(c, a)
		return
	}
	p.release(c)
}

// release puts a connection into the pool. It does not go to what waits: that has a dial under way,
// and a second copy of the answer may be right behind.
func (p *Proxy) release(c *backConn) {
	c.attempt = nil
	if !p.usable(c) {
		p.closeConn(c, notUsable, nil)
		return
	}
	c.idleAt = p.now
	c.be.idle = append(c.be.idle, c)
}

// write sends the command: at once what the socket takes, the rest on a goroutine of its own, which
// ends with the connection. The last byte of an attempt goes out in its time or never: the loop's time is
// that of what it handles, and may be well behind the clock; a dial and a backend that reads slowly take
// time as well.
func (p *Proxy) write(c *backConn, a *attempt) {
	from := p.clock.now()
	if from >= min(a.writeDeadline, a.until) {
		p.release(c)
		p.finishDeferred(a, policy.NotSent)
		return
	}
	var reserve float64
	p.bytes, reserve = p.command(p.bytes[:0], a, from)
	b := p.bytes
	if cap(p.bytes) > 4*readSize {
		p.bytes = nil
	}
	a.conn, c.attempt = c, a
	c.written.Store(false)
	c.busy.Store(true)
	c.began.set(from)
	n, err := p.tryWrite(c.raw, b)
	switch {
	case err != nil:
		p.closeConn(c, writeFailed, err)
		p.finishDeferred(a, policy.ConnectFailed)
	case n == len(b):
		c.written.Store(true)
		p.traceSent(a, c.at, from, p.clock.now())
	default:
		rest := bytes.Clone(b[n:])
		c.writing.Lock() // only its own reader takes it besides, for a moment at its end
		c.conn.SetWriteDeadline(p.clock.at(min(a.writeDeadline, a.until, from+reserve+p.backends.writeSlack)))
		go func() {
			defer c.writing.Unlock()
			_, err := c.conn.Write(rest)
			p.backends.wrote(c)
			if err == nil {
				c.conn.SetWriteDeadline(time.Time{}) // first of all: once it is written, it may be used again
				c.written.Store(true)
				p.traceSent(a, c.at, from, p.clock.now())
			} else {
				c.writeErr = err
				c.conn.Close() // its reader reports it
			}
		}()
	}
}

// cutOff tells that the command on the connection was never wholly written, and closes it then. While the
// rest is being written nobody knows: it is closed first, and the writer asked, who ends with it.
func (p *Proxy) cutOff(c *backConn) bool {
	if c.written.Load() {
		return false
	}
	p.closeConn(c, attemptGivenUp, nil)
	c.writing.Lock()
	defer c.writing.Unlock()
	return !c.written.Load()
}

func (p *Proxy) closeConn(c *backConn, why closeReason, err error) {
	if c.closed {
		return
	}
	c.closed = true
	p.logBackendClosed(c, why, err)
	c.dead.Store(true)
	c.conn.Close()
	p.backends.open--
	c.be.idle = slices.DeleteFunc(c.be.idle, func(i *backConn) bool { return i == c })
}

// read takes the replies of one connection and notices its end, also while it idles.
func (c *backConn) read(p *Proxy) {
	buf := buffer{budget: &p.input}
	defer buf.free()
	var past answers
	var ended error // what the last read met
	for {
		room := buf.room()
		if room == nil {
			c.spoilt(p, p.clock.now(), nil, errNoRoom)
			break
		}
		n, err := c.conn.Read(room)
		ended = err
		at := p.clock.now()
		if n > 0 && !c.busy.Load() {
			p.post(at, func() { p.warn("bytes that nobody asked for", "backend", c.be.ID, "bytes", n) })
			break // what follows can't be told apart
		}
		buf.grew(n)
		size, bad := resp.Frame(buf.b)
		if bad == nil && size == 0 && len(buf.b) > resp.MaxFrame {
			bad = resp.ErrOversized
		}
		if bad != nil {
			c.spoilt(p, at, buf.b, bad)
			break
		}
		if size > 0 {
			res := parseReply(buf.b[:size])
			if res.spoilt != "" {
				c.spoilt(p, at, buf.b, errors.New(res.spoilt))
				break
			}
			// Bytes of a copy that were on their way when the next command was written are told by this.
			if past.copied(buf.b[:size], res.status, c.began.get()-p.backends.copyS) {
				c.spoilt(p, at, buf.b, errCopy)
				break
			}
			past.add(buf.b[:size], res.status, at)
			stray := len(buf.b) > size
			buf.drop(len(buf.b))
			if stray {
				c.dead.Store(true)
			}
			c.busy.Store(false)
			p.post(at, func() { p.replied(c, res, at) })
			if stray {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.dead.Store(true)
	c.conn.Close()
	c.writing.Lock() // whether the command was wholly written decides what its end means
	if c.writeErr != nil {
		ended = c.writeErr
	}
	c.writing.Unlock()
	at := p.clock.now()
	p.post(at, func() { p.lost(c, ended, at) })
}

// answers are the last ones of a connection, by which a copy of one is known.
type answers []answered

type answered struct {
	hash   uint64
	status policy.AttemptStatus
	at     float64
}

const answersKept = 8 // a copy of an older one has come long before

// copied tells that an answer may be a copy of one that came after a time. A word that work was turned away
// is trusted least: what was told of the command before must not be taken for this one's, which may run.
func (a answers) copied(b []byte, status policy.AttemptStatus, since float64) bool {
	hash := maphash.Bytes(hashSeed, b)
	for _, e := range a {
		if e.at > since && (e.hash == hash || status == policy.Rejected && e.status == status) {
			return true
		}
	}
	return false
}

func (a *answers) add(b []byte, status policy.AttemptStatus, at float64) {
	if len(*a) == answersKept {
		*a = (*a)[1:]
	}
	*a = append(*a, answered{maphash.Bytes(hashSeed, b), status, at})
}

// spoilt ends the connection's attempt for what came in place of an answer.
func (c *backConn) spoilt(p *Proxy, at float64, got []byte, why error) {
	c.dead.Store(true)
	start := string(got[:min(len(got), 40)])
	p.post(at, func() {
		p.warn("bad reply", "backend", c.be.ID, "why", why, "bytes", start)
		p.replied(c, spoilt(why.Error()), at)
	})
}

// replied ends the attempt that the connection carries.
func (p *Proxy) replied(c *backConn, res result, at float64) {
	a := c.attempt
	if c.closed || a == nil {
		return
	}
	if res.status == policy.OK && res.probe != (a.req == nil) {
		c.dead.Store(true)
		p.warn("bad reply", "backend", c.be.ID, "why", "a reply to something else")
		res = spoilt("a reply to something else")
	}
	if c.written.Load() && !c.dead.Load() {
		a.conn = nil
		p.release(c)
	}
	p.finish(a, res, at)
}

// lost takes the end of a connection.
func (p *Proxy) lost(c *backConn, err error, at float64) {
	p.closeConn(c, peerClosed, err)
	if a := c.attempt; a != nil && !a.done {
		status := policy.Reset
		if !c.written.Load() {
			status = policy.ConnectFailed
		}
		p.finish(a, result{status: status}, at)
	}
}
