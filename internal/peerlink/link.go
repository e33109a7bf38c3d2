// Package peerlink exchanges datagrams with the other gateways. Datagrams may be lost, as they may be on their
// way; their contents are the decision module's.
package peerlink

import (
	"errors"
	"fmt"
	"net"
	"net/netip"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

const (
	// MaxDatagramSize is the longest datagram in bytes.
	MaxDatagramSize = 256
	// extraQueueSize is how many datagrams may wait to be sent, beside one for each gateway: all may be due at once.
	extraQueueSize = 64
)

// ErrQueueFull reports a datagram that is lost, as too many wait to be sent.
var ErrQueueFull = errors.New("datagram lost: the queue is full")

// UnknownPeerError reports a number that no gateway has.
type UnknownPeerError struct{ Number int }

func (e *UnknownPeerError) Error() string { return fmt.Sprintf("no peer of number %d", e.Number) }

// UnsendableError reports a datagram that is too long, or one to all gateways where there is no such address.
type UnsendableError struct {
	Bytes int
	To    netip.AddrPort
}

func (e *UnsendableError) Error() string {
	return fmt.Sprintf("%d bytes can't be sent to %v", e.Bytes, e.To)
}

// Event is something that has come: a Message or a Dropped.
type Event interface{ isEvent() }

// Message is a datagram of another gateway.
type Message struct {
	From int // the number of the gateway
	Data []byte
}

// Dropped reports a datagram that is too long, or not from a gateway.
type Dropped struct {
	From  netip.AddrPort
	Bytes int // at most MaxDatagramSize+1
}

func (Message) isEvent() {}
func (Dropped) isEvent() {}

// Link is a socket for datagrams of the other gateways.
type Link struct {
	conn      *net.UDPConn
	calls     *netcalls.Calls
	peers     []netip.AddrPort // by number
	broadcast netip.AddrPort   // reaches all of them; may be invalid
	queue     chan datagram
}

// datagram is one that waits to be sent.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// New returns a link over a socket to the gateways with some addresses, by their numbers, and starts the
// goroutine that sends; Close ends it and closes the socket.
func New(conn *net.UDPConn, calls *netcalls.Calls, peers []netip.AddrPort, broadcast netip.AddrPort) *Link {
	link := &Link{conn: conn, calls: calls, peers: peers, broadcast: broadcast, queue: make(chan datagram, extraQueueSize+len(peers))}
	go link.sendQueued()
	return link
}

// Close closes the socket, which ends Receive, and the queue. Send must not be called after it.
func (l *Link) Close() {
	_ = l.conn.Close() // datagrams may be lost anyway
	close(l.queue)
}

// LocalAddr returns the address of the socket.
func (l *Link) LocalAddr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send queues a datagram to a gateway, or to all with policy.Broadcast. It does not block. The error is
// ErrQueueFull, an *UnknownPeerError or an *UnsendableError.
func (l *Link) Send(gateway int, data []byte) error {
	to := l.broadcast
	if gateway != policy.Broadcast {
		if gateway < 0 || gateway >= len(l.peers) {
			return &UnknownPeerError{gateway}
		}
		to = l.peers[gateway]
	}
	if len(data) > MaxDatagramSize || !to.IsValid() {
		return &UnsendableError{len(data), to}
	}
	select {
	case l.queue <- datagram{to, data}:
		return nil
	default:
		return ErrQueueFull
	}
}

// sendQueued sends what is queued, until the queue is closed. Its goroutine is started by New.
func (l *Link) sendQueued() {
	for d := range l.queue {
		_, _ = l.calls.WritePacket(l.conn, d.data, d.to) // may be lost anyway
	}
}

// Receive reads datagrams and notifies of them, until the link is closed. It reads one byte more than allowed, by
// which it recognizes a datagram that is too long.
func (l *Link) Receive(notify func(Event)) {
	numbers := make(map[netip.AddrPort]int, len(l.peers))
	for number, address := range l.peers {
		numbers[address] = number
	}
	buf := make([]byte, MaxDatagramSize+1)
	for {
		n, from, err := l.calls.ReadPacket(l.conn, buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a refused datagram that comes back
			l.calls.Sleep(netcalls.RetryInterval)
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if number, known := numbers[from]; known && n <= MaxDatagramSize {
			notify(Message{number, append([]byte(nil), buf[:n]...)})
		} else {
			notify(Dropped{from, n})
		}
	}
}
