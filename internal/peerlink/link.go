// Package peerlink exchanges UDP datagrams with the other gateways. It drops datagrams that can't be queued or sent, as
// the network may lose them anyway. The decision module encodes and decodes their contents.
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
	// MaxDatagramSize is the maximum size of a datagram in bytes.
	MaxDatagramSize = 256
	// extraQueueSize is the capacity of the send queue in addition to one datagram for each gateway. The decision
	// module may send a datagram to each gateway at the same time.
	extraQueueSize = 64
)

// ErrQueueFull reports that a datagram was dropped because the send queue is full.
var ErrQueueFull = errors.New("send queue is full")

// UnknownPeerError reports that no gateway has the given number.
type UnknownPeerError struct{ Number int }

func (e *UnknownPeerError) Error() string {
	return fmt.Sprintf("no gateway has the number %d", e.Number)
}

// UnsendableError reports that a datagram exceeds MaxDatagramSize or has no valid address. A broadcast has none if the
// link has no broadcast address.
type UnsendableError struct {
	Bytes int
	To    netip.AddrPort
}

func (e *UnsendableError) Error() string {
	return fmt.Sprintf("datagram of %d bytes can't be sent to %v", e.Bytes, e.To)
}

// Event is the result of receiving a datagram: a Message or a Dropped.
type Event interface{ isEvent() }

// Message is a datagram from a gateway. The sender may be this gateway, as a broadcast may also reach its sender.
type Message struct {
	From int // the number of the gateway
	Data []byte
}

// Dropped reports a received datagram that was dropped because it is too long or its sender is not a gateway.
type Dropped struct {
	From  netip.AddrPort
	Bytes int // number of bytes read, at most MaxDatagramSize+1
}

func (Message) isEvent() {}
func (Dropped) isEvent() {}

// Link exchanges datagrams with the other gateways on one UDP socket.
type Link struct {
	conn      *net.UDPConn
	calls     *netcalls.Calls
	peers     []netip.AddrPort // indexed by the number of the gateway
	broadcast netip.AddrPort   // reaches all gateways; invalid if there is no such address
	queue     chan datagram
}

// datagram is an entry of the send queue.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// New returns a link on a socket. The index of an address in peers is the number of that gateway. New starts the
// goroutine that sends queued datagrams; Close ends it and closes the socket.
func New(conn *net.UDPConn, calls *netcalls.Calls, peers []netip.AddrPort, broadcast netip.AddrPort) *Link {
	link := &Link{conn: conn, calls: calls, peers: peers, broadcast: broadcast, queue: make(chan datagram, extraQueueSize+len(peers))}
	go link.sendQueued()
	return link
}

// Close closes the socket and the send queue, which ends Receive and the goroutine that sends. Send must not be called
// after Close.
func (l *Link) Close() {
	_ = l.conn.Close() // an error could only lose datagrams, which may be lost anyway
	close(l.queue)
}

// LocalAddr returns the address of the socket.
func (l *Link) LocalAddr() netip.AddrPort { return l.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send queues a datagram to the gateway with the given number, or to all gateways if the number is policy.Broadcast. It
// does not block. The error is ErrQueueFull, an *UnknownPeerError or an *UnsendableError.
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

// sendQueued sends the queued datagrams until the queue is closed. It runs on a goroutine that New starts.
func (l *Link) sendQueued() {
	for d := range l.queue {
		_, _ = l.calls.WritePacket(l.conn, d.data, d.to) // the network may lose it anyway
	}
}

// Receive reads datagrams and calls notify for each of them, until the link is closed. Its buffer is one byte longer
// than MaxDatagramSize, so that it can detect a datagram that is too long.
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
		if err != nil { // for example ECONNREFUSED, caused by an earlier datagram
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
