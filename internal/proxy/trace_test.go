package proxy

import (
	"bytes"
	"log/slog"
	"regexp"
	"sync"
	"testing"
)

// lockedBuffer is a log that tests read once the ingress has ended.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards the trace that cmd/audit reads: each attempt, how it ended, the reply; and nothing of it at the
// usual level.
func TestTrace(t *testing.T) {
	for level, want := range map[slog.Level]string{
		slog.LevelDebug: `(?s)msg="request accepted" id=a connection=1 arrived=\d.* at=\d.* deadline=\d.*\n` +
			`.*msg="attempt sent" id=a attempt=0 kind=first class=look idempotency=idempotent dedup_scope=all ` +
			`idempotency_window=0 endpoint=s0 .* arrived=\d.* at=\d.* client_closed=false\n` +
			`.*msg="attempt ended" id=a attempt=0 status=ok .*\n.*msg="request completed" id=a reply=value `,
		slog.LevelInfo: `^$`,
	} {
		addr, conns := listenBackend(t)
		var log lockedBuffer
		r := startProxy(t, testConfig(addr), func(r *harness) {
			sendEachRequest(0)(r)
			r.proxy.log = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: level}))
		})
		c := r.client()
		c.send(lookCommand("a")...)
		b := receive(t, conns)
		b.readCommand()
		b.write(valueReply)
		c.wantValue("it")
		receive(t, r.decider.outcomes)
		log.mu.Lock()
		got := regexp.MustCompile(`(?m)^.*level=(WARN|INFO).*\n`).ReplaceAllString(log.b.String(), "")
		log.mu.Unlock()
		if !regexp.MustCompile(want).MatchString(got) {
			t.Errorf("at %v: got %q", level, got)
		}
	}
}
