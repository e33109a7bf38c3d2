package netcalls

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// RetryInterval is the pause between a failed call and its retry.
	RetryInterval = 5 * time.Millisecond
	// startRetryTimeout limits the time for which RetryAtStart repeats one call. The process has to be ready 30 s
	// after its start.
	startRetryTimeout = 20 * time.Second
)

// RetryAtStart repeats a call that the process needs for its start until the call succeeds. It gives up with the last
// error if that error is not transient, if startRetryTimeout has passed, or if ctx has ended. It sleeps between the
// calls.
func RetryAtStart[T any](ctx context.Context, sleep func(time.Duration), call func() (T, error)) (T, error) {
	return retryAtStart(ctx, sleep, time.Now, call)
}

// retryAtStart is RetryAtStart with a clock that tests can replace.
func retryAtStart[T any](ctx context.Context, sleep func(time.Duration), now func() time.Time, call func() (T, error)) (T, error) {
	for giveUpAt := now().Add(startRetryTimeout); ; sleep(RetryInterval) {
		result, err := call()
		if err == nil || !IsTransient(err) || ctx.Err() != nil || !now().Before(giveUpAt) {
			return result, err
		}
	}
}

// RetryingConn is a connection that retries reads and writes that fail because of a shortage, so that a shortage does
// not end the connection. Deadlines also apply to the retries.
type RetryingConn struct {
	Conn
	// Sleep pauses before a read or a write is retried.
	Sleep func(time.Duration)
}

// Read implements net.Conn.
func (c RetryingConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || err == nil || !IsShortage(err) {
			return n, err
		}
		c.Sleep(RetryInterval)
	}
}

// Write implements net.Conn.
func (c RetryingConn) Write(b []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(b[written:])
		written += n
		if err == nil || !IsShortage(err) || errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		c.Sleep(RetryInterval)
	}
}
