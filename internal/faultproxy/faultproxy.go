// Package faultproxy provides a TCP proxy on loopback for tests. It injects network faults: it splits and delays the
// data, and resets or half-closes connections. The faults are drawn from a seeded random generator. The proxy also
// records the times of its reads and writes.
package faultproxy

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Schedule holds the probability of each fault, per connection or per chunk (the data that one read returned), and the
// limits of the faults.
type Schedule struct {
	Reset             float64 // per connection: both sides are reset
	HalfClose         float64 // per connection: one direction ends early
	EndWithinBytes    int     // maximum number of bytes that one direction forwards before a reset or half-close
	Split             float64 // per chunk: it is written in parts of random size
	Delay             float64 // per chunk: it is delayed by a random time below MaxDelay
	MaxDelay          time.Duration
	LongDelay         float64 // per chunk: it is delayed by LongDelayDuration, in addition to Delay
	LongDelayDuration time.Duration
}

// progress is the time at which a transfer reached a total number of bytes.
type progress struct {
	bytes int
	at    time.Time
}

// Transfer records when the proxy read, or wrote, the bytes of one direction of a connection, and when the reading or
// writing ended. A Transfer is safe for concurrent use.
type Transfer struct {
	mu      sync.Mutex
	history []progress
	ended   time.Time
}

// recordBytes records that n more bytes were transferred now.
func (t *Transfer) recordBytes(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := 0
	if len(t.history) > 0 {
		before = t.history[len(t.history)-1].bytes
	}
	t.history = append(t.history, progress{before + n, time.Now()})
}

// TimeOfByte returns the time at which the total number of transferred bytes reached the given number. It returns false
// if fewer bytes have been transferred.
func (t *Transfer) TimeOfByte(bytes int) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.history {
		if m.bytes >= bytes {
			return m.at, true
		}
	}
	return time.Time{}, false
}

// Ended returns the time at which the transfer ended, or the zero time if it has not.
func (t *Transfer) Ended() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended
}

// recordEnd records that the transfer ended now. Only the first call has an effect.
func (t *Transfer) recordEnd() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended.IsZero() {
		t.ended = time.Now()
	}
}

// Direction records one direction of a connection: what the proxy read from one end and wrote to the other.
type Direction struct {
	Read, Written Transfer
}

// Connection records one proxied connection in both directions.
type Connection struct {
	ToServer, ToClient Direction
	acceptedAt         time.Time
	mu                 sync.Mutex
	endedByProxy       bool
}

// EndedByProxy reports whether the proxy ended the connection, or one direction of it, as an injected fault.
func (c *Connection) EndedByProxy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedByProxy
}

// markEndedByProxy records that the proxy ended the connection, or one direction of it, as an injected fault.
func (c *Connection) markEndedByProxy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedByProxy = true
}

// Proxy forwards connections to one server. It runs a goroutine that accepts connections until Close, and several
// goroutines per connection, which end with the connection.
type Proxy struct {
	listener    net.Listener
	server      string
	schedule    Schedule
	mu          sync.Mutex
	rng         *rand.Rand
	accepted    *sync.Cond             // uses mu; signalled for each new connection
	connections map[string]*Connection // the newest connection from each client address
	client      map[string]net.Addr    // client addresses, keyed by the local address of the proxy's connection to the server
}

// New starts a proxy for the server at the address server. The faults are drawn from a random generator with this seed.
func New(server string, schedule Schedule, seed uint64) (*Proxy, error) {
	p, err := newProxy(server, schedule, seed)
	if err != nil {
		return nil, err
	}
	go p.accept()
	return p, nil
}

// newProxy returns a proxy that listens but does not accept connections yet.
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

// Close closes the listener. Connections that were accepted stay open.
func (p *Proxy) Close() { _ = p.listener.Close() } // an error means that it is already closed

// Connection returns the newest connection from a client address, or nil if there is none.
func (p *Proxy) Connection(clientAddr net.Addr) *Connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if clientAddr == nil {
		return nil
	}
	return p.connections[clientAddr.String()]
}

// WaitConnection blocks until the proxy has accepted a connection from clientAddr, and returns it. It ignores
// connections from the same address that were accepted before dialledAt.
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

// ClientAddr returns the address of the client for which the proxy connected to the server. proxyAddr is the address of
// the proxy on that connection to the server. The result is nil if there is no such connection.
func (p *Proxy) ClientAddr(proxyAddr net.Addr) net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.client[proxyAddr.String()]
}

// accept accepts and serves connections until the listener fails or is closed.
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

// serve connects to the server and forwards one client connection in both directions until both have ended. If it can't
// connect, it resets the client connection.
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

// pipe forwards one direction of a connection.
type pipe struct {
	schedule   Schedule
	connection *Connection
	direction  *Direction
	rng        *rand.Rand
	endAfter   int  // bytes of this direction after which the proxy injects a reset or half-close; 0 means never
	reset      bool // the fault after endAfter bytes is a reset, not a half-close
}

const (
	// maxQueuedChunks is the maximum number of chunks that wait to be written. The queue is long, so that delays of
	// earlier chunks do not delay the reads, whose times are recorded.
	maxQueuedChunks = 1 << 12
	chunkSize       = 16 << 10
)

// copy forwards the data of one direction until it ends. If it ends with EOF from the sender, copy half-closes the
// connection to the receiver; if a read fails otherwise, copy resets that connection.
func (p *pipe) copy(from, to *net.TCPConn) {
	defer p.direction.Written.recordEnd()
	chunks := make(chan []byte, maxQueuedChunks)
	var readErr error // the error that ended the reads; set before chunks is closed
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
		for range chunks { // keeps the reading goroutine from blocking on a full channel
		}
	} else if errors.Is(readErr, io.EOF) {
		closeWrite(to)
	} else {
		reset(to)
	}
}

// forward writes chunks until the channel is closed, an injected fault ends the direction, or a write fails. It returns
// true in the first case only.
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

// send writes one chunk, injecting the faults that are drawn for it.
func (p *pipe) send(to *net.TCPConn, chunk []byte) error {
	if p.rng.Float64() < p.schedule.Delay && p.schedule.MaxDelay > 0 {
		time.Sleep(time.Duration(p.rng.Int64N(int64(p.schedule.MaxDelay))))
	}
	if p.rng.Float64() < p.schedule.LongDelay {
		time.Sleep(p.schedule.LongDelayDuration)
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

// reset closes a connection with a reset. Errors are ignored: they mean that the connection has already ended.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// closeWrite closes the sending side of a connection. An error means that the connection has already ended.
func closeWrite(conn *net.TCPConn) { _ = conn.CloseWrite() }
