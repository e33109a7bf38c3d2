package proxy

import "fmt"

// maxWarningsPerSecond is how many warnings are logged within one second of event time.
const maxWarningsPerSecond = 5

// warningLimiter bounds how many warnings are logged in a second; further ones are dropped.
type warningLimiter struct {
	second int64
	count  int // within the second
}

// warn logs a warning, unless maxWarningsPerSecond were logged within this second. Event loop only.
func (s *services) warn(message string, args ...any) {
	if second := int64(s.loop.Now()); second != s.warnings.second {
		s.warnings = warningLimiter{second: second}
	}
	if s.warnings.count++; s.warnings.count <= maxWarningsPerSecond {
		s.log.Warn(message, args...)
	}
}

// logPanic logs a panic that has ended an event. It is dropped as other warnings are.
func (s *services) logPanic(cause any, stack []byte) {
	s.warn("event failed", "panic", fmt.Sprint(cause), "stack", string(stack))
}
