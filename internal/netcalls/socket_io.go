package netcalls

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Except for WriteAll, the functions of this file do not block, and ignore the deadlines of the connection. So the
// event loop can call them on connections whose deadlines other goroutines own.

// progressCheckInterval limits how long one write blocks before WriteAll checks whether any bytes were written.
const progressCheckInterval = time.Second

// WriteAll writes all of b. About once per second, or per stallTimeout if that is shorter, it checks its progress. Each
// check tries to write once more, as the time may have passed because this process was stopped for a while. It calls
// onProgress if bytes were written since the last check and some are left. Once stallTimeout has passed without
// progress, WriteAll gives up with an error that wraps os.ErrDeadlineExceeded. It leaves no write deadline on the
// connection.
func (c *Calls) WriteAll(conn net.Conn, raw syscall.RawConn, b []byte, stallTimeout time.Duration, onProgress func()) error {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }() // fails only on a closed connection
	lastProgress := time.Now()
	for {
		// If setting the deadline fails, so does the write.
		_ = conn.SetWriteDeadline(time.Now().Add(min(progressCheckInterval, stallTimeout)))
		n, err := conn.Write(b)
		if b = b[n:]; err == nil {
			return nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		extra, tryErr := c.TryWrite(raw, b)
		if tryErr != nil {
			return tryErr
		}
		b = b[extra:]
		switch {
		case len(b) == 0:
			return nil
		case n+extra > 0:
			lastProgress = time.Now()
			onProgress()
		case time.Since(lastProgress) >= stallTimeout:
			return err
		}
	}
}

// TryWrite writes as much of b as the socket accepts without blocking. It returns 0 without an error if the socket
// accepts nothing, or if the call fails because of a shortage. It ignores the deadline of the connection.
func (c *Calls) TryWrite(raw syscall.RawConn, b []byte) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) { n, err = c.Write(int(fd), b) })
	switch {
	case controlErr != nil:
		return 0, controlErr
	case IsShortage(err):
		return 0, nil
	}
	return max(n, 0), err
}

// TryRead reads the bytes that have arrived on a connection, without blocking. It returns EAGAIN if there are none,
// EINTR if the call was interrupted, and io.EOF at the end of the stream.
func TryRead(raw syscall.RawConn, b []byte) (n int, err error) {
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT)
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err == nil && n == 0:
		return 0, io.EOF
	}
	return max(n, 0), err
}

// NoDataPending reports whether a connection is open and has neither unread bytes nor a pending end of the stream or
// error.
func NoDataPending(raw syscall.RawConn) bool {
	var buf [1]byte
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
}

// The TCP states of a connection that the peer has closed or reset, as numbered in the kernel's tcp_states.h.
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// tcpStateMask selects the lowest byte of the int that is read from TCP_INFO. On a little-endian machine, this is the
// first byte of TCP_INFO: the state of the connection.
const tcpStateMask = 0xff

// ClosedByPeer reports whether the peer has closed or reset a connection, even if bytes that it sent before are still
// unread.
func ClosedByPeer(raw syscall.RawConn) (closed bool) {
	controlErr := raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err != nil {
			return
		}
		switch info & tcpStateMask {
		case tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
			closed = true
		}
	})
	return controlErr == nil && closed // Control fails on a connection that this side has closed
}
