package proxy

import (
	"bytes"
	"net"
	"testing"

	"reedlead/internal/peerlink"
	"reedlead/policy"
)

// TestPeerMessages guards against messages that are accepted from strangers, and against datagrams that are too long.
func TestPeerMessages(t *testing.T) {
	friend, friendAddress := listenUDP(t)
	stranger, _ := listenUDP(t)
	all, allAddress := listenUDP(t)
	cfg := peerConfig(friendAddress)
	cfg.BroadcastAddress = allAddress
	h := startProxy(t, cfg, nil)
	here := h.proxy.peers.LocalAddr()
	send := func(from *net.UDPConn, data []byte) {
		t.Helper()
		if _, err := from.WriteToUDPAddrPort(data, here); err != nil {
			t.Fatal(err)
		}
	}
	send(stranger, []byte("spoof"))
	send(friend, bytes.Repeat([]byte("x"), peerlink.MaxDatagramSize+1))
	send(friend, []byte("hello"))
	if m := receive(t, h.decider.messages); m != (peerMessage{1, "hello"}) {
		t.Errorf("got %+v", m)
	}
	h.onLoop(func() {
		h.proxy.SendToPeer(1, make([]byte, peerlink.MaxDatagramSize+1))
		h.proxy.SendToPeer(9, []byte("none"))
		h.proxy.SendToPeer(1, []byte("one"))
		h.proxy.SendToPeer(policy.Broadcast, []byte("all"))
	})
	buf := make([]byte, 512)
	for c, want := range map[*net.UDPConn]string{friend: "one", all: "all"} {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil || string(buf[:n]) != want || from != here {
			t.Errorf("got %q from %v, %v; want %q from %v", buf[:n], from, err, want, here)
		}
	}
}
