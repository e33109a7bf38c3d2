package proxy

import "fmt"

// maxWarningsPerSecond is the maximum number of warnings logged within one second of event loop time.
const maxWarningsPerSecond = 5

// warningLimiter counts the warnings of the current second, so that those beyond the limit are dropped.
type warningLimiter struct {
	second int64
	count  int // warnings within that second
}

// warn logs a warning, or drops it if maxWarningsPerSecond were logged within the current second. Event loop only.
func (s *services) warn(message string, args ...any) {
	if second := int64(s.loop.Now()); second != s.warnings.second {
		s.warnings = warningLimiter{second: second}
	}
	if s.warnings.count++; s.warnings.count <= maxWarningsPerSecond {
		s.log.Warn(message, args...)
	}
}

// logPanic logs a panic in the handler of an event, or in the reader of a client. The limit on warnings applies.
func (s *services) logPanic(cause any, stack []byte) {
	s.warn("panic in event handler", "panic", fmt.Sprint(cause), "stack", string(stack))
}
