package proxy

import (
	"strings"
	"testing"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// scarceBudget is an input budget in bytes that a few long commands use up.
const scarceBudget = 192 << 10

// neverStalled is a stall timeout that no client reaches during a test.
const neverStalled policy.Seconds = 3600

// startScarceProxy starts a proxy with scarceBudget, in which the decision module fails each request at once. No client
// makes room for others, however long it has sent nothing.
func startScarceProxy(t *testing.T) *harness {
	t.Helper()
	return startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(scarceBudget, scarceBudget)
		h.proxy.clients.inputStallTimeout = neverStalled
		h.proxy.clients.inputMemoryWait = testTimeout // the readers that make room may be slow on a busy machine
		h.decider.onRequest = func(r policy.Request) { h.proxy.Fail(r.ID, policy.DeadlineTooClose) }
	})
}

// longCommand returns a request with a body of the given size.
func longCommand(id string, size int) string {
	return encodeCommand(postCommand(id, strings.Repeat("x", size))...)
}

// stopWithinCommands has clients send a part of a long command each and stay, until there is no memory for another.
func (h *harness) stopWithinCommands() (stopped []*testConn) {
	h.t.Helper()
	for {
		c := h.client()
		c.write(longCommand("stopped", 60_000)[:40_000])
		read := func() bool { return h.shedsCommand(c) || h.holdsPartialCommand(c) }
		h.eventually("the partial command is read", read)
		stopped = append(stopped, c)
		shed := false
		if h.onLoop(func() { shed = h.shedsCommand(c) }); shed {
			return stopped
		}
	}
}

// holdsPartialCommand reports whether the gateway holds what a client that has stopped within its command has sent.
// Event loop only.
func (h *harness) holdsPartialCommand(client *testConn) bool {
	c := h.connOf(client)
	return c != nil && c.partialInput.Load() > 40_000
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
		h.proxy.clients.inputStallTimeout = neverStalled // else it may be evicted as one that has stopped, on a busy machine
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
		const budget = 2000 + 2*openRequestMemory // for the short requests
		h.proxy.inputBudget = readbuf.NewBudget(budget, budget)
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

// TestStoppedClientsMakeRoomForOthers checks that a long command gets its memory from clients that have stopped within
// theirs, that these stay connected, and that such a client gets a reply if it goes on.
func TestStoppedClientsMakeRoomForOthers(t *testing.T) {
	h := startScarceProxy(t)
	stopped := h.stopWithinCommands()
	h.onLoop(func() { h.proxy.clients.inputStallTimeout = 0 })
	c := h.client()
	c.write(longCommand("a", 100) + longCommand("b", 64_000) + longCommand("c", 100))
	c.wantLines("-ERR failed", "-ERR failed", "-ERR failed")
	shed := 0
	for _, s := range stopped {
		s.write(longCommand("stopped", 60_000)[40_000:])
		switch got := s.readLine(); got {
		case "-BUSY 1000":
			shed++
		case "-ERR failed", "-ERR a request of this id is open":
		default:
			t.Errorf("a client that went on got %q, want a reply to its command", got)
		}
		s.mustPing()
	}
	if shed < 2 {
		t.Errorf("%d commands were shed, want that of the last client and one that made room", shed)
	}
}

// TestReadersDoNotWaitForEachOther checks that of two clients that each hold half of the memory and need more, neither
// waits for the other for longer than inputMemoryWait. Both must get a reply, and to the commands behind the long one too.
func TestReadersDoNotWaitForEachOther(t *testing.T) {
	for _, stallTimeout := range []policy.Seconds{neverStalled, 0} {
		h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
			h.proxy.inputBudget = readbuf.NewBudget(120_000, 120_000)
			h.proxy.clients.inputStallTimeout = stallTimeout
			h.decider.onRequest = func(r policy.Request) { h.proxy.Fail(r.ID, policy.DeadlineTooClose) }
		})
		one, other := h.client(), h.client()
		first, second := longCommand("one", 64_000), longCommand("other", 64_000)
		one.write(first[:40_000])
		other.write(second[:40_000])
		h.eventually("each holds half of the memory", func() bool { return h.holdsPartialCommand(one) && h.holdsPartialCommand(other) })
		one.write(first[40_000:] + encodeCommand("PING"))
		other.write(second[40_000:] + encodeCommand("PING"))
		for _, c := range []*testConn{one, other} {
			if got := c.readLine(); got != "-BUSY 1000" && got != "-ERR failed" {
				t.Errorf("stall timeout %v: a long command got %q, want a reply", stallTimeout, got)
			}
			c.wantLines("+PONG")
		}
	}
}

// TestRequestsAndRepliesKeepMemory checks that partial commands leave memory to requests and to the replies of endpoints:
// a request is sent and its long value returned while no partial command finds room.
func TestRequestsAndRepliesKeepMemory(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(400_000, 400_000)
		h.proxy.clients.inputStallTimeout = neverStalled
		h.decider.onRequest = func(r policy.Request) { h.proxy.Send(r.ID, "s0", 0, 0) }
	})
	h.stopWithinCommands()
	c := h.client()
	c.send(lookCommand("a")...)
	endpoint := receive(t, conns)
	endpoint.readCommand()
	value := strings.Repeat("v", 60_000)
	endpoint.write(encodeCommand(value, "", "")[:len("*3\r\n$60000\r\n")] + value + "\r\n$-1\r\n$-1\r\n")
	h.wantFinalOutcome(policy.OK)
	c.wantLines("$60000", value)
}

// TestDropForWantOfMemoryIsNotTheEndpointsFault checks that an attempt whose reply finds no memory ends as Cancelled, which
// does not count against its endpoint.
func TestDropForWantOfMemoryIsNotTheEndpointsFault(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(10_000, 10_000)
		h.decider.onRequest = func(r policy.Request) { h.proxy.Send(r.ID, "s0", 0, 0) }
	})
	h.client().send(lookCommand("a")...)
	endpoint := receive(t, conns)
	endpoint.readCommand()
	endpoint.write("*3\r\n$60000\r\n" + strings.Repeat("v", 59_000))
	h.wantOutcome(policy.Cancelled)
}

// TestLateRequestToShedIsHarmless checks that a reader that is asked to shed its command after it has handled it goes on:
// the deadline in the past that interrupts it must not count as a timeout of the client.
func TestLateRequestToShedIsHarmless(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	for range 3 {
		c.mustPing()
		h.onLoop(func() { h.connOf(c).requestShedding() })
	}
	c.write("*1\r\n$4\r\nPI")
	h.eventually("the part of a command is read", func() bool { return h.connOf(c).lastInputAt.Load() > h.connOf(c).openedAt })
	h.onLoop(func() { h.connOf(c).requestShedding() })
	c.write("NG\r\n")
	c.wantLines("+PONG")
}

// TestRequestToShedKeepsDiscarding checks that a reader that discards what follows malformed input does so until the
// client has sent all of it, although it is asked to shed a command: closing the connection earlier would reset it, which
// may destroy the error.
func TestRequestToShedKeepsDiscarding(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	c.write("malformed\r\n")
	c.wantLines("-ERR Protocol error: expected '*', got 'm'")
	for range 3 {
		h.onLoop(func() { h.connOf(c).requestShedding() })
		c.write(strings.Repeat("x", 1000))
	}
	h.onLoop(func() {
		if h.connOf(c) == nil {
			t.Error("the connection was closed while its input was discarded")
		}
	})
	c.closeWrite()
	c.wantLines("")
}
