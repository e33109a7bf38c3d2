package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/discovery/discoverytest"
	"reedlead/internal/netcalls"
	"reedlead/internal/peerlink"
	"reedlead/policy"
)

// injectedFailures makes the first calls of a function fail with an error.
type injectedFailures struct {
	remaining atomic.Int32 // number of calls that will still fail
	err       error
}

// newInjectedFailures returns failures of the first n calls. The error wraps the error number in the same way as the
// errors of package net.
func newInjectedFailures(n int, errno syscall.Errno, call string) *injectedFailures {
	f := &injectedFailures{err: &net.OpError{Op: call, Net: "tcp", Err: os.NewSyscallError(call, errno)}}
	f.remaining.Store(int32(n))
	return f
}

// next returns the error of the next call, or nil if it must not fail.
func (f *injectedFailures) next() error {
	if f.remaining.Add(-1) >= 0 {
		return f.err
	}
	return nil
}

// faultyConn is a connection whose first reads and writes fail. The others pass at most partSize bytes at a time.
type faultyConn struct {
	netcalls.Conn
	read, write *injectedFailures
	partSize    int // in bytes; 0 for no limit
}

func (c *faultyConn) firstPart(b []byte) []byte {
	if c.partSize > 0 && len(b) > c.partSize {
		return b[:c.partSize]
	}
	return b
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.read != nil {
		if err := c.read.next(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(c.firstPart(b))
}

func (c *faultyConn) Write(b []byte) (n int, err error) {
	for n < len(b) {
		if c.write != nil {
			if err := c.write.next(); err != nil {
				return n, err
			}
		}
		m, err := c.Conn.Write(c.firstPart(b[n:]))
		if n += m; err != nil {
			return n, err
		}
	}
	return n, nil
}

// shortenRetryPauses shortens the pause before a call is retried to 1 µs.
func shortenRetryPauses(h *harness) {
	h.proxy.calls.Sleep = func(time.Duration) { time.Sleep(time.Microsecond) }
}

// replyToEachCommand replies with a value to each command on the connections that an endpoint accepts.
func (h *harness) replyToEachCommand(conns chan *testConn) {
	go func() {
		for b := range conns {
			go func() {
				for n := 0; b.readCommand() != nil; n++ {
					_, _ = fmt.Fprintf(b, "*3\r\n$1\r\nv\r\n:%d\r\n$-1\r\n", n)
				}
			}()
		}
	}()
}

// TestAcceptErrorsAreRetried checks that the gateway continues to accept connections after a temporary error of accept,
// and does not count a failed accept as an open connection.
func TestAcceptErrorsAreRetried(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS,
		syscall.ENOMEM, syscall.EINTR, syscall.EPROTO, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			fault := newInjectedFailures(3, errno, "accept")
			h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
				shortenRetryPauses(h)
				rejectEachRequest(h)
				accept := h.proxy.calls.Accept
				h.proxy.calls.Accept = func(l *net.TCPListener) (netcalls.Conn, error) {
					if err := fault.next(); err != nil {
						return nil, err
					}
					return accept(l)
				}
			})
			for i := range 3 {
				c := h.client()
				c.send(lookCommand(fmt.Sprint("a", i))...)
				if got := c.readLine(); got != "-BUSY 500" {
					t.Errorf("the client got %q, want -BUSY 500", got)
				}
				_ = c.Close()
			}
			h.eventually("all connections are closed", h.allClientsClosed)
		})
	}
}

// TestListenErrorsAtStart checks that a starting process retries the calls that open its sockets if they fail
// temporarily.
func TestListenErrorsAtStart(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			calls := netcalls.System()
			calls.Sleep = func(time.Duration) {}
			tcp, udp := newInjectedFailures(3, errno, "bind"), newInjectedFailures(3, errno, "socket")
			listen, listenPacket := calls.Listen, calls.ListenPacket
			calls.Listen = func(a *net.TCPAddr) (*net.TCPListener, error) {
				if err := tcp.next(); err != nil {
					return nil, err
				}
				return listen(a)
			}
			calls.ListenPacket = func(a *net.UDPAddr) (*net.UDPConn, error) {
				if err := udp.next(); err != nil {
					return nil, err
				}
				return listenPacket(a)
			}
			p, err := open(t.Context(), peerConfig(), slog.New(slog.DiscardHandler), calls)
			if err != nil {
				t.Fatal(err)
			}
			p.close()
		})
	}
}

