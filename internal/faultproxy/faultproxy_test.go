package faultproxy

import (
	"net"
	"testing"
	"time"
)

// TestWaitConnectionIgnoresEarlierConnectionFromSameAddress checks that WaitConnection waits until the proxy has accepted
// the new connection, even if an earlier connection had the same client address.
func TestWaitConnectionIgnoresEarlierConnectionFromSameAddress(t *testing.T) {
	p, err := newProxy("127.0.0.1:1", Schedule{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	dialled := time.Now()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	earlier := &Connection{acceptedAt: dialled.Add(-time.Second)}
	p.connections[conn.LocalAddr().String()] = earlier
	if got := p.Connection(conn.LocalAddr()); got != earlier {
		t.Fatalf("the earlier connection is not set up: %v", got)
	}
	results := make(chan *Connection, 1)
	go func() { results <- p.WaitConnection(conn.LocalAddr(), dialled) }()
	select {
	case <-results:
		t.Fatal("WaitConnection returned before the proxy had accepted the connection")
	case <-time.After(20 * time.Millisecond):
	}
	go p.accept()
	if got := <-results; got == earlier {
		t.Error("got the earlier connection")
	}
}
