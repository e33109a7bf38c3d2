package proxy

import (
	"bytes"
	"io"
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

// Guards the trace that cmd/audit reads: what was sent, how it ended, the answer; and nothing of it in a
// usual log.
func TestTrace(t *testing.T) {
	for level, want := range map[slog.Level]string{
		slog.LevelDebug: `(?s)msg=taken id=a connection=1 came=\d.* at=\d.* deadline=\d.*\n.*msg=sent id=a try=0 kind=first class=look effect=safe scope=all ttl=0 backend=s0 .* read=\d.* at=\d.* left=false\n` +
			`.*msg=ended id=a try=0 status=ok .*\n.*msg=answered id=a word=value `,
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
		io.WriteString(b, valueReply)
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