// TestDialErrors checks that a dial that fails because of a local fault is retried, and that the attempt ends as NotSent
// if the fault lasts. After another error, the attempt must end as ConnectFailed, as the endpoint may be the cause.
func TestDialErrors(t *testing.T) {
	for _, tc := range []struct {
		errno syscall.Errno
		times int
		want  policy.AttemptStatus
	}{
		{syscall.ENOBUFS, 3, policy.OK},
		{syscall.EADDRNOTAVAIL, 3, policy.OK},
		{syscall.ENETUNREACH, 3, policy.OK},
		{syscall.EMFILE, 3, policy.OK},
		{syscall.ENFILE, 3, policy.OK},
		{syscall.ECONNABORTED, 3, policy.OK},
		{syscall.EINTR, 3, policy.OK},
		{syscall.EAGAIN, 3, policy.OK},
		{syscall.ENOBUFS, 1 << 30, policy.NotSent},
		{syscall.EADDRNOTAVAIL, 1 << 30, policy.NotSent},
		{syscall.ENETUNREACH, 1 << 30, policy.NotSent},
		{syscall.EMFILE, 1 << 30, policy.NotSent},
		{syscall.ECONNREFUSED, 1, policy.ConnectFailed},
		{syscall.ETIMEDOUT, 1, policy.ConnectFailed},
		{syscall.EHOSTUNREACH, 1, policy.ConnectFailed},
		{syscall.ECONNRESET, 1, policy.ConnectFailed},
	} {
		t.Run(fmt.Sprint(tc.errno, " ", tc.times), func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			fault := newInjectedFailures(tc.times, tc.errno, "connect")
			h := startProxy(t, testConfig(addr), func(h *harness) {
				shortenRetryPauses(h)
				sendEachRequest(0)(h)
				h.beforeDial(func(string) error { return fault.next() })
				if tc.times > 3 {
					h.proxy.endpoints.localFaultRetryTimeout = time.Millisecond
				} else {
					h.proxy.endpoints.localFaultRetryTimeout = testTimeout
				}
			})
			h.replyToEachCommand(conns)
			c := h.client()
			c.send(lookCommand("a")...)
			h.wantOutcome(tc.want)
			h.onLoop(func() {
				e, open := h.proxy.endpoints.byID["s0"], h.proxy.endpoints.openConns
				if e.pendingDials != 0 || len(e.waiting) != 0 || open != len(e.idle) {
					t.Errorf("%d pending dials, %d waiting attempts, %d open connections; want none pending or waiting, and all idle", e.pendingDials, len(e.waiting), open)
				}
			})
		})
	}
}

// TestTransientReadAndWriteErrors checks that requests succeed despite temporary errors of reads and writes, and
// also when commands and replies pass in small parts.
func TestTransientReadAndWriteErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EINTR, syscall.EAGAIN, syscall.ENOBUFS, syscall.ENOMEM} {
		for _, partSize := range []int{1, 2, 3, 7, 64, 0} {
			t.Run(fmt.Sprint(errno, " ", partSize), func(t *testing.T) {
				addr, conns := listenEndpoint(t)
				h := startProxy(t, testConfig(addr), func(h *harness) {
					shortenRetryPauses(h)
					sendEachRequest(0)(h)
					failReadsAndWrites(h, errno, partSize)
				})
				h.replyToEachCommand(conns)
				c := h.client()
				for i := range 3 {
					c.send(lookCommand(fmt.Sprint("a", i))...)
					if o := receive(t, h.decider.outcomes); o.Status != policy.OK {
						t.Fatalf("got the outcome %+v, want OK", o)
					}
					c.wantValue("the client's reply")
				}
			})
		}
	}
}

// failReadsAndWrites makes calls fail: the first five reads and the first five blocking writes of each connection, and
// every second non-blocking write. The other calls read or write at most partSize bytes; 0 stands for no limit.
func failReadsAndWrites(h *harness, errno syscall.Errno, partSize int) {
	faulty := func(conn netcalls.Conn) netcalls.Conn {
		return &faultyConn{conn, newInjectedFailures(5, errno, "read"), newInjectedFailures(5, errno, "write"), partSize}
	}
	wrapConns(h, faulty)
	var calls atomic.Int32
	h.proxy.calls.Write = func(fd int, b []byte) (int, error) {
		if calls.Add(1)%2 == 1 {
			return -1, errno
		}
		if partSize > 0 && len(b) > partSize {
			b = b[:partSize]
		}
		return syscall.Write(fd, b)
	}
}

// wrapConns wraps each client connection and each backend connection.
func wrapConns(h *harness, wrap func(netcalls.Conn) netcalls.Conn) {
	wrapClientConns(h, wrap)
	wrapBackendConns(h, wrap)
}

