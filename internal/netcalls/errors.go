package netcalls

import (
	"errors"
	"slices"
	"syscall"
)

// isErrno tells whether an error comes from one of some error numbers.
func isErrno(err error, numbers ...syscall.Errno) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(numbers, number)
}

// IsOutOfDescriptors tells whether a call failed as this process, or the machine, has no file descriptor left.
func IsOutOfDescriptors(err error) bool { return isErrno(err, syscall.EMFILE, syscall.ENFILE) }

// IsShortage tells whether a call failed for want of something that this machine may have again in a moment.
// A connection on which a read or a write has failed so is as good as before.
func IsShortage(err error) bool {
	return IsOutOfDescriptors(err) || isErrno(err, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR)
}

// IsTransient tells whether a call that the process needs for its start may succeed when it is made again.
func IsTransient(err error) bool {
	return IsShortage(err) || isErrno(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EIO, syscall.ENETDOWN)
}

// IsLocalFault tells whether a dial failed for something on this side, which tells nothing of the endpoint: no
// descriptor, port, buffer or route, or a connection that this machine gave up. A host that can't be reached, a
// dial that is refused or gets no answer may well be the endpoint's fault.
func IsLocalFault(err error) bool {
	return IsShortage(err) || isErrno(
		err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.ECONNABORTED, syscall.EPERM, syscall.EACCES,
	)
}
