package proxy

import (
	"fmt"
	"strings"
	"testing"

	"reedlead/policy"
)

// TestStalledClientIsEvicted checks that an idle client is evicted before a client that does not read its replies. If
// no client is idle, a client is evicted if the write of its replies has made no progress for a long time.
func TestStalledClientIsEvicted(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.clients.limit = 2
		h.decider.onRequest = func(q policy.Request) {
			h.proxy.requests.reply(h.proxy.requests.byID[q.ID], []byte(strings.Repeat("x", 60_000)), noReason)
		}
	})
	stalled := h.client()
	for i := 0; ; i++ {
		writing := false
		if h.onLoop(func() { writing = h.onlyClient().writing }); writing {
			break
		}
		stalled.send(lookCommand(fmt.Sprint("a", i))...)
		receive(t, h.decider.requests)
	}
	idle := h.client()
	idle.mustPing()
	third := h.client()
	if third.send("PING"); third.readLine() != "+PONG" || idle.readLine() != "" {
		t.Error("the third client got no +PONG, or the idle client was not evicted")
	}
	h.onLoop(func() { // make the third client busy, and backdate the last progress of the stalled write
		h.writingClient().writeProgressAt.Store(0)
		for c := range h.proxy.clients.conns {
			if !c.writing {
				c.pipeline.add(&pipelineSlot{})
			}
		}
		if h.proxy.clients.makeRoom(nil) {
			t.Error("the stalled client was not evicted")
		}
	})
}

// writingClient returns the client connection with a running writer goroutine, or nil if there is none. Event loop
// only.
func (h *harness) writingClient() *clientConn {
	for c := range h.proxy.clients.conns {
		if c.writing {
			return c
		}
	}
	return nil
}
