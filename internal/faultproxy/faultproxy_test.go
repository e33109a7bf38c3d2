package faultproxy

import (
	"net"
	"testing"
	"time"
)

// Guards against the records of an earlier connection: a new one may come from the same address, and be judged before
// the proxy has accepted it.
func TestWaitLinkIgnoresAnEarlierConnectionFromTheSameAddress(t *testing.T) {
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
	earlier := &Link{acceptedAt: dialled.Add(-time.Second)}
	p.links[conn.LocalAddr().String()] = earlier
	if got := p.Link(conn.LocalAddr()); got != earlier {
		t.Fatalf("the earlier link is not set up: %v", got)
	}
	found := make(chan *Link, 1)
	go func() { found <- p.WaitLink(conn.LocalAddr(), dialled) }()
	select {
	case <-found:
		t.Fatal("a link came before the proxy had accepted the connection")
	case <-time.After(20 * time.Millisecond):
	}
	go p.accept()
	if got := <-found; got == earlier {
		t.Error("the link is that of the earlier connection")
	}
}
