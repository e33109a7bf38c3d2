package netcalls

import (
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"
)

// TestRetryAtStartGivesUp checks that RetryAtStart returns at once after an error that is not transient, and after
// startRetryTimeout during a shortage.
func TestRetryAtStartGivesUp(t *testing.T) {
	for _, tc := range []struct {
		name      string
		errno     syscall.Errno
		wantCalls int
		took      time.Duration
	}{
		{"not transient", syscall.EACCES, 1, 0},
		{"shortage beyond the timeout", syscall.ENFILE, int(startRetryTimeout/RetryInterval) + 1, startRetryTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			begun := time.Now()
			now, calls := begun, 0
			_, err := retryAtStart(
				t.Context(),
				func(d time.Duration) { now = now.Add(d) },
				func() time.Time { return now },
				func() (int, error) { calls++; return 0, tc.errno },
			)
			if !errors.Is(err, tc.errno) || calls != tc.wantCalls || now.Sub(begun) != tc.took {
				t.Errorf("got the error %v after %d calls in %v", err, calls, now.Sub(begun))
			}
		})
	}
}

// TestErrorClassification checks how error numbers are classified; see docs/endings.md.
func TestErrorClassification(t *testing.T) {
	for _, tc := range []struct {
		errno                                        syscall.Errno
		outOfDescriptors, shortage, transient, local bool
	}{
		{syscall.EMFILE, true, true, true, true},
		{syscall.ENFILE, true, true, true, true},
		{syscall.ENOBUFS, false, true, true, true},
		{syscall.ENOMEM, false, true, true, true},
		{syscall.EAGAIN, false, true, true, true},
		{syscall.EINTR, false, true, true, true},
		{syscall.EADDRINUSE, false, false, true, true},
		{syscall.EADDRNOTAVAIL, false, false, true, true},
		{syscall.EIO, false, false, true, false},
		{syscall.ENETDOWN, false, false, true, true},
		{syscall.ENETUNREACH, false, false, false, true},
		{syscall.ECONNABORTED, false, false, false, true},
		{syscall.EPERM, false, false, false, true},
		{syscall.EACCES, false, false, false, true},
		{syscall.ECONNREFUSED, false, false, false, false},
		{syscall.ECONNRESET, false, false, false, false},
		{syscall.ETIMEDOUT, false, false, false, false},
		{syscall.EHOSTUNREACH, false, false, false, false},
		{syscall.EPIPE, false, false, false, false},
	} {
		err := fmt.Errorf("wrapped: %w", tc.errno)
		if IsOutOfDescriptors(err) != tc.outOfDescriptors || IsShortage(err) != tc.shortage ||
			IsTransient(err) != tc.transient || IsLocalFault(err) != tc.local {
			t.Errorf("%v: out of descriptors %v, shortage %v, transient %v, local fault %v", tc.errno,
				IsOutOfDescriptors(err), IsShortage(err), IsTransient(err), IsLocalFault(err))
		}
	}
}
