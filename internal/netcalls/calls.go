// Package netcalls wraps the system calls on the program's sockets, so that tests can have them fail. It classifies
// their errors, and retries calls that failed for a shortage on this machine.
package netcalls

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// Conn is what the program needs of a TCP connection, a *net.TCPConn but for tests.
type Conn interface {
	net.Conn
	CloseWrite() error
	SyscallConn() (syscall.RawConn, error)
}

// Calls are the calls that may fail for a shortage on this machine. All sockets are made, read and written
// through them, and tests have them fail. A Calls must not be changed once it is in use.
type Calls struct {
	Listen       func(address *net.TCPAddr) (*net.TCPListener, error)
	ListenPacket func(address *net.UDPAddr) (*net.UDPConn, error)
	Accept       func(listener *net.TCPListener) (Conn, error)
	// Dial connects to an endpoint.
	Dial func(address string, timeout time.Duration) (Conn, error)
	// DialContext connects to the discovery agent.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Write writes at once what the socket has room for.
	Write       func(fd int, b []byte) (int, error)
	ReadPacket  func(conn *net.UDPConn, b []byte) (int, netip.AddrPort, error)
	WritePacket func(conn *net.UDPConn, b []byte, to netip.AddrPort) (int, error)
	// Sleep waits before a call that failed is made again.
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

func accept(listener *net.TCPListener) (Conn, error) {
	conn, err := listener.AcceptTCP()
	if err != nil {
		return nil, err // and no Conn that holds a nil *net.TCPConn
	}
	return conn, nil
}

func dial(address string, timeout time.Duration) (Conn, error) {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}
