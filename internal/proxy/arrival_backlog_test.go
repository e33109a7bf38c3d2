package proxy

import (
	"testing"

	"reedlead/policy"
)

// TestTimeInTheBacklogCountsAgainstTheDeadline guards against attempts that state the whole time of a client whose
// request has waited in the backlog of the listener.
func TestTimeInTheBacklogCountsAgainstTheDeadline(t *testing.T) {
	const waited policy.Seconds = 0.3
	const earlierCommands = 2
	h := startProxy(t, testConfig(unreachableAddress), nil)
	free := h.takeClientSlots()
	blocker := h.client() // the listener has a slot for one more connection
	blocker.mustPing()
	c := h.client()
	c.write(encodeCommand(lookCommand("a")...) + encodeCommand(lookCommand("b")...))
	sentAt := h.proxy.clock.Now()
	waitForClock(h.proxy, sentAt+waited/2)
	c.send(lookCommand("c")...)
	lastSentAt := h.proxy.clock.Now()
	waitForClock(h.proxy, sentAt+waited)
	free()
	for i := range earlierCommands + 1 {
		request := receive(t, h.decider.requests)
		latest := sentAt
		if i == earlierCommands {
			latest = lastSentAt
		}
		if arrived := request.Deadline - lookTimeout; arrived > latest+clockGranularity {
			t.Errorf("request %s counts as arrived %v s after it was sent", request.ID, arrived-latest)
		}
	}
}

// TestRestInTheBacklogDoesNotCount guards against a request that counts as arrived when its connection was established,
// although its client sent it only after the connection was accepted.
func TestRestInTheBacklogDoesNotCount(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	free := h.takeClientSlots()
	h.client().mustPing()
	c := h.client()
	waitForClock(h.proxy, h.proxy.clock.Now()+0.3)
	free()
	h.eventually("the connection is accepted", func() bool { return h.proxy.clients.open() == 2 })
	sentAt := h.proxy.clock.Now()
	c.write(encodeCommand(lookCommand("a")...) + encodeCommand(lookCommand("b")...))
	for range 2 {
		request := receive(t, h.decider.requests)
		if arrived := request.Deadline - lookTimeout; arrived < sentAt-clockGranularity {
			t.Errorf("request %s counts as arrived %v s before it was sent", request.ID, sentAt-arrived)
		}
	}
}

// lookTimeout is the time that lookCommand states, in seconds.
const lookTimeout policy.Seconds = 600

// clockGranularity is the precision of the times that the kernel reports.
const clockGranularity policy.Seconds = 0.02

// takeClientSlots takes all slots for connections but the one that the listener holds. It returns a function that frees
// them.
func (h *harness) takeClientSlots() (free func()) {
	h.t.Helper()
	slots := h.proxy.clients.connSlots
	if !waitFor(func() bool { return len(slots) == 1 }) {
		h.t.Fatal("the listener has no slot")
	}
	for len(slots) < cap(slots) {
		slots <- struct{}{}
	}
	return func() {
		for range cap(slots) - 2 { // the two clients keep theirs
			<-slots
		}
	}
}
