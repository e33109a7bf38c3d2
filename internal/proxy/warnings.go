package proxy

import "fmt"

const maxWarningsPerSecond = 5

// warningLimiter bounds how often faults of others are logged.
type warningLimiter struct {
	second int64
	count  int // within the second
}

// warn logs a fault of somebody else, unless there were many within this second. Loop only.
func (p *Proxy) warn(message string, args ...any) {
	if second := int64(p.loop.Now()); second != p.warnings.second {
		p.warnings = warningLimiter{second: second}
	}
	if p.warnings.count++; p.warnings.count <= maxWarningsPerSecond {
		p.log.Warn(message, args...)
	}
}

// logPanic logs a panic that has ended an event.
func (p *Proxy) logPanic(cause any, stack []byte) {
	p.warn("event failed", "panic", fmt.Sprint(cause), "stack", string(stack))
}
