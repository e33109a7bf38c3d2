package proxy

import (
	"testing"
)

// TestDecisionModuleTimeIsMonotonic checks that the time that the event loop passes to the decision module does not go
// back if an event is handled after one that happened later.
func TestDecisionModuleTimeIsMonotonic(t *testing.T) {
	h := startProxy(t, testConfig("127.0.0.1:1"), nil)
	var first, second float64
	h.proxy.loop.Post(h.proxy.clock.Now()+5, func() { first = h.proxy.loop.Now() })
	h.onLoop(func() { second = h.proxy.loop.Now() })
	if second < first {
		t.Errorf("the time went back from %f to %f", first, second)
	}
}
