// Package faultproxy is a TCP proxy on loopback for tests. It injects what networks do to connections: it splits,
// delays and holds up what passes, resets and half-closes. Each connection follows a schedule that its seed gives. The
// proxy records when which byte passed, so that a test can tell what either end had done by when.
package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Schedule gives the probability of each fault, of a connection or of a chunk (what one read returned).
type Schedule struct {
	Reset     float64       // of a connection: it is reset
	HalfClose float64       // of a connection: one direction of it ends early
	EndBytes  int           // a reset or half-close comes within this many bytes
	Split     float64       // of a chunk: it is written in several parts
	Delay     float64       // of a chunk: it is delayed
	MaxDelay  time.Duration // longest delay
	HoldUp    float64       // of a chunk: it is held up
	HoldFor   time.Duration // for this time
}

// mark is the time by which a number of bytes had passed.
type mark struct {
	bytes int
	at    time.Time
}

// Passage records what passed at one end of a direction. It may be used by several goroutines.
type Passage struct {
	mu    sync.Mutex
	marks []mark
	ended time.Time
}

func (p *Passage) pass(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	if len(p.marks) > 0 {
		before = p.marks[len(p.marks)-1].bytes
	}
	p.marks = append(p.marks, mark{before + n, time.Now()})
}

// At returns when the first bytes, a number of them, had passed; false if they never did.
func (p *Passage) At(bytes int) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.marks {
		if m.bytes >= bytes {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// Ended returns when the direction ended, zero if it has not.
func (p *Passage) Ended() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *Passage) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended.IsZero() {
		p.ended = time.Now()
	}
}

// Direction is one direction of a connection: what the proxy has read, and what it has written.
type Direction struct {
	Read, Written Passage
}

// Link is one proxied connection. To leads to the server, From back.
type Link struct {
	To, From   Direction
	acceptedAt time.Time
	mu         sync.Mutex
	broken     bool
}

// Broken tells whether the proxy itself has ended the connection, or a direction of it.
func (l *Link) Broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broken
}

func (l *Link) markBroken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = true
}

// Proxy forwards connections to one server. It starts a goroutine for its listener, which ends with Close, and some
// for each connection, which end with that.
type Proxy struct {
	listener net.Listener
	server   string
	schedule Schedule
	mu       sync.Mutex
	rng      *rand.Rand
	accepted *sync.Cond          // of mu; signalled for each new link
	links    map[string]*Link    // the newest by the address of the end that connected
	near     map[string]net.Addr // that address, by the one from which the server is connected to
}

// New starts a proxy for a server.
func New(server string, schedule Schedule, seed uint64) (*Proxy, error) {
	p, err := newProxy(server, schedule, seed)
	if err != nil {
		return nil, err
	}
	go p.accept()
	return p, nil
}

// newProxy makes a proxy that listens, and accepts nothing yet.
func newProxy(server string, schedule Schedule, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l, server: server, schedule: schedule, rng: rand.New(rand.NewPCG(seed, 1)),
		links: map[string]*Link{}, near: map[string]net.Addr{},
	}
	p.accepted = sync.NewCond(&p.mu)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the listener. Connections go on.
func (p *Proxy) Close() { _ = p.listener.Close() } // it is gone either way

// Link returns that of the connection which was made from an address, nil if there is none.
func (p *Proxy) Link(from net.Addr) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == nil {
		return nil
	}
	return p.links[from.String()]
}

// WaitLink returns the link of a connection that was made from an address after a time, and waits until the proxy has
// accepted it. An earlier connection may have had the same address.
func (p *Proxy) WaitLink(from net.Addr, dialled time.Time) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if link := p.links[from.String()]; link != nil && !link.acceptedAt.Before(dialled) {
			return link
		}
		p.accepted.Wait()
	}
}

// From returns the address that a connection was made from, by the one at which it reaches the server.
func (p *Proxy) From(atServer net.Addr) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.near[atServer.String()]
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), 2))
		link := &Link{acceptedAt: time.Now()}
		p.links[conn.RemoteAddr().String()] = link
		p.accepted.Broadcast()
		p.mu.Unlock()
		go p.serve(conn.(*net.TCPConn), link, rng)
	}
}

