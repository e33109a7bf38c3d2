package netcalls

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Reads, writes and looks at sockets that do not wait. The event loop makes them on connections whose deadlines belong
// to other goroutines.

// progressCheckInterval is how long one write waits before it is looked at whether the other end has taken anything.
const progressCheckInterval = time.Second

// WriteAll writes all of b, for as long as the other end takes some of it within each stallTimeout; onProgress is
// called when it has. No deadline outlives it. A deadline that has passed while this process stood still is no stall:
// the socket is written once more before that is returned, as an error that is os.ErrDeadlineExceeded.
func (c *Calls) WriteAll(conn net.Conn, raw syscall.RawConn, b []byte, stallTimeout time.Duration, onProgress func()) error {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }() // it fails on a closed connection alone
	lastProgress := time.Now()
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(min(progressCheckInterval, stallTimeout))) // where it fails, so does the write
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

// TryWrite writes what the socket takes without waiting, which may be nothing, whatever the deadline of the
// connection.
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

// TryRead reads what has come on a connection, without waiting; io.EOF at its end.
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

// NoDataPending reports whether a connection is open and no byte waits on it.
func NoDataPending(raw syscall.RawConn) bool {
	var buf [1]byte
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return controlErr == nil && (errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR))
}

// The states of a connection that its other end has closed, as the kernel numbers them (tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// tcpStateMask leaves the state of a connection, which is the first byte of its TCP_INFO.
const tcpStateMask = 0xff

// ClosedByPeer reports whether the other end has closed a connection, or reset it, also while bytes that it has sent
// before are unread here.
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
	return controlErr == nil && closed // it fails on a connection that this side has closed
}
