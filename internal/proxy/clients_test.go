package proxy

import (
	"strings"
	"testing"
	"time"

	"reedlead/internal/readbuf"
	"reedlead/internal/resp"
	"reedlead/policy"
)

// resourceUsage returns the number of pending timers of the proxy and the bytes available in its input budget.
func (h *harness) resourceUsage() (timers int, available int64) {
	h.onLoop(func() { timers, available = h.proxy.loop.PendingTimers(), h.proxy.inputBudget.Available() })
	return timers, available
}

// TestSilentClientsAndUnfinishedCommandsTimeOut checks that a client gets an error, and its connection is closed, if it
// does not complete its first command within commandTimeout, or takes longer than that to complete a later one. An
// earlier request that is still open gets its reply before the error.
func TestSilentClientsAndUnfinishedCommandsTimeOut(t *testing.T) {
	const want = "-ERR no whole command in time"
	for name, tc := range map[string]struct{ before, partial string }{
		"silence": {}, "partial command": {partial: "*4\r\n$8\r\nCALL"}, "partial header": {partial: "*"},
		"behind another command": {encodeCommand("PING"), "*1\r\n$4\r\nPI"},
	} {
		t.Run(name, func(t *testing.T) {
			timeout := time.Millisecond
			if tc.before != "" {
				timeout = time.Hour // must not pass before the first reply, even on a busy machine
			}
			h := startProxy(t, testConfig(unreachableAddress), func(h *harness) { h.proxy.clients.commandTimeout = timeout })
			c := h.client()
			if tc.before != "" {
				if c.write(tc.before); c.readLine() != "+PONG" {
					t.Fatal("the first command got no reply")
				}
				h.onLoop(func() { h.proxy.clients.commandTimeout = time.Millisecond })
			}
			c.write(tc.partial)
			c.wantLines(want, "")
			c.mustClose()
			h.eventually("the connection is closed", h.allClientsClosed)
		})
	}
	t.Run("behind an open request", func(t *testing.T) {
		h := startProxy(t, testConfig(unreachableAddress), nil)
		c := h.client()
		c.write(encodeCommand(lookCommand("a")...))
		receive(t, h.decider.requests)
		h.onLoop(func() { h.proxy.clients.commandTimeout = time.Millisecond })
		c.write("*1")
		h.eventually("the error waits behind the open request", func() bool {
			q := h.proxy.requests.byID["a"]
			return q != nil && len(q.client.pipeline.slots) == 2
		})
		h.onLoop(func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
		c.wantLines("-ERR failed", want, "")
	})
}

// TestMalformedInputBehindRequestKeepsItsReply checks that an open request gets its reply if malformed input follows it:
// the connection stays open until all earlier commands have their replies.
func TestMalformedInputBehindRequestKeepsItsReply(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	c.write(encodeCommand(lookCommand("a")...) + "*1\r\n$60000000\r\n")
	receive(t, h.decider.requests)
	c.write(strings.Repeat("x", maxDiscardedBytes))
	h.eventually("the malformed input is discarded", func() bool {
		q := h.proxy.requests.byID["a"]
		return q != nil && q.client.inputDiscarded
	})
	h.onLoop(func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
	if a, b := c.readLine(), c.readLine(); a != "-ERR failed" || !strings.Contains(b, "value over 64 KiB") || c.readLine() != "" {
		t.Errorf("got %q, then %q, want -ERR failed, the error value over 64 KiB and the end of the connection", a, b)
	}
	if len(h.decider.disconnected) != 0 {
		t.Error("the decision module was notified of a disconnect, but the client is connected")
	}
}

// TestConnectionClosesAfterMaxBadCommands checks that a connection is closed after maxBadCommands invalid commands, so
// that a client cannot keep the event loop busy with them.
func TestConnectionClosesAfterMaxBadCommands(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	c.write(strings.Repeat(encodeCommand("NOVEL"), 100*maxBadCommands))
	for i := range maxBadCommands {
		if got := c.readLine(); got != `-ERR unknown command "NOVEL"` {
			t.Fatalf("reply %d is %q, want the error for an unknown command", i, got)
		}
	}
	if got := c.readLine(); got != "" {
		t.Errorf("got %q behind the last error, want the end of the connection", got)
	}
}

// TestSilentClientsAreEvictedFirst checks that clients that have sent nothing are evicted before idle clients that have
// sent a command.
func TestSilentClientsAreEvictedFirst(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) { h.proxy.clients.limit = 2 })
	pinged := h.client()
	pinged.mustPing()
	silent := h.client()
	h.eventually("both connections are open", func() bool { return h.proxy.clients.open() == 2 })
	third := h.client()
	if third.send("PING"); third.readLine() != "+PONG" || silent.readLine() != "" {
		t.Error("the third client got no +PONG, or the silent connection was not evicted")
	}
	if pinged.send("PING"); pinged.readLine() != "+PONG" {
		t.Error("the client that has sent a command was evicted")
	}
}