func wrapClientConns(h *harness, wrap func(netcalls.Conn) netcalls.Conn) {
	accept := h.proxy.calls.Accept
	h.proxy.calls.Accept = func(l *net.TCPListener) (netcalls.Conn, error) {
		conn, err := accept(l)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
}

func wrapBackendConns(h *harness, wrap func(netcalls.Conn) netcalls.Conn) {
	dial := h.proxy.endpoints.dial
	h.proxy.endpoints.dial = func(addr string) (netcalls.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
}

// TestConnectionErrors checks the consequences of read errors that end a connection. An error on a client's connection
// must count as a disconnect of the client. An error on a backend connection must end the attempt as Reset, as the
// endpoint may have executed the command.
func TestConnectionErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		failAfterRead := func(conn netcalls.Conn) netcalls.Conn {
			return &failAfterReadConn{conn, newInjectedFailures(1, errno, "read").err}
		}
		t.Run("client, "+errno.Error(), func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAddress), func(h *harness) { wrapClientConns(h, failAfterRead) })
			h.client().send(lookCommand("a")...)
			if id := receive(t, h.decider.disconnected); id != "a" {
				t.Errorf("the client's disconnect was reported for request %q, want a", id)
			}
			h.eventually("all clients are closed and no request is open", func() bool { return h.allClientsClosed() && len(h.proxy.requests.byID) == 0 })
		})
		t.Run("endpoint, "+errno.Error(), func(t *testing.T) {
			addr, conns := listenEndpoint(t)
			h := startProxy(t, testConfig(addr), func(h *harness) {
				sendEachRequest(0)(h)
				wrapBackendConns(h, failAfterRead)
			})
			h.client().send(lookCommand("a")...)
			b := receive(t, conns)
			b.readCommand()
			_, _ = io.WriteString(b, "*3\r\n")
			h.wantOutcome(policy.Reset)
			h.eventually("all backend connections are closed", func() bool { return h.proxy.endpoints.openConns == 0 })
		})
	}
}

// failAfterReadConn is a connection whose reads return an error together with the bytes that they have read.
type failAfterReadConn struct {
	netcalls.Conn
	err error
}

func (c *failAfterReadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		return n, err
	}
	return n, c.err
}

// TestDatagramErrors checks that the link to the other gateways continues after reads and writes of datagrams have
// failed, and pauses after each failed read.
func TestDatagramErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNREFUSED, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.EINTR, syscall.EPERM,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			peer, address := listenUDP(t)
			var sleeps atomic.Int32
			h := startProxy(t, peerConfig(address), func(h *harness) {
				failDatagrams(h, errno)
				h.proxy.calls.Sleep = func(time.Duration) { sleeps.Add(1) }
			})
			h.onLoop(func() { h.proxy.SendToPeer(1, []byte("lost")); h.proxy.SendToPeer(1, []byte("there")) })
			buf := make([]byte, peerlink.MaxDatagramSize)
			n, _, err := peer.ReadFromUDP(buf)
			if err != nil || string(buf[:n]) != "there" {
				t.Errorf("the peer got %q, error %v, want \"there\"", buf[:n], err)
			}
			if _, err := peer.WriteToUDPAddrPort([]byte("back"), h.proxy.peers.LocalAddr()); err != nil {
				t.Fatal(err)
			}
			if m := receive(t, h.decider.messages); m.from != 1 || m.data != "back" {
				t.Errorf("the decision module got the message %+v, want \"back\" from gateway 1", m)
			}
			if n := sleeps.Load(); n != 3 {
				t.Errorf("%d pauses after 3 failed reads, want 3", n)
			}
		})
	}
}

// failDatagrams makes the first three reads and the first write of the link to the other gateways fail.
func failDatagrams(h *harness, errno syscall.Errno) {
	readFault, writeFault := newInjectedFailures(3, errno, "recvfrom"), newInjectedFailures(1, errno, "sendto")
	read, write := h.proxy.calls.ReadPacket, h.proxy.calls.WritePacket
	h.proxy.calls.ReadPacket = func(c *net.UDPConn, b []byte) (int, netip.AddrPort, error) {
		if err := readFault.next(); err != nil {
			return 0, netip.AddrPort{}, err
		}
		return read(c, b)
	}
	h.proxy.calls.WritePacket = func(c *net.UDPConn, b []byte, to netip.AddrPort) (int, error) {
		if err := writeFault.next(); err != nil {
			return 0, err
		}
		return write(c, b, to)
	}
}

// TestDiscoveryCallErrors checks that the endpoint list is polled again after dials to the agent have failed.
func TestDiscoveryCallErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{
		syscall.ENOBUFS, syscall.EMFILE, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EINTR,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			agent := discoverytest.NewScriptedAgent(t, func(string) []string { return []string{discoverytest.ListJSON(7, true, "s1", "in_service")} })
			cfg := testConfig()
			cfg.DiscoveryAddress = agent.Address()
			fault := newInjectedFailures(4, errno, "connect")
			h := startProxy(t, cfg, func(h *harness) {
				h.proxy.discovery.After = func(time.Duration) <-chan time.Time { return time.After(0) }
				dial := h.proxy.calls.DialContext
				h.proxy.calls.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
					if err := fault.next(); err != nil {
						return nil, err
					}
					return dial(ctx, network, addr)
				}
			})
			receive(t, h.decider.lists) // the list of the configuration
			if list := receive(t, h.decider.lists); len(list) != 1 || !strings.HasPrefix(list[0].ID, "s1") {
				t.Errorf("the decision module got the list %+v, want the endpoint s1", list)
			}
		})
	}
}
