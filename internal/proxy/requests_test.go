package proxy

import (
	"testing"

	"reedlead/policy"
)

// TestDecisionModulePanicFailsRequest guards against a request that waits for ever: a panic in the decision module
// fails one request, and where the decision module never decides, the proxy replies.
func TestDecisionModulePanicFailsRequest(t *testing.T) {
	r := startProxy(t, testConfig("127.0.0.1:1"), func(r *harness) {
		r.decider.onRequest = func(q policy.Request) {
			if q.ID == "boom" {
				panic("broken")
			}
		}
	})
	c := r.client()
	c.send(lookCommand("boom")...)
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("after a panic: %q", got)
	}
	c.send("CALL.GET", testCustomer, "mute", "c=look,t=basic,d=20,units=2,spread=2,first=1")
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("at the deadline: %q", got)
	}
	if id := receive(t, r.decider.gone); id != "mute" {
		t.Errorf("gone: %q", id)
	}
}

// TestDecisionModulePanicOnOutcome guards against the same where the decision module fails on an outcome: the request
// gets its reply at its deadline.
func TestDecisionModulePanicOnOutcome(t *testing.T) {
	addr, conns := listenEndpoint(t)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		r.decider.onOutcome = func(policy.Outcome) { panic("broken") }
	})
	c := r.client()
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=200,units=2,spread=2,first=1")
	b := receive(t, conns)
	b.readCommand()
	b.write("-ERR failed\r\n")
	receive(t, r.decider.outcomes)
	if got := c.readLine(); got != "-ERR failed" {
		t.Errorf("got %q", got)
	}
	if id := receive(t, r.decider.gone); id != "a" {
		t.Errorf("gone: %q", id)
	}
	r.onLoop(func() {
		if len(r.proxy.requests.byID) != 0 {
			t.Errorf("%d requests are kept", len(r.proxy.requests.byID))
		}
	})
}
