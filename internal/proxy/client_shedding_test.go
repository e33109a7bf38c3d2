package proxy

import (
	"strings"
	"testing"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// scarceBudget is an input budget in bytes that a few long commands use up.
const scarceBudget = 96 << 10

// startScarceProxy starts a proxy with scarceBudget, in which the decision module fails each request at once.
func startScarceProxy(t *testing.T) *harness {
	t.Helper()
	return startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(scarceBudget, scarceBudget)
		h.decider.onRequest = func(r policy.Request) { h.proxy.Fail(r.ID, policy.DeadlineTooClose) }
	})
}

// longCommand returns a request with a body of the given size.
func longCommand(id string, size int) string {
	return encodeCommand(postCommand(id, strings.Repeat("x", size))...)
}

// stopWithinCommands has clients send a part of a long command each and stay, until the input budget is nearly used up.
func (h *harness) stopWithinCommands() {
	h.t.Helper()
	for range 4 {
		h.client().write(longCommand("stopped", 60_000)[:40_000])
	}
	h.eventually("the budget is nearly used up", func() bool { return h.proxy.inputBudget.Available() < scarceBudget/3 })
}

// connOf returns the gateway's side of a client's connection, or nil if it is closed. Event loop only.
func (h *harness) connOf(client *testConn) *clientConn {
	for c := range h.proxy.clients.conns {
		if c.conn.RemoteAddr().String() == client.LocalAddr().String() {
			return c
		}
	}
	return nil
}

// shedsCommand reports whether the reader of a client's connection has shed a command and waits for the rest of it.
// Event loop only.
func (h *harness) shedsCommand(client *testConn) bool {
	c := h.connOf(client)
	return c != nil && c.shedding.Load()
}

// TestLongCommandIsShedAlone guards against commands that are lost because other clients have used up the input budget:
// those behind a long one got no reply, as the connection was ended.
func TestLongCommandIsShedAlone(t *testing.T) {
	h := startScarceProxy(t)
	h.stopWithinCommands()
	c := h.client()
	c.write(longCommand("a", 100) + longCommand("b", 100) + longCommand("c", 64_000) + longCommand("d", 100) + longCommand("e", 100))
	c.wantLines("-ERR failed", "-ERR failed", "-BUSY 1000", "-ERR failed", "-ERR failed")
	c.mustPing()
}

// TestInvalidLongCommandGetsItsError checks that a long command that can't be kept gets the error that it would have got,
// and that the commands behind it are handled.
func TestInvalidLongCommandGetsItsError(t *testing.T) {
	h := startScarceProxy(t)
	h.stopWithinCommands()
	c := h.client()
	long := strings.Repeat("x", 64_000)
	c.write(encodeCommand("SET", "k", long) + encodeCommand(long) + encodeCommand("CALL.POST", "none", "id", "c=bill", long))
	c.wantLines(`-ERR unknown command "SET"`, "-ERR unknown command of over 2 KiB", "-ERR "+
		"customer must be 16 lower-case hex digits, a number below 2^33")
	c.mustPing()
}

// TestMalformedLongCommandEndsItsConnection checks that a syntax error in a command that is being shed is still found.
func TestMalformedLongCommandEndsItsConnection(t *testing.T) {
	h := startScarceProxy(t)
	h.stopWithinCommands()
	c := h.client()
	c.write(strings.Replace(longCommand("a", 64_000), "x\r\n", "xx\r\n", 1))
	c.wantLines("-ERR Protocol error: value and length differ", "")
}

// TestStoppedClientGetsItsErrorInTime checks that a client that stops within a command that is shed gets its error at the
// end of the command timeout, no sooner and no later, and that its connection is not taken for an idle one meanwhile.
func TestStoppedClientGetsItsErrorInTime(t *testing.T) {
	const timeout = 300 * time.Millisecond
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(1000, 1000)
		h.proxy.clients.commandTimeout = timeout
	})
	c := h.client()
	before := time.Now()
	c.write(longCommand("a", 64_000)[:30_000])
	h.eventually("the command is shed", func() bool { return h.shedsCommand(c) })
	h.onLoop(func() { h.connOf(c).requestClose(evicted) })
	c.wantLines("-ERR no whole command in time", "")
	if took := time.Since(before); took < timeout {
		t.Errorf("the error came after %v, want %v", took, timeout)
	}
}

// TestShedCommandKeepsItsPlace checks that the reply to a shed command waits for those to the commands before it.
func TestShedCommandKeepsItsPlace(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(2000, 2000)
	})
	c := h.client()
	c.write(longCommand("a", 100) + longCommand("b", 64_000) + longCommand("c", 100))
	for _, id := range []string{"a", "c"} {
		if got := receive(t, h.decider.requests); got.ID != id {
			t.Errorf("the decision module got request %q, want %q", got.ID, id)
		}
	}
	h.onLoop(func() {
		h.proxy.Fail("c", policy.DeadlineTooClose)
		h.proxy.Reject("a", 0.5, policy.QuotaExceeded)
	})
	c.wantLines("-BUSY 500", "-BUSY 1000", "-ERR failed")
}
