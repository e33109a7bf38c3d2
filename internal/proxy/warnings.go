package proxy

import "fmt"

const maxWarningsPerSecond = 5

// warningLimiter bounds how often faults of others are logged.
type warningLimiter struct {
	second int64
	count  int // within the second
}

// warn logs a fault of somebody else, unless there were many within this second. Loop only.
func (s *services) warn(message string, args ...any) {
	if second := int64(s.loop.Now()); second != s.warnings.second {
		s.warnings = warningLimiter{second: second}
	}
	if s.warnings.count++; s.warnings.count <= maxWarningsPerSecond {
		s.log.Warn(message, args...)
	}
}

// logPanic logs a panic that has ended an event.
func (s *services) logPanic(cause any, stack []byte) {
	s.warn("event failed", "panic", fmt.Sprint(cause), "stack", string(stack))
}
