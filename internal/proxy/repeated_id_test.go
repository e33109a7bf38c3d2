package proxy

import (
	"net"
	"strings"
	"testing"
)

// TestRepeatedIDIsNotSentAgain guards against a request that executes twice: its client disconnects, and the ID comes again
// on another connection once the attempt has ended.
func TestRepeatedIDIsNotSentAgain(t *testing.T) {
	listener := listenLoopback(t, net.ListenConfig{})
	go serveValues(listener)
	p := startWithDecisionModule(t, testConfig(listener.Addr().String()))
	command := encodeCommand("CALL.POST", testCustomer, "a", "c=bill,t=basic,d=1500,units=2,spread=2,first=1", "body")
	first := newTestConn(t, mustDial(t, p.listener.Addr().String()))
	first.write(command)
	if reply := first.readLine(); !strings.HasPrefix(reply, "$") {
		t.Fatalf("the first request got %q, want a value", reply)
	}
	first.mustClose()
	second := newTestConn(t, mustDial(t, p.listener.Addr().String()))
	second.write(command)
	second.wantLines("-ERR failed")
}
