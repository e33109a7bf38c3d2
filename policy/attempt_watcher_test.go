package policy

import "testing"

// A gateway reads no replies during a stall. After the stall, it must not take an attempt for slow and hedge
// it, because the reply may have arrived without being read.
func TestNoHedgeAfterOwnStall(t *testing.T) {
	attempts := func(from, to Seconds, stalled bool) int {
		g, recorded := newLargeFleetGateway(t)
		sendUnlimited(g, 100, "q")
		for now := 100.0; now < to; now += timerInterval {
			if !stalled || now < from {
				g.HandleTimer(now, 1)
			}
		}
		g.HandleTimer(to, 1)
		return len(recorded.ofKind("send", "q"))
	}
	if n := attempts(100.3, 100.75, false); n != 2 {
		t.Fatalf("%d attempts without a stall, want 2 for the test to be meaningful", n)
	}
	if n := attempts(100.3, 100.75, true); n != 1 {
		t.Fatalf("%d attempts after a stall, want 1", n)
	}
}