// serve forwards one connection.
func (p *Proxy) serve(near *net.TCPConn, link *Link, rng *rand.Rand) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(near)
		return
	}
	defer func() { _ = far.Close() }()
	p.mu.Lock()
	p.near[far.LocalAddr().String()] = near.RemoteAddr()
	p.mu.Unlock()
	end := 1 + rng.IntN(max(1, p.schedule.EndBytes))
	there := &pipe{schedule: p.schedule, link: link, direction: &link.To, rng: rand.New(rand.NewPCG(rng.Uint64(), 3))}
	back := &pipe{schedule: p.schedule, link: link, direction: &link.From, rng: rand.New(rand.NewPCG(rng.Uint64(), 4))}
	ending := there
	if rng.IntN(2) == 0 {
		ending = back
	}
	switch fate := rng.Float64(); {
	case fate < p.schedule.Reset:
		ending.endAt, ending.reset = end, true
	case fate < p.schedule.Reset+p.schedule.HalfClose:
		ending.endAt = end
	}
	var both sync.WaitGroup
	both.Go(func() { there.copy(near, far.(*net.TCPConn)) })
	both.Go(func() { back.copy(far.(*net.TCPConn), near) })
	both.Wait()
}

// pipe is one direction.
type pipe struct {
	schedule  Schedule
	link      *Link
	direction *Direction
	rng       *rand.Rand
	endAt     int // bytes after which it ends; 0: never
	reset     bool
}

const (
	// chunkQueue is how many chunks may wait to be written. They are read at once, so that it is known when they
	// came, however long the ones before are held up.
	chunkQueue = 1 << 12
	chunkSize  = 16 << 10
)

// copy forwards what comes until it ends, and ends the other side in the same way.
func (p *pipe) copy(from, to *net.TCPConn) {
	defer p.direction.Written.end()
	chunks := make(chan []byte, chunkQueue)
	var failed error // of the reads; set before chunks is closed
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := from.Read(buf)
			if n > 0 {
				p.direction.Read.pass(n)
				chunks <- buf[:n]
			}
			if err != nil {
				p.direction.Read.end()
				failed = err
				return
			}
		}
	}()
	if !p.forward(chunks, from, to) {
		for range chunks { // the reader ends with the connection
		}
	} else if errors.Is(failed, io.EOF) {
		closeWrite(to)
	} else {
		reset(to)
	}
}

// forward writes chunks to their end, or until the schedule or a failed write ends it. It returns whether it wrote all.
func (p *pipe) forward(chunks <-chan []byte, from, to *net.TCPConn) (all bool) {
	passed := 0
	for chunk := range chunks {
		ended := p.endAt > 0 && passed+len(chunk) >= p.endAt
		if ended {
			chunk = chunk[:p.endAt-passed]
		}
		passed += len(chunk)
		if p.send(to, chunk) != nil {
			reset(from)
			return false
		}
		if ended {
			p.link.markBroken()
			if p.reset {
				reset(from)
				reset(to)
			} else {
				closeWrite(to)
			}
			return false
		}
	}
	return true
}

// send writes one chunk with the faults that the schedule gives it.
func (p *pipe) send(to *net.TCPConn, chunk []byte) error {
	if p.rng.Float64() < p.schedule.Delay && p.schedule.MaxDelay > 0 {
		time.Sleep(time.Duration(p.rng.Int64N(int64(p.schedule.MaxDelay))))
	}
	if p.rng.Float64() < p.schedule.HoldUp {
		time.Sleep(p.schedule.HoldFor)
	}
	split := p.rng.Float64() < p.schedule.Split
	for len(chunk) > 0 {
		part := chunk
		if split {
			part = chunk[:1+p.rng.IntN(len(chunk))]
		}
		n, err := to.Write(part)
		if n > 0 {
			p.direction.Written.pass(n)
		}
		if err != nil {
			return err
		}
		chunk = chunk[len(part):]
	}
	return nil
}

// reset ends a connection with a reset. One that has ended by itself fails these calls, which makes no difference.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite ends the sending side of a connection; see reset for its error.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }
