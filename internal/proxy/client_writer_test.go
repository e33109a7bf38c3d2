package proxy

import (
	"fmt"
	"strings"
	"testing"

	"reedlead/policy"
)

// TestStalledClientMakesRoom guards against clients that hold their places for good with replies that they do not
// read, and against one that is closed in place of an idle one.
func TestStalledClientMakesRoom(t *testing.T) {
	r := startProxy(t, testConfig(unreachableAgent), func(r *harness) {
		r.proxy.clients.limit = 2
		r.decider.onRequest = func(q policy.Request) {
			r.proxy.reply(r.proxy.requests[q.ID], []byte(strings.Repeat("x", 60_000)), served)
		}
	})
	stuck := r.client()
	for i := 0; ; i++ {
		writing := false
		if r.onLoop(func() { writing = r.onlyClient().writing }); writing {
			break
		}
		stuck.send(lookCommand(fmt.Sprint("a", i))...)
		receive(t, r.decider.requests)
	}
	idle := r.client()
	if idle.send("PING"); idle.readLine() != "+PONG" {
		t.Fatal("not served")
	}
	third := r.client()
	if third.send("PING"); third.readLine() != "+PONG" || idle.readLine() != "" {
		t.Error("the idle client made no room")
	}
	r.onLoop(func() { // the third one waits for a reply, the stuck one has taken nothing for long
		r.writingClient().writeProgressAt.Store(0)
		for c := range r.proxy.clients.conns {
			if !c.writing {
				c.pipeline.add(&pipelineSlot{})
			}
		}
		if r.proxy.clients.makeRoom(nil) {
			t.Error("the stalled client made no room")
		}
	})
}

// writingClient is the client whose socket is full; on the event loop.
func (r *harness) writingClient() *clientConn {
	for c := range r.proxy.clients.conns {
		if c.writing {
			return c
		}
	}
	return nil
}