// TestIdleClientsTimeOut checks that a connection that has been idle for too long after a command is closed, and that a
// connection with an open request does not count as idle.
func TestIdleClientsTimeOut(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	busy, idle := h.client(), h.client()
	h.openRequest(busy, "a")
	idle.mustPing()
	h.onLoop(h.expireIdleClients)
	if idle.readLine() != "" {
		t.Error("the idle connection is still open")
	}
	h.onLoop(func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
	if got := busy.readLine(); got != "-ERR failed" {
		t.Errorf("the connection with an open request got %q, want -ERR failed", got)
	}
}

// TestCompletedRequestReleasesResources checks that a request releases its timers, its arguments and its share of the
// input budget with its final reply. Otherwise they would be held until its deadline, which may be up to 10 minutes
// away (command.MaxTimeoutMS).
func TestCompletedRequestReleasesResources(t *testing.T) {
	addr, conns := listenEndpoint(t)
	h := startProxy(t, testConfig(addr), sendEachRequest(0))
	timers, available := h.resourceUsage()
	c := h.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	var completed *request
	h.onLoop(func() { completed = h.proxy.requests.byID["a"] })
	if timersDuring, availableDuring := h.resourceUsage(); timersDuring != timers+2 || availableDuring >= available {
		t.Errorf("%d timers and %d bytes available during the request, %d and %d before, want 2 timers more and fewer bytes", timersDuring, availableDuring, timers, available)
	}
	b.write(valueReply)
	receive(t, h.decider.outcomes)
	if timersAfter, availableAfter := h.resourceUsage(); timersAfter != timers || availableAfter != available || completed.Args != nil {
		t.Errorf("%d timers and %d bytes available after the reply, %d and %d before the request, want the same; arguments %q, want none", timersAfter, availableAfter, timers, available, completed.Args)
	}
}

// TestClientsShareInputBudget checks that one limit applies to the buffered input and the open requests of all
// connections together, and that the whole budget is available again once the requests are done and the connections
// closed.
func TestClientsShareInputBudget(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(30_000, 30_000)
	})
	big := func(id string) string {
		return encodeCommand(postCommand(id, strings.Repeat("x", 10_000))...)
	}
	c := h.client()
	c.write(big("a") + big("b") + big("c"))
	receive(t, h.decider.requests)
	h.eventually("more than 10,000 bytes are reserved", func() bool { return h.proxy.inputBudget.Available() < 20_000 })
	d := h.client()
	beyondBudget := encodeCommand(postCommand("d", strings.Repeat("x", 60_000))...)
	d.write(beyondBudget[:59_000])
	h.eventually("the partial command is shed", func() bool { return h.shedsCommand(d) })
	d.write(beyondBudget[59_000:])
	if got := d.readLine(); got != "-BUSY 1000" {
		t.Errorf("a command beyond the budget got %q, want -BUSY 1000", got)
	}
	d.mustPing()
	for _, id := range []string{"a", "b", "c"} {
		h.onLoop(func() { h.proxy.Fail(id, policy.DeadlineTooClose) })
	}
	for i := range 3 {
		if got := c.readLine(); got != "-ERR failed" && got != "-BUSY 1000" {
			t.Errorf("reply %d is %q, want -ERR failed or -BUSY 1000", i, got)
		}
	}
	c.mustClose()
	h.eventually("the budget is released", func() bool { return h.proxy.inputBudget.Available() == 30_000 })
}

// TestPipelinedRepliesAreWrittenOnceInOrder checks that replies are written in the order of the commands even if a
// later command is decided first, and that only the reply of the first decision on a request is written.
func TestPipelinedRepliesAreWrittenOnceInOrder(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	c.write(encodeCommand(lookCommand("a")...) + encodeCommand(lookCommand("b")...) +
		encodeCommand("PING") + encodeCommand("SELECT", "0"))
	receive(t, h.decider.requests)
	receive(t, h.decider.requests)
	h.onLoop(func() {
		h.proxy.Reject("b", 1, policy.QuotaExceeded)
		h.proxy.Fail("b", policy.DeadlineTooClose)
		h.proxy.Fail("a", policy.DeadlineTooClose)
		h.proxy.Reject("a", 1, policy.QuotaExceeded)
	})
	c.send("PING")
	for i, want := range []string{"-ERR failed", "-BUSY 1000", "+PONG", "-ERR unknown command \"SELECT\"", "+PONG"} {
		if got := c.readLine(); got != want {
			t.Errorf("reply %d is %q, want %q", i, got, want)
		}
	}
}

