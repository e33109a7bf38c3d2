// Package netcalls holds calls on the program's sockets. Tests can replace those in Calls to inject failures. The
// package also classifies the errors of the calls, and retries calls that failed for a transient reason.
package netcalls

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Conn holds the methods of a TCP connection that the program uses. It is a *net.TCPConn or a RetryingConn, except in
// tests.
type Conn interface {
	net.Conn
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// Calls holds calls that create, read and write sockets, and the pause between their retries. Tests replace them to
// inject failures. A Calls must not be changed once it is in use.
type Calls struct {
	Listen       func(address *net.TCPAddr) (*net.TCPListener, error)
	ListenPacket func(address *net.UDPAddr) (*net.UDPConn, error)
	Accept       func(listener *net.TCPListener) (Conn, error)
	// Dial connects to an endpoint.
	Dial func(address string, timeout time.Duration) (Conn, error)
	// DialContext connects to the discovery agent.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Write writes as much as fits into the send buffer of the socket, without blocking.
	Write       func(fd int, b []byte) (int, error)
	ReadPacket  func(conn *net.UDPConn, b []byte) (int, netip.AddrPort, error)
	WritePacket func(conn *net.UDPConn, b []byte, to netip.AddrPort) (int, error)
	// Sleep pauses between a failed call and its retry.
	Sleep func(time.Duration)
}

const agentDialTimeout = time.Second

// System returns the calls of the operating system.
func System() *Calls {
	return &Calls{
		Listen:       func(address *net.TCPAddr) (*net.TCPListener, error) { return net.ListenTCP("tcp", address) },
		ListenPacket: func(address *net.UDPAddr) (*net.UDPConn, error) { return net.ListenUDP("udp", address) },
		Accept:       accept,
		Dial:         dial,
		DialContext:  (&net.Dialer{Timeout: agentDialTimeout}).DialContext,
		Write:        syscall.Write,
		ReadPacket:   (*net.UDPConn).ReadFromUDPAddrPort,
		WritePacket:  (*net.UDPConn).WriteToUDPAddrPort,
		Sleep:        time.Sleep,
	}
}

// accept implements Calls.Accept.
func accept(listener *net.TCPListener) (Conn, error) {
	conn, err := listener.AcceptTCP()
	if err != nil {
		return nil, err // a nil *net.TCPConn in a Conn would not compare equal to nil
	}
	return conn, nil
}

// dial implements Calls.Dial.
func dial(address string, timeout time.Duration) (Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
