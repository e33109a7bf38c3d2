package proxy

import (
	"context"
	"fmt"
	"net"

	"reedlead/internal/netcalls"
	"reedlead/internal/peerlink"
)

// openPeerLink opens the UDP socket to the other gateways. It retries transient errors, as the process is starting.
func (p *Proxy) openPeerLink(ctx context.Context) (*peerlink.Link, error) {
	address := net.UDPAddrFromAddrPort(p.cfg.PeerListenAddress)
	conn, err := netcalls.RetryAtStart(ctx, p.calls.Sleep, func() (*net.UDPConn, error) {
		return p.calls.ListenPacket(address)
	})
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	return peerlink.New(conn, p.calls, p.cfg.PeerAddresses, p.cfg.BroadcastAddress), nil
}

// receivePeerMessages posts the received datagrams to the event loop, until the link is closed.
func (p *Proxy) receivePeerMessages() {
	p.peers.Receive(func(e peerlink.Event) {
		p.loop.Post(p.clock.Now(), func() { p.handlePeerEvent(e) })
	})
}

// handlePeerEvent passes the message of a gateway to the decision module, or logs that a datagram was dropped. Event
// loop only.
func (p *Proxy) handlePeerEvent(e peerlink.Event) {
	switch e := e.(type) {
	case peerlink.Message:
		p.decider.HandlePeerMessage(p.loop.Now(), e.From, e.Data)
	case peerlink.Dropped:
		p.warn("datagram dropped", "from", e.From, "bytes", e.Bytes)
	}
}

// SendToPeer implements policy.Actions. It does nothing if this gateway has no link to the others.
func (p *Proxy) SendToPeer(gateway int, data []byte) {
	if p.peers == nil {
		return
	}
	if err := p.peers.Send(gateway, data); err != nil {
		p.warn("datagram not sent", "gateway", gateway, "error", err)
	}
}
