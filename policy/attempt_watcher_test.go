package policy

import "testing"

// A gateway that stood still itself knows nothing of the endpoint: the reply may wait in its own socket, and a
// hedge would go out beside it.
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
		t.Fatalf("%d attempts without a standstill: the test proves nothing", n)
	}
	if n := attempts(100.3, 100.75, true); n != 1 {
		t.Fatalf("%d attempts at the end of the standstill", n)
	}
}
