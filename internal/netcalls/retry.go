package netcalls

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// RetryInterval is the pause before a call that failed for a shortage is made again.
	RetryInterval = 5 * time.Millisecond
	// startRetryTimeout is how long the process retries to get its sockets and its configuration as it starts.
	// It has 30 s to be ready.
	startRetryTimeout = 20 * time.Second
)

// RetryAtStart makes a call that the process needs for its start until it succeeds, fails with an error that is
// not transient or has failed for 20 s, or ctx has ended. It sleeps between two calls.
func RetryAtStart[T any](ctx context.Context, sleep func(time.Duration), call func() (T, error)) (T, error) {
	return retryAtStart(ctx, sleep, time.Now, call)
}

// retryAtStart is RetryAtStart with a clock.
func retryAtStart[T any](ctx context.Context, sleep func(time.Duration), now func() time.Time, call func() (T, error)) (T, error) {
	for giveUpAt := now().Add(startRetryTimeout); ; sleep(RetryInterval) {
		result, err := call()
		if err == nil || !IsTransient(err) || ctx.Err() != nil || !now().Before(giveUpAt) {
			return result, err
		}
	}
}

// RetryingConn is a connection whose reads and writes are made again where they failed for a shortage: that ends
// no connection. Deadlines hold meanwhile.
type RetryingConn struct {
	Conn
	// Sleep waits before a read or a write is made again.
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
