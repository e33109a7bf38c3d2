package proxy

import (
	"testing"

	"reedlead/policy"
)

// TestDecisionModulePanicFailsRequest guards against a request that waits for ever: a panic in the decision module
// fails one request, and where the decision module never decides, the proxy replies.
func TestDecisionModulePanicFailsRequest(t *testing.T) {
	h := startProxy(t, testConfig("127.0.0.1:1"), func(h *harness) {
		h.decider.onRequest = func(q policy.Request) {
			if q.ID == "boom" {
				panic("broken")
			}
		}
	})
	c := h.client()
	c.send(lookCommand("boom")...)
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("after a panic: %q", got)
	}
	c.send("CALL.GET", testCustomer, "mute", "c=look,t=basic,d=20,units=2,spread=2,first=1")
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("at the deadline: %q", got)
	}
	if id := receive(t, h.decider.disconnected); id != "mute" {
		t.Errorf("gone: %q", id)
	}
}

// TestDecisionModulePanicOnOutcome guards against the same where the decision module fails on an outcome: the request
// gets its reply at its deadline.
func TestDecisionModulePanicOnOutcome(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		h.decider.onOutcome = func(policy.Outcome) { panic("broken") }
	})
	c := h.client()
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=200,units=2,spread=2,first=1")
	b := receive(t, conns)
	b.readCommand()
	b.write("-ERR failed\r\n")
	receive(t, h.decider.outcomes)
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("got %q", got)
	}
	if id := receive(t, h.decider.disconnected); id != "a" {
		t.Errorf("gone: %q", id)
	}
	h.onLoop(func() {
		if len(h.proxy.requests.byID) != 0 {
			t.Errorf("%d requests are kept", len(h.proxy.requests.byID))
		}
	})
}
