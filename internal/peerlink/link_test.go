package peerlink

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// TestSendErrors checks the errors for datagrams that can't be sent, and that Send does not block while the socket
// accepts no datagrams.
func TestSendErrors(t *testing.T) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	blocked := make(chan struct{})
	calls := netcalls.System()
	calls.WritePacket = func(*net.UDPConn, []byte, netip.AddrPort) (int, error) { <-blocked; return 0, nil }
	peers := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	link := New(conn, calls, peers, netip.AddrPort{})
	t.Cleanup(func() { close(blocked); link.Close() })

	var unknown *UnknownPeerError
	for _, number := range []int{len(peers), -7} {
		if err := link.Send(number, nil); !errors.As(err, &unknown) || unknown.Number != number {
			t.Errorf("Send to gateway %d: got the error %v, want an UnknownPeerError", number, err)
		}
	}
	var unsendable *UnsendableError
	if err := link.Send(0, make([]byte, MaxDatagramSize+1)); !errors.As(err, &unsendable) || unsendable.Bytes != MaxDatagramSize+1 {
		t.Errorf("Send of a datagram that is too long: got the error %v, want an UnsendableError", err)
	}
	if err := link.Send(policy.Broadcast, nil); !errors.As(err, &unsendable) || unsendable.To.IsValid() {
		t.Errorf("Send to all gateways without a broadcast address: got the error %v, want an UnsendableError", err)
	}
	sendCalls := 0
	for ; err == nil; err = link.Send(0, make([]byte, MaxDatagramSize)) {
		sendCalls++
	}
	if capacity := extraQueueSize + len(peers); !errors.Is(err, ErrQueueFull) || sendCalls < capacity || sendCalls > capacity+2 {
		t.Errorf("got the error %v from call %d of Send, want ErrQueueFull once the queue is full", err, sendCalls)
	}
}
