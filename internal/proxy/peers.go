package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"reedlead/policy"
)

const (
	maxDatagram = 256
	peerQueue   = 64 // and one for each gateway: all may be due at once
)

// peerLink exchanges datagrams with the other ingresses.
type peerLink struct {
	in    *Proxy
	conn  *net.UDPConn
	queue chan datagram
}

type datagram struct {
	to   netip.AddrPort
	data []byte
}

func (p *Proxy) openPeers(ctx context.Context) (*peerLink, error) {
	addr := net.UDPAddrFromAddrPort(p.cfg.PeerListen)
	conn, err := retryAtStart(ctx, func() (*net.UDPConn, error) { return p.calls.listenPacket(addr) }, p.calls.wait, time.Now)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	link := &peerLink{in: p, conn: conn, queue: make(chan datagram, peerQueue+len(p.cfg.Peers))}
	go link.send()
	return link, nil
}

func (l *peerLink) close() {
	l.conn.Close()
	close(l.queue)
}

// tell queues a datagram; with the queue full it is lost, as it may be on its way too.
func (l *peerLink) tell(gateway int, data []byte) {
	to := l.in.cfg.PeersAll
	if gateway != policy.Broadcast {
		if gateway < 0 || gateway >= len(l.in.cfg.Peers) {
			l.in.warn("no such peer", "number", gateway)
			return
		}
		to = l.in.cfg.Peers[gateway]
	}
	if len(data) > maxDatagram || !to.IsValid() {
		l.in.warn("datagram not sent", "bytes", len(data), "to", to)
		return
	}
	select {
	case l.queue <- datagram{to, data}:
	default:
		l.in.warn("datagram lost: the queue is full")
	}
}

func (l *peerLink) send() {
	for d := range l.queue {
		l.in.calls.writePacket(l.conn, d.data, d.to) // may be lost anyway
	}
}

// receive hands on what known peers send. One byte more than allowed tells an overlong datagram.
func (l *peerLink) receive() {
	p := l.in
	numbers := map[netip.AddrPort]int{}
	for i, a := range p.cfg.Peers {
		numbers[a] = i
	}
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := p.calls.readPacket(l.conn, buf)
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			p.calls.wait(scarceRetry) // such as a refused datagram that comes back
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		number, known := numbers[from]
		at := p.clock.now()
		if !known || n > maxDatagram {
			p.post(at, func() { p.warn("datagram dropped", "from", from, "bytes", n) })
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		p.post(at, func() { p.decider.HandlePeerMessage(p.now, number, data) })
	}
}
