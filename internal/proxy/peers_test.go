package proxy

import (
	"bytes"
	"net"
	"testing"

	"reedlead/internal/peerlink"
	"reedlead/policy"
)

// TestPeerMessages checks that messages reach a single peer and the broadcast address. It also checks that the gateway
// drops datagrams from unknown senders, and neither accepts nor sends datagrams that are too long.
func TestPeerMessages(t *testing.T) {
	peer, peerAddress := listenUDP(t)
	stranger, _ := listenUDP(t)
	broadcast, broadcastAddress := listenUDP(t)
	cfg := peerConfig(peerAddress)
	cfg.BroadcastAddress = broadcastAddress
	h := startProxy(t, cfg, nil)
	localAddress := h.proxy.peers.LocalAddr()
	send := func(from *net.UDPConn, data []byte) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort(data, localAddress); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, []byte("spoof"))
	send(peer, bytes.Repeat([]byte("x"), peerlink.MaxDatagramSize+1))
	send(peer, []byte("hello"))
	if m := receive(t, h.decider.messages); m != (peerMessage{1, "hello"}) {
		t.Errorf("the decision module got the message %+v, want \"hello\" from gateway 1", m)
	}
	h.onLoop(func() {
		h.proxy.SendToPeer(1, make([]byte, peerlink.MaxDatagramSize+1))
		h.proxy.SendToPeer(9, []byte("none"))
		h.proxy.SendToPeer(1, []byte("one"))
		h.proxy.SendToPeer(policy.Broadcast, []byte("all"))
	})
	buf := make([]byte, 512)
	for c, want := range map[*net.UDPConn]string{peer: "one", broadcast: "all"} {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != want || from != localAddress {
			t.Errorf("got %q from %v, error %v; want %q from %v", buf[:n], from, err, want, localAddress)
		}
	}
}
