package proxy

import (
	"fmt"
	"strings"
	"testing"

	"reedlead/policy"
)

// TestStalledClientIsEvicted guards against clients that hold their slots for good with replies that they do not read,
// and against one that is closed in place of an idle one.
func TestStalledClientIsEvicted(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAgent), func(h *harness) {
		h.proxy.clients.limit = 2
		h.decider.onRequest = func(q policy.Request) {
			h.proxy.requests.reply(h.proxy.requests.byID[q.ID], []byte(strings.Repeat("x", 60_000)), noReason)
		}
	})
	stuck := h.client()
	for i := 0; ; i++ {
		writing := false
		if h.onLoop(func() { writing = h.onlyClient().writing }); writing {
			break
		}
		stuck.send(lookCommand(fmt.Sprint("a", i))...)
		receive(t, h.decider.requests)
	}
	idle := h.client()
	idle.mustPing()
	third := h.client()
	if third.send("PING"); third.readLine() != "+PONG" || idle.readLine() != "" {
		t.Error("the idle client was not evicted")
	}
	h.onLoop(func() { // the third one waits for a reply, the stuck one has taken nothing for long
		h.writingClient().writeProgressAt.Store(0)
		for c := range h.proxy.clients.conns {
			if !c.writing {
				c.pipeline.add(&pipelineSlot{})
			}
		}
		if h.proxy.clients.evictToLimit(nil) {
			t.Error("the stalled client was not evicted")
		}
	})
}

// writingClient is the client whose socket is full; on the event loop.
func (h *harness) writingClient() *clientConn {
	for c := range h.proxy.clients.conns {
		if c.writing {
			return c
		}
	}
	return nil
}
