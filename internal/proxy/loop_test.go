package proxy

import (
	"testing"
)

// TestDecisionModuleTimeIsMonotonic guards the time of the decision module: an event from before one already handled
// must not turn it back.
func TestDecisionModuleTimeIsMonotonic(t *testing.T) {
	r := startProxy(t, testConfig("127.0.0.1:1"), nil)
	var first, second float64
	r.proxy.loop.Post(r.proxy.clock.Now()+5, func() { first = r.proxy.loop.Now() })
	r.onLoop(func() { second = r.proxy.loop.Now() })
	if second < first {
		t.Errorf("the time went from %f to %f", first, second)
	}
}
