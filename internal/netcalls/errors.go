package netcalls

import (
	"errors"
	"slices"
	"syscall"
)

// isErrno reports whether an error comes from one of some error numbers.
func isErrno(err error, numbers ...syscall.Errno) bool {
	var number syscall.Errno
	return errors.As(err, &number) && slices.Contains(numbers, number)
}

// IsOutOfDescriptors reports whether a call failed as this process, or the machine, has no file descriptor left.
func IsOutOfDescriptors(err error) bool { return isErrno(err, syscall.EMFILE, syscall.ENFILE) }

// IsShortage reports whether a call failed for want of something that this machine may have again in a moment.
// A connection on which a read or a write has failed so can be used as before.
func IsShortage(err error) bool {
	return IsOutOfDescriptors(err) || isErrno(err, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR)
}

// IsTransient reports whether a call that the process needs for its start may succeed when it is made again.
func IsTransient(err error) bool {
	return IsShortage(err) || isErrno(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EIO, syscall.ENETDOWN)
}

// IsLocalFault reports whether a dial failed for something on this side, which says nothing about the endpoint: no
// descriptor, port, buffer or route, or a connection that this machine gave up. A host that can't be reached, a
// dial that is refused or times out may well be the endpoint's fault.
func IsLocalFault(err error) bool {
	return IsShortage(err) || isErrno(
		err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.ECONNABORTED, syscall.EPERM, syscall.EACCES,
	)
}
