// Package faultproxy is a TCP proxy on loopback that does to connections what networks do: it splits, delays and
// holds up what passes, resets and half-closes. Each connection follows a schedule that its seed gives. It notes
// when which byte passed, so that a test can tell what either end had done by when.
package faultproxy

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Schedule is how often what happens. Shares are of the connections, or of the pieces that pass.
type Schedule struct {
	Reset     float64       // share of the connections that are reset
	HalfClose float64       // share of them whose one direction ends early
	Split     float64       // share of the pieces that are passed on byte by byte, or in a few parts
	Delay     float64       // share of the pieces that are delayed
	DelayMost time.Duration // by so much at most
	HoldUp    float64       // share of the pieces that are held up
	HoldFor   time.Duration // for so long
	EndBytes  int           // a reset or half-close comes within so many bytes
}

// mark tells that so many bytes had passed by a time.
type mark struct {
	bytes int
	at    time.Time
}

// Passage is what passed at one end of a direction.
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

// At is when the first so many bytes had passed, false if they never did.
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

// Ended is when the direction ended, zero if it has not.
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

// Direction is one direction of a connection: what the proxy read, and what it has passed on.
type Direction struct {
	Read, Written Passage
}

// Link is one proxied connection. To leads to the server, From back.
type Link struct {
	To, From Direction
	mu       sync.Mutex
	harmed   bool
}

// Harmed tells that the proxy itself has ended the connection, or a direction of it.
func (l *Link) Harmed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.harmed
}

func (l *Link) harm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.harmed = true
}

// Proxy passes connections on to one server.
type Proxy struct {
	listener net.Listener
	server   string
	schedule Schedule
	mu       sync.Mutex
	rng      *rand.Rand
	links    map[string]*Link    // by the address of the end that connected
	near     map[string]net.Addr // that address, by the one from which the server is connected to
}

// New starts a proxy for a server.
func New(server string, schedule Schedule, seed uint64) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: l, server: server, schedule: schedule, rng: rand.New(rand.NewPCG(seed, 1)),
		links: map[string]*Link{}, near: map[string]net.Addr{},
	}
	go p.accept()
	return p, nil
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the listener. Connections go on.
func (p *Proxy) Close() { p.listener.Close() }

// Link is that of the connection which was made from an address, nil if there is none.
func (p *Proxy) Link(from net.Addr) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if from == nil {
		return nil
	}
	return p.links[from.String()]
}

// From is the address that a connection was made from which reaches the server from another one.
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
		link := &Link{}
		p.links[conn.RemoteAddr().String()] = link
		p.mu.Unlock()
		go p.serve(conn.(*net.TCPConn), link, rng)
	}
}

// serve passes one connection on.
func (p *Proxy) serve(near *net.TCPConn, link *Link, rng *rand.Rand) {
	defer near.Close()
	far, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(near)
		return
	}
	defer far.Close()
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

// piecesKept is how many pieces may wait to be passed on. They are read at once, so that it is known when they came,
// however long the ones before are held up.
const piecesKept = 1 << 12

// copy passes on what comes until it ends, and ends the other side alike.
func (p *pipe) copy(from, to *net.TCPConn) {
	defer p.direction.Written.end()
	pieces := make(chan []byte, piecesKept)
	var failed error // of the reads; set before pieces is closed
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				p.direction.Read.pass(n)
				pieces <- buf[:n]
			}
			if err != nil {
				p.direction.Read.end()
				failed = err
				return
			}
		}
	}()
	if !p.passOn(pieces, from, to) {
		for range pieces { // the reader ends with the connection
		}
	} else if failed == io.EOF {
		to.CloseWrite()
	} else {
		reset(to)
	}
}

// passOn passes on pieces to their end, or until the schedule or a failed write ends it.
func (p *pipe) passOn(pieces <-chan []byte, from, to *net.TCPConn) (all bool) {
	passed := 0
	for piece := range pieces {
		ended := p.endAt > 0 && passed+len(piece) >= p.endAt
		if ended {
			piece = piece[:p.endAt-passed]
		}
		passed += len(piece)
		if p.send(to, piece) != nil {
			reset(from)
			return false
		}
		if ended {
			p.link.harm()
			if p.reset {
				reset(from)
				reset(to)
			} else {
				to.CloseWrite()
			}
			return false
		}
	}
	return true
}

// send passes one piece on, as the schedule has it.
func (p *pipe) send(to *net.TCPConn, piece []byte) error {
	if p.rng.Float64() < p.schedule.Delay && p.schedule.DelayMost > 0 {
		time.Sleep(time.Duration(p.rng.Int64N(int64(p.schedule.DelayMost))))
	}
	if p.rng.Float64() < p.schedule.HoldUp {
		time.Sleep(p.schedule.HoldFor)
	}
	split := p.rng.Float64() < p.schedule.Split
	for len(piece) > 0 {
		part := piece
		if split {
			part = piece[:1+p.rng.IntN(len(piece))]
		}
		n, err := to.Write(part)
		if n > 0 {
			p.direction.Written.pass(n)
		}
		if err != nil {
			return err
		}
		piece = piece[len(part):]
	}
	return nil
}

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) {
	conn.SetLinger(0)
	conn.Close()
}
