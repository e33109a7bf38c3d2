package proxy

import (
	"testing"
)

// TestDecisionModuleTimeIsMonotonic guards the time of the decision module: an event from before one already handled
// must not turn it back.
func TestDecisionModuleTimeIsMonotonic(t *testing.T) {
	h := startProxy(t, testConfig("127.0.0.1:1"), nil)
	var first, second float64
	h.proxy.loop.Post(h.proxy.clock.Now()+5, func() { first = h.proxy.loop.Now() })
	h.onLoop(func() { second = h.proxy.loop.Now() })
	if second < first {
		t.Errorf("the time went from %f to %f", first, second)
	}
}
