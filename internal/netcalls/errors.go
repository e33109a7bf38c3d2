package netcalls

import (
	"errors"
	"slices"
	"syscall"
)

// isErrno reports whether an error wraps one of the given error numbers.
func isErrno(err error, errnos ...syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// IsOutOfDescriptors reports whether a call failed because this process or the machine has no free file descriptor.
func IsOutOfDescriptors(err error) bool { return isErrno(err, syscall.EMFILE, syscall.ENFILE) }

// IsShortage reports whether a call was interrupted, or failed because this machine lacked a resource that may soon be
// available again. A connection stays usable after a read or a write that failed in this way.
func IsShortage(err error) bool {
	return IsOutOfDescriptors(err) || isErrno(err, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR)
}

// IsTransient reports whether a call that failed while the process starts may succeed when it is retried.
func IsTransient(err error) bool {
	return IsShortage(err) || isErrno(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EIO, syscall.ENETDOWN)
}

// IsLocalFault reports whether a dial failed for a reason on this machine, which says nothing about the endpoint. For
// example, there was no free descriptor or port, or this machine aborted the connection or did not permit it. An
// unreachable host, a refused dial and a timeout are not local faults, as the endpoint may be their cause.
func IsLocalFault(err error) bool {
	return IsShortage(err) || isErrno(
		err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.ECONNABORTED, syscall.EPERM, syscall.EACCES,
	)
}
