package proxy

import (
	"log/slog"
	"strings"
	"testing"
	"time"
)

// logged records the log of a proxy at debug level.
func logged(h *harness) *lockedBuffer {
	log := &lockedBuffer{}
	h.proxy.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return log
}

// line waits for a line of the log that contains all of some texts.
func (l *lockedBuffer) line(t *testing.T, texts ...string) {
	t.Helper()
	has := func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		for line := range strings.Lines(l.b.String()) {
			all := true
			for _, text := range texts {
				all = all && strings.Contains(line, text)
			}
			if all {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(patience); !has(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			l.mu.Lock()
			defer l.mu.Unlock()
			t.Fatalf("no line with %q in\n%s", texts, l.b.String())
		}
	}
}

// TestEveryCloseIsLoggedWithItsReason guards against connections that are closed, and requests that are rejected, with
// no line of why, and of the requests that were open.
func TestEveryCloseIsLoggedWithItsReason(t *testing.T) {
	addr, conns := listenEndpoint(t)
	var log *lockedBuffer
	h := startProxy(t, testConfig(addr), func(h *harness) {
		sendEachRequest(0)(h)
		log = logged(h)
	})
	left := h.client()
	left.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	_ = left.Close()
	log.line(t, "level=INFO", "client connection closed", "connection=1", "reason=peer_closed", "open_requests=[a]")
	_ = b.Close()
	log.line(t, "level=INFO", "backend connection closed", "endpoint=s0", "reason=peer_closed", "id=a")

	idle := h.client()
	idle.mustPing()
	h.onLoop(h.expireIdleClients)
	log.line(t, "level=DEBUG", "client connection closed", "connection=2", "reason=idle_timeout")

	rejectEachRequest(h)
	refused := h.client()
	refused.send(lookCommand("b")...)
	refused.readLine()
	log.line(t, "request completed", "id=b", "reply=BUS", "reason=quota_exceeded")
	if _, err := refused.Write([]byte("junk\r\n")); err != nil {
		t.Fatal(err)
	}
	refused.readLine()
	_ = refused.Close()
	log.line(t, "client connection closed", "connection=3", "reason=protocol_error")

	h.onLoop(func() { h.proxy.drain.timedOut = true })
	late := h.client()
	late.send(lookCommand("c")...)
	late.readLine()
	log.line(t, "request rejected", "id=c", "connection=4", "reason=shutting_down")
}

// TestKindOfNextAttempt guards what the trace says of why an attempt was made.
func TestKindOfNextAttempt(t *testing.T) {
	r := &request{}
	if got := kindOf(r); got != firstAttempt {
		t.Errorf("got %s", got)
	}
	r.attempts, r.inFlight = []*attempt{{}}, 1
	if got := kindOf(r); got != hedge {
		t.Errorf("beside another: %s", got)
	}
	if r.inFlight = 0; kindOf(r) != retry {
		t.Errorf("after another: %s", kindOf(r))
	}
}
