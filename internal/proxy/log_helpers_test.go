package proxy

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
)

// lockedBuffer is a log that a test reads while the proxy may be writing to it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// recordLog records the log of a proxy at debug level.
func recordLog(h *harness) *lockedBuffer {
	log := &lockedBuffer{}
	h.proxy.log = slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	return log
}

// awaitLine waits for a line of the log that contains all of some texts.
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
		t.Fatalf("no line with %q in\n%s", texts, l.text())
	}
}

// text is what was logged so far.
func (l *lockedBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
