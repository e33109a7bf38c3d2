package proxy

import (
	"strings"
	"sync/atomic"
	"testing"
)

// TestPipelineLeavesTurnsToOthers guards against replies that come late because other clients send without pause: with one
// processor, each of their readers kept it for a time slice of the scheduler whenever it was its turn.
func TestPipelineLeavesTurnsToOthers(t *testing.T) {
	const turns = 50
	var yields atomic.Int64
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.yield = func() { yields.Add(1) }
	})
	c := h.client()
	go c.write(strings.Repeat(encodeCommand("PING"), turns*commandsPerTurn))
	for range turns * commandsPerTurn {
		c.wantLines("+PONG")
	}
	if got := yields.Load(); got < turns-1 { // the last one may come behind the last reply
		t.Errorf("the reader has yielded %d times, want %d", got, turns)
	}
}
