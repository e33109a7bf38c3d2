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
	Reset          float64       // of a connection: it is reset
	HalfClose      float64       // of a connection: one direction of it ends early
	EndWithinBytes int           // a reset or half-close comes within this many bytes
	Split          float64       // of a chunk: it is written in several parts
	Delay          float64       // of a chunk: it is delayed
	MaxDelay       time.Duration // longest delay
	Stall          float64       // of a chunk: it is held up
	StallDuration  time.Duration // for this time
}

// progress is the time by which a number of bytes had passed.
type progress struct {
	bytes int
	at    time.Time
}

// Transfer records what passed at one end of a direction. It may be used by several goroutines.
type Transfer struct {
	mu      sync.Mutex
	history []progress
	ended   time.Time
}

// recordBytes records that n more bytes passed now.
func (p *Transfer) recordBytes(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	if len(p.history) > 0 {
		before = p.history[len(p.history)-1].bytes
	}
	p.history = append(p.history, progress{before + n, time.Now()})
}

// TimeOfByte returns when the first bytes, a number of them, had passed; false if they never did.
func (p *Transfer) TimeOfByte(bytes int) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.history {
		if m.bytes >= bytes {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// Ended returns when the direction ended, zero if it has not.
func (p *Transfer) Ended() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// recordEnd records that the direction has ended, the first time that it is called.
func (p *Transfer) recordEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended.IsZero() {
		p.ended = time.Now()
	}
}

// Direction is one direction of a connection: what the proxy has read, and what it has written.
type Direction struct {
	Read, Written Transfer
}

// Connection is one proxied connection. To leads to the server, From back.
type Connection struct {
	ToServer, ToClient Direction
	acceptedAt         time.Time
	mu                 sync.Mutex
	endedByProxy       bool
}

// EndedByProxy tells whether the proxy itself has ended the connection, or a direction of it.
func (l *Connection) EndedByProxy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endedByProxy
}

// markEndedByProxy notes that the proxy itself has ended the connection, or a direction of it.
func (l *Connection) markEndedByProxy() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedByProxy = true
}

// Proxy forwards connections to one server. It starts a goroutine for its listener, which ends with Close, and some
// for each connection, which end with that.
type Proxy struct {
	listener    net.Listener
	server      string
	schedule    Schedule
	mu          sync.Mutex
	rng         *rand.Rand
	accepted    *sync.Cond             // of mu; signalled for each new connection
	connections map[string]*Connection // the newest by the address of the end that connected
	client      map[string]net.Addr    // that address, by the one from which the server is connected to
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
		connections: map[string]*Connection{}, client: map[string]net.Addr{},
	}
	p.accepted = sync.NewCond(&p.mu)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the listener. Connections go on.
func (p *Proxy) Close() { _ = p.listener.Close() } // it is gone either way

// Connection returns that of the connection which was made from an address, nil if there is none.
func (p *Proxy) Connection(clientAddr net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clientAddr == nil {
		return nil
	}
	return p.connections[clientAddr.String()]
}

// WaitConnection returns the record of a connection that was made from an address after a time, and waits until the proxy has
// accepted it. An earlier connection may have had the same address.
func (p *Proxy) WaitConnection(clientAddr net.Addr, dialledAt time.Time) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if connection := p.connections[clientAddr.String()]; connection != nil && !connection.acceptedAt.Before(dialledAt) {
			return connection
		}
		p.accepted.Wait()
	}
}

// ClientAddr returns the address that a connection was made from, by the one at which it reaches the server.
func (p *Proxy) ClientAddr(proxyAddr net.Addr) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client[proxyAddr.String()]
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		rng := rand.New(rand.NewPCG(p.rng.Uint64(), 2))
		connection := &Connection{acceptedAt: time.Now()}
		p.connections[conn.RemoteAddr().String()] = connection
		p.accepted.Broadcast()
		p.mu.Unlock()
		go p.serve(conn.(*net.TCPConn), connection, rng)
	}
}

// serve forwards one connection.
func (p *Proxy) serve(client *net.TCPConn, connection *Connection, rng *rand.Rand) {
	defer func() { _ = client.Close() }()
	serverConn, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(client)
		return
	}
	defer func() { _ = serverConn.Close() }()
	p.mu.Lock()
	p.client[serverConn.LocalAddr().String()] = client.RemoteAddr()
	p.mu.Unlock()
	endBytes := 1 + rng.IntN(max(1, p.schedule.EndWithinBytes))
	toServer := &pipe{schedule: p.schedule, connection: connection, direction: &connection.ToServer, rng: rand.New(rand.NewPCG(rng.Uint64(), 3))}
	toClient := &pipe{schedule: p.schedule, connection: connection, direction: &connection.ToClient, rng: rand.New(rand.NewPCG(rng.Uint64(), 4))}
	faulty := toServer
	if rng.IntN(2) == 0 {
		faulty = toClient
	}
	switch draw := rng.Float64(); {
	case draw < p.schedule.Reset:
		faulty.endAfter, faulty.reset = endBytes, true
	case draw < p.schedule.Reset+p.schedule.HalfClose:
		faulty.endAfter = endBytes
	}
	var both sync.WaitGroup
	both.Go(func() { toServer.copy(client, serverConn.(*net.TCPConn)) })
	both.Go(func() { toClient.copy(serverConn.(*net.TCPConn), client) })
	both.Wait()
}

// pipe is one direction.
type pipe struct {
	schedule   Schedule
	connection *Connection
	direction  *Direction
	rng        *rand.Rand
	endAfter   int // bytes after which it ends; 0: never
	reset      bool
}

const (
	// maxQueuedChunks is how many chunks may wait to be written. They are read at once, so that it is known when they
	// came, however long the ones before are held up.
	maxQueuedChunks = 1 << 12
	chunkSize       = 16 << 10
)

// copy forwards what comes until it ends, and ends the other side in the same way.
func (p *pipe) copy(from, to *net.TCPConn) {
	defer p.direction.Written.recordEnd()
	chunks := make(chan []byte, maxQueuedChunks)
	var readErr error // of the reads; set before chunks is closed
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := from.Read(buf)
			if n > 0 {
				p.direction.Read.recordBytes(n)
				chunks <- buf[:n]
			}
			if err != nil {
				p.direction.Read.recordEnd()
				readErr = err
				return
			}
		}
	}()
	if !p.forward(chunks, from, to) {
		for range chunks { // the reader ends with the connection
		}
	} else if errors.Is(readErr, io.EOF) {
		closeWrite(to)
	} else {
		reset(to)
	}
}

// forward writes chunks to their end, or until the schedule or a failed write ends it. It returns whether it wrote all.
func (p *pipe) forward(chunks <-chan []byte, from, to *net.TCPConn) (all bool) {
	passed := 0
	for chunk := range chunks {
		ended := p.endAfter > 0 && passed+len(chunk) >= p.endAfter
		if ended {
			chunk = chunk[:p.endAfter-passed]
		}
		passed += len(chunk)
		if p.send(to, chunk) != nil {
			reset(from)
			return false
		}
		if ended {
			p.connection.markEndedByProxy()
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
	if p.rng.Float64() < p.schedule.Stall {
		time.Sleep(p.schedule.StallDuration)
	}
	split := p.rng.Float64() < p.schedule.Split
	for len(chunk) > 0 {
		part := chunk
		if split {
			part = chunk[:1+p.rng.IntN(len(chunk))]
		}
		n, err := to.Write(part)
		if n > 0 {
			p.direction.Written.recordBytes(n)
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
