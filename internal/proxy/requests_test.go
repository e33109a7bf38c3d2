package proxy

import (
	"testing"

	"reedlead/policy"
)

// TestDecisionModulePanicFailsRequest checks that a request gets an error if the decision module panics on it or never
// decides on it, so that its client does not wait forever.
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
		t.Errorf("after a panic: got %q, want -ERR failed", got)
	}
	c.send("CALL.GET", testCustomer, "mute", "c=look,t=basic,d=20,units=2,spread=2,first=1")
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("without a decision: got %q, want -ERR failed", got)
	}
	if id := receive(t, h.decider.disconnected); id != "mute" {
		t.Errorf("the decision module was notified that request %q needs no reply, want mute", id)
	}
}

// TestDecisionModulePanicOnOutcome checks that a request fails at its deadline and is removed if the decision module
// panics on the outcome of its attempt.
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
		t.Errorf("after a panic on the outcome: got %q, want -ERR failed", got)
	}
	if id := receive(t, h.decider.disconnected); id != "a" {
		t.Errorf("the decision module was notified that request %q needs no reply, want a", id)
	}
	h.onLoop(func() {
		if len(h.proxy.requests.byID) != 0 {
			t.Errorf("%d requests remain in the table, want none", len(h.proxy.requests.byID))
		}
	})
}
