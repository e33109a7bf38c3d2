package proxy

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// connection is what the ingress needs of a TCP connection, a *net.TCPConn but for tests.
type connection interface {
	net.Conn
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// systemCalls are the calls that may fail for want of something on this machine. All sockets are made, read and
// written through them, and tests have them fail.
type systemCalls struct {
	listen       func(addr *net.TCPAddr) (*net.TCPListener, error)
	listenPacket func(addr *net.UDPAddr) (*net.UDPConn, error)
	accept       func(l *net.TCPListener) (connection, error)
	dial         func(addr string, timeout time.Duration) (connection, error)
	dialAgent    func(ctx context.Context, network, addr string) (net.Conn, error)
	write        func(fd int, b []byte) (int, error) // at once, what the socket takes
	readPacket   func(conn *net.UDPConn, b []byte) (int, netip.AddrPort, error)
	writePacket  func(conn *net.UDPConn, b []byte, to netip.AddrPort) (int, error)
	wait         func(time.Duration) // before a call that failed is made again
}

// realCalls are those of the system.
func realCalls() systemCalls {
	return systemCalls{
		listen:       func(addr *net.TCPAddr) (*net.TCPListener, error) { return net.ListenTCP("tcp", addr) },
		listenPacket: func(addr *net.UDPAddr) (*net.UDPConn, error) { return net.ListenUDP("udp", addr) },
		accept: func(l *net.TCPListener) (connection, error) {
			conn, err := l.AcceptTCP()
			if err != nil {
				return nil, err
			}
			return conn, nil
		},
		dial: func(addr string, timeout time.Duration) (connection, error) {
			conn, err := net.DialTimeout("tcp", addr, timeout)
			if err != nil {
				return nil, err
			}
			return conn.(*net.TCPConn), nil
		},
		dialAgent:   (&net.Dialer{Timeout: agentDialTimeout}).DialContext,
		write:       syscall.Write,
		readPacket:  (*net.UDPConn).ReadFromUDPAddrPort,
		writePacket: (*net.UDPConn).WriteToUDPAddrPort,
		wait:        time.Sleep,
	}
}

const (
	agentDialTimeout = time.Second
	// How long a call that failed for want of something is left alone.
	scarceRetry = 5 * time.Millisecond
	// How long the process tries to get its sockets and its configuration as it starts. It has 30 s to be ready.
	startRetryFor = 20 * time.Second
)

// isAny tells whether an error comes from one of some error numbers.
func isAny(err error, numbers ...syscall.Errno) bool {
	var number syscall.Errno
	if !errors.As(err, &number) {
		return false
	}
	for _, n := range numbers {
		if n == number {
			return true
		}
	}
	return false
}

// outOfDescriptors tells whether a call failed since this process, or the machine, has none left.
func outOfDescriptors(err error) bool { return isAny(err, syscall.EMFILE, syscall.ENFILE) }

// scarce tells whether a call failed for want of something that this machine may have again in a moment. A
// connection on which a read or a write has failed so is as good as before.
func scarce(err error) bool {
	return outOfDescriptors(err) || isAny(err, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN, syscall.EINTR)
}

// Transient tells whether a call that the process needs for its start may succeed when it is made again.
func Transient(err error) bool {
	return scarce(err) || isAny(err, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EIO, syscall.ENETDOWN)
}

// ownFault tells whether a dial failed for something on this side, which tells nothing of the backend: no descriptor,
// port, buffer or route, or a connection that this machine gave up. A host that can't be reached, a dial that is
// refused or gets no answer may well be the backend's.
func ownFault(err error) bool {
	return scarce(err) || isAny(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.ENETUNREACH, syscall.ENETDOWN,
		syscall.ECONNABORTED, syscall.EPERM, syscall.EACCES)
}

// RetryAtStart makes a call that the process needs for its start until it succeeds, fails for good or has failed for
// too long, or the process is to end.
func RetryAtStart[T any](ctx context.Context, call func() (T, error)) (T, error) {
	return retryAtStart(ctx, call, time.Sleep, time.Now)
}

func retryAtStart[T any](ctx context.Context, call func() (T, error), wait func(time.Duration),
	now func() time.Time,
) (T, error) {
	for until := now().Add(startRetryFor); ; wait(scarceRetry) {
		made, err := call()
		if err == nil || !Transient(err) || ctx.Err() != nil || !now().Before(until) {
			return made, err
		}
	}
}

// steadyConn is a connection whose reads and writes are made again where they failed for want of something: that
// ends no connection. Deadlines hold meanwhile.
type steadyConn struct {
	connection
	wait func(time.Duration)
}

func (c steadyConn) Read(b []byte) (int, error) {
	for {
		n, err := c.connection.Read(b)
		if n > 0 || err == nil || !scarce(err) {
			return n, err
		}
		c.wait(scarceRetry)
	}
}

func (c steadyConn) Write(b []byte) (written int, err error) {
	for {
		n, err := c.connection.Write(b[written:])
		written += n
		if err == nil || !scarce(err) || errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		c.wait(scarceRetry)
	}
}
