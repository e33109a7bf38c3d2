package proxy

import (
	"log/slog"
	"regexp"
	"testing"
)

// TestTraceLogsRequestLifecycle checks the trace that cmd/audit reads. At debug level it holds the request, each attempt
// and its end, and the reply. At info level none of it is logged.
func TestTraceLogsRequestLifecycle(t *testing.T) {
	for level, want := range map[slog.Level]string{
		slog.LevelDebug: `(?s)msg="request accepted" id=a connection=1 arrived=\d.* at=\d.* deadline=\d.*\n` +
			`.*msg="attempt sent" id=a attempt=0 kind=first class=look idempotency=idempotent dedup_scope=all ` +
			`idempotency_window=0 endpoint=s0 .* arrived=\d.* at=\d.* client_closed=false\n` +
			`.*msg="attempt ended" id=a attempt=0 status=ok .*\n.*msg="request completed" id=a reply=value `,
		slog.LevelInfo: `^$`,
	} {
		addr, conns := listenEndpoint(t)
		var log lockedBuffer
		h := startProxy(t, testConfig(addr), func(h *harness) {
			sendEachRequest(0)(h)
			h.proxy.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: level}))
		})
		c := h.client()
		c.send(lookCommand("a")...)
		b := receive(t, conns)
		b.readCommand()
		b.write(valueReply)
		c.wantValue("the request")
		receive(t, h.decider.outcomes)
		got := regexp.MustCompile(`(?m)^.*level=(WARN|INFO).*\n`).ReplaceAllString(log.text(), "")
		if !regexp.MustCompile(want).MatchString(got) {
			t.Errorf("at level %v the trace is %q, want that of request a at debug level and none at info level", level, got)
		}
	}
}
