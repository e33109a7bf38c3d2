package proxy

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"reedlead/internal/command"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

// TestRequestMemoryIsAnUpperBound checks that what is charged for an open request is not less than what it takes, without
// the part of the decision module.
func TestRequestMemoryIsAnUpperBound(t *testing.T) {
	const requests = 7_000
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.decider.requests = make(chan policy.Request, requests)
		h.decider.disconnected = make(chan string, requests) // at the end of the test
	})
	c, conn := h.pingedClient()
	parser := command.NewParser(h.proxy.cfg.Settings.Settings)
	before := heapInUse()
	charged := h.proxy.inputBudget.Available()
	h.onLoop(func() {
		for i := range requests {
			var args [][]byte
			for _, arg := range holdCommand(fmt.Sprintf("%016x", i), "body") {
				args = append(args, []byte(arg))
			}
			request, err := parser.Parse(args)
			if err != nil {
				t.Fatal(err)
			}
			request.CopyArgs()
			h.proxy.inputBudget.Reserve(openRequestSize(request))
			h.proxy.requests.admit(conn, request, h.proxy.clock.Now())
		}
	})
	for range requests {
		<-h.decider.requests
	}
	taken := heapInUse() - before + int64(requests*policy.RequestMemory)
	charged -= h.proxy.inputBudget.Available()
	if taken > charged {
		t.Errorf("each of %d requests takes %d bytes, %d are charged", requests, taken/requests, charged/requests)
	}
	runtime.KeepAlive(c)
}

// TestOpenRequestsAreBoundedByMemory guards against a gateway that exceeds its memory because nothing counts what open
// requests take beside their arguments: clients have many short ones open at once.
func TestOpenRequestsAreBoundedByMemory(t *testing.T) {
	const (
		clients          = 20
		budget           = 100_000
		minRequestMemory = 500 // bytes that an open request takes at least
	)
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(budget, budget)
		h.decider.requests = make(chan policy.Request, clients*maxPipelined)
		h.decider.disconnected = make(chan string, clients*maxPipelined)
	})
	for i := range clients {
		var batch strings.Builder
		for j := range maxPipelined - 1 {
			batch.WriteString(encodeCommand(lookCommand(fmt.Sprintf("r%d-%d", i, j))...))
		}
		h.client().write(batch.String() + encodeCommand("PING"))
	}
	h.eventually("all commands are handled", func() bool {
		handled := 0
		for c := range h.proxy.clients.conns {
			waiting := c.pipeline.slots
			if c.inputHandled && (len(waiting) == 0 || string(waiting[len(waiting)-1].reply) == "+PONG\r\n") {
				handled++
			}
		}
		return handled == clients
	})
	h.onLoop(func() {
		if open := len(h.proxy.requests.byID); open == 0 || open*minRequestMemory > budget {
			t.Errorf("%d requests are open, want 1 to %d", open, budget/minRequestMemory)
		}
	})
}
