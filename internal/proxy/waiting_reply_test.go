package proxy

import (
	"fmt"
	"strings"
	"testing"

	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// Values of TestValuesBehindSlowCommandAreBounded. The budget has room for fewer than waitingValues of them.
const (
	waitingValueSize = 60_000 // bytes
	waitingValues    = 10
	waitingBudget    = 300_000 // bytes
)

// openBehindSlowCommand returns a proxy and a client that has sent a command that stays open, and waitingValues requests
// behind it.
func openBehindSlowCommand(t *testing.T) (*harness, *testConn) {
	t.Helper()
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.replyBudget = readbuf.NewBudget(waitingBudget, waitingBudget)
	})
	c := h.client()
	c.send(lookCommand("slow")...)
	receive(t, h.decider.requests)
	for i := range waitingValues {
		c.send(lookCommand(fmt.Sprint("q", i))...)
		receive(t, h.decider.requests)
	}
	return h, c
}

// replyWithValues gives the requests behind the slow command their values.
func (h *harness) replyWithValues(value string) {
	h.onLoop(func() {
		for i := range waitingValues {
			h.proxy.requests.reply(h.proxy.requests.byID[fmt.Sprint("q", i)], []byte(value), noReason)
		}
	})
}

// TestValuesBehindSlowCommandAreBounded guards against a gateway that exceeds its memory because values wait for the reply
// to a slow command of their connection: no budget counted them. A value without room is replaced by an error.
func TestValuesBehindSlowCommandAreBounded(t *testing.T) {
	h, c := openBehindSlowCommand(t)
	text := strings.Repeat("v", waitingValueSize)
	value := fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
	h.replyWithValues(value)
	waiting := 0
	h.onLoop(func() {
		for _, slot := range h.onlyClient().pipeline.slots {
			waiting += len(slot.reply)
		}
	})
	if waiting > waitingBudget {
		t.Errorf("%d bytes wait for the slow command, want at most the budget of %d", waiting, waitingBudget)
	}
	h.onLoop(func() { h.proxy.Fail("slow", policy.DeadlineTooClose) })
	c.wantLines("-ERR failed")
	values := 0
	for range waitingValues {
		switch line := c.readLine(); line {
		case fmt.Sprintf("$%d", len(text)):
			c.wantLines(text)
			values++
		case "-ERR failed":
		default:
			t.Errorf("got %.40q, want a value or -ERR failed", line)
		}
	}
	if want := waitingBudget/len(value) - 1; values < want {
		t.Errorf("%d values were returned, want at least %d", values, want)
	}
	h.eventually("the budget is released", func() bool { return h.proxy.replyBudget.Available() == waitingBudget })
}

// TestClosedConnectionReleasesWaitingValues checks that the memory of waiting values is released with their connection.
func TestClosedConnectionReleasesWaitingValues(t *testing.T) {
	h, c := openBehindSlowCommand(t)
	h.replyWithValues(strings.Repeat("v", waitingValueSize))
	c.mustClose()
	h.eventually("the budget is released", func() bool { return h.proxy.replyBudget.Available() == waitingBudget })
}
