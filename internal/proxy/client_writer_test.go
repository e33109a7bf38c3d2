package proxy

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"reedlead/policy"
)

// longReply is the size in bytes of the replies that fill the socket of a client.
const longReply = 60_000

// fillSocket has a client send requests, each of which gets a reply of longReply bytes, until the gateway has replies that
// the client's socket does not take. It returns the number of requests.
func (h *harness) fillSocket(client *testConn, prefix string) (requests int) {
	h.t.Helper()
	for full := false; !full; requests++ {
		client.send(lookCommand(fmt.Sprint(prefix, requests))...)
		receive(h.t, h.decider.requests)
		h.onLoop(func() { full = h.connOf(client).writing })
	}
	return requests
}

// replyAtOnce has the decision module reply to each request with longReply bytes.
func replyAtOnce(h *harness) {
	h.decider.onRequest = func(q policy.Request) {
		h.proxy.requests.reply(h.proxy.requests.byID[q.ID], []byte(strings.Repeat("x", longReply)), noReason)
	}
}

// TestMemoryForRepliesIsTakenFromTheSlowestClient guards against replies that are lost because another client does not read
// its own: the connection that found no memory was closed, not the one that held it without progress.
func TestMemoryForRepliesIsTakenFromTheSlowestClient(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), replyAtOnce)
	unread, sound := h.client(), h.client()
	h.fillSocket(unread, "u")
	requests := h.fillSocket(sound, "s")
	h.onLoop(func() { // the unread replies take up what is left of the budget, and the sound client gets another reply
		if !h.connOf(unread).reserveOutput(int(h.proxy.inputBudget.Available())) {
			t.Error("the rest of the budget could not be reserved")
		}
		if !h.connOf(sound).reserveOutput(longReply) {
			t.Error("there is no memory for a reply to the sound client")
		}
		if h.connOf(unread) != nil {
			t.Error("the connection that holds the memory without progress is still open")
		}
	})
	if n, err := io.CopyN(io.Discard, sound.reader, int64(requests*longReply)); err != nil {
		t.Errorf("the sound client got %d bytes of its %d replies, %v, want all", n, requests, err)
	}
	sound.mustPing()
}

// TestStalledClientIsEvicted checks that an idle client is evicted before a client that does not read its replies. If
// no client is idle, a client is evicted if the write of its replies has made no progress for a long time.
func TestStalledClientIsEvicted(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.clients.limit = 2
		replyAtOnce(h)
	})
	stalled := h.client()
	h.fillSocket(stalled, "a")
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