// TestMalformedInputGetsErrorReply checks that malformed input gets an error reply and does not reach the decision
// module. A protocol error ends the connection. After one error of another kind, the connection can still be used.
func TestMalformedInputGetsErrorReply(t *testing.T) {
	const fields = "c=look,t=basic,d=100,units=2,spread=2,first=1"
	requestWith := func(old, replaced string) string {
		return encodeCommand("CALL.GET", testCustomer, "a", strings.Replace(fields, old, replaced, 1))
	}
	h := startProxy(t, testConfig(unreachableAddress), nil)
	for want, input := range map[string]string{
		"-ERR Protocol error: expected '*'":           "GET / HTTP/1.1\r\n",
		"-ERR Protocol error: invalid length":         "*2\r\n$-2\r\nab\r\n",
		"-ERR Protocol error: invalid number":         "*-1\r\n",
		"-ERR Protocol error: invalid number of ":     "*99999999\r\n",
		"-ERR Protocol error: value over 64 KiB":      "*5\r\n$65537\r\n",
		"-ERR Protocol error: value and length":       "*1\r\n$1\r\nabc\r\n",
		"-ERR Protocol error: line too long":          "*" + strings.Repeat("1", 2*resp.MaxLine),
		"-ERR Protocol error: malformed line":         "*1\n",
		"-ERR empty command":                          "*0\r\n",
		"-ERR unknown command \"NOVEL\"":              encodeCommand("NOVEL"),
		"-ERR wrong number of arguments for CALL.GET": encodeCommand("CALL.GET", testCustomer),
		"-ERR customer must be":                       encodeCommand("CALL.GET", "00000002b4d65521", "a", fields),
		"-ERR the request's id":                       encodeCommand("CALL.GET", testCustomer, "", fields),
		"-ERR field d: invalid value \"soon\"":        requestWith("100", "soon"),
		"-ERR field d: invalid value \"NaN\"":         requestWith("100", "NaN"),
		"-ERR field c: invalid value":                 requestWith("look", "x"),
		"-ERR field t: invalid value":                 requestWith("basic", "x"),
		"-ERR field units: invalid value":             requestWith("units=2", "units=-2"),
		"-ERR field spread: invalid value":            requestWith("spread=2", "spread=3"),
		"-ERR field first: invalid value":             requestWith("first=1", "first=2"),
		"-ERR field first is missing":                 requestWith(",first=1", ""),
		"-ERR field c is given twice":                 encodeCommand("CALL.GET", testCustomer, "a", fields+",c=look"),
		"-ERR malformed field":                        encodeCommand("CALL.GET", testCustomer, "a", fields+","),
		"-ERR class bill does not go with CALL.GET":   requestWith("look", "bill"),
		"-ERR field k is missing":                     encodeCommand("CALL.POST", testCustomer, "a", strings.Replace(fields, "look", "hold", 1), ""),
	} {
		c := h.client()
		c.write(input)
		if got := c.readLine(); !strings.HasPrefix(got, want) {
			t.Errorf("%q: got %q, want %q", input[:min(len(input), 60)], got, want)
			continue
		}
		if strings.Contains(want, "Protocol") {
			if got := c.readLine(); got != "" {
				t.Errorf("%q: got %q behind the error, want the end of the connection", input, got)
			}
			continue
		}
		if c.send("PING"); c.readLine() != "+PONG" {
			t.Errorf("%q: the connection is unusable afterwards", input)
		}
	}
	if len(h.decider.requests) != 0 {
		t.Error("the decision module got a request that could not be parsed")
	}
}

// TestLongestIdleClientIsEvicted checks that a new connection beyond the limit evicts the connection that has been idle
// for longest, so that descriptors do not run out.
func TestLongestIdleClientIsEvicted(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) { h.proxy.clients.limit = 2 })
	var conns []*testConn
	for range 3 {
		c := h.client()
		c.mustPing()
		conns = append(conns, c)
	}
	if conns[0].readLine() != "" {
		t.Error("the connection that was idle for longest is still open")
	}
	if conns[2].send("PING"); conns[2].readLine() != "+PONG" {
		t.Error("the newest connection was closed")
	}
}

// TestClientsBeyondLimitGetBusyReply checks that the requests on a connection beyond the limit, but within the
// allowance, are rejected with a reply. The connection is served once another one is idle and can be evicted. Closing
// the connection immediately would lose the request that its client has already sent.
func TestClientsBeyondLimitGetBusyReply(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.clients.limit, h.proxy.clients.overLimitAllowance = 1, 1
	})
	busy := h.client()
	h.openRequest(busy, "a")
	extra := h.client()
	extra.send(lookCommand("b")...)
	if got := extra.readLine(); got != "-BUSY 1000" {
		t.Errorf("a request beyond the limit got %q, want -BUSY 1000", got)
	}
	next := h.client() // evicts the idle connection beyond the limit
	next.send(lookCommand("b")...)
	if got := next.readLine(); got != "-BUSY 1000" || extra.readLine() != "" {
		t.Errorf("a request on the next connection beyond the limit got %q, want -BUSY 1000, and the earlier connection beyond the limit closed", got)
	}
	if len(h.decider.requests) != 0 {
		t.Error("the decision module got a request that the connection limit had rejected")
	}
	h.onLoop(func() { h.proxy.Fail("a", policy.DeadlineTooClose) })
	next.send(lookCommand("c")...)
	if q := receive(t, h.decider.requests); q.ID != "c" || busy.readLine() != "-ERR failed" || busy.readLine() != "" {
		t.Errorf("after the busy connection became idle: got request %+v, want request c, and that connection closed after -ERR failed", q)
	}
}
