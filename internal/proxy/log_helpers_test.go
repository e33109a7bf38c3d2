package proxy

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
)

// lockedBuffer is a log that a test can read while the proxy writes to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// recordLog makes the proxy log to a buffer at debug level.
func recordLog(h *harness) *lockedBuffer {
	log := &lockedBuffer{}
	h.proxy.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return log
}

// awaitLine waits for a log line that contains all of the given texts.
func (l *lockedBuffer) awaitLine(t *testing.T, texts ...string) {
	t.Helper()
	hasLine := func() bool {
		for line := range strings.Lines(l.text()) {
			missing := func(text string) bool { return !strings.Contains(line, text) }
			if !slices.ContainsFunc(texts, missing) {
				return true
			}
		}
		return false
	}
	if !waitFor(hasLine) {
		t.Fatalf("no log line contains all of %q:\n%s", texts, l.text())
	}
}

// text returns the log so far.
func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
