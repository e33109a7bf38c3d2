package proxy

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/redcon"
)

// testConn is a connection on which a test is the client or the endpoint.
type testConn struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func newTestConn(t *testing.T, conn net.Conn) *testConn {
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) // fails on a closed connection, as reads do
	t.Cleanup(func() { _ = conn.Close() })            // the test may have closed it
	return &testConn{conn, t, bufio.NewReader(conn)}
}

// write sends a text without encoding it.
func (c *testConn) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Errorf("write: %v", err)
	}
}

// send encodes and sends a command.
func (c *testConn) send(args ...string) {
	c.t.Helper()
	c.write(encodeCommand(args...))
}

// mustClose closes the connection and reports an error as a failure of the test.
func (c *testConn) mustClose() {
	c.t.Helper()
	if err := c.Close(); err != nil {
		c.t.Errorf("close: %v", err)
	}
}

// closeWrite shuts down the sending side of the connection.
func (c *testConn) closeWrite() {
	c.t.Helper()
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		c.t.Errorf("shutdown of the sending side: %v", err)
	}
}

// disconnectKind is the way in which a client disconnects.
type disconnectKind string

const (
	byClose disconnectKind = "closed"
	byReset disconnectKind = "reset"
)

// disconnect closes or resets the connection.
func (c *testConn) disconnect(kind disconnectKind) {
	c.t.Helper()
	if kind == byReset {
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			c.t.Error(err)
		}
	}
	c.mustClose()
}

// readLine reads a line and returns it without its line end. If the connection ends or times out first, it returns the
// bytes that came before, which may be none.
func (c *testConn) readLine() string {
	line, _ := c.reader.ReadString('\n') // the bytes before an error are returned
	return strings.TrimRight(line, "\r\n")
}

// readCommand reads a command and returns its arguments. It returns nil if the connection ends or times out first, or if
// the first line is malformed.
func (c *testConn) readCommand() (args []string) {
	n, err := strconv.Atoi(strings.TrimPrefix(c.readLine(), "*"))
	if err != nil {
		return nil
	}
	for range n {
		size, _ := strconv.Atoi(strings.TrimPrefix(c.readLine(), "$")) // if the connection has ended, the read below fails
		arg := make([]byte, size+len("\r\n"))
		if _, err := io.ReadFull(c.reader, arg); err != nil {
			return nil
		}
		args = append(args, string(arg[:size]))
	}
	return args
}

// wantLines checks the next lines, which are given without line ends. An empty string stands for the end of the
// connection, but an empty line or a timeout passes too.
func (c *testConn) wantLines(want ...string) {
	c.t.Helper()
	for i, line := range want {
		if got := c.readLine(); got != line {
			c.t.Errorf("line %d is %q, want %q", i, got, line)
		}
	}
}

// wantNoCommand checks that no complete command arrives before the connection ends or times out.
func (c *testConn) wantNoCommand() {
	c.t.Helper()
	if got := c.readCommand(); got != nil {
		c.t.Errorf("the endpoint got %.200q, want no command", got)
	}
}

// mustPing sends PING and fails the test unless the reply is +PONG.
func (c *testConn) mustPing() {
	c.t.Helper()
	c.send("PING")
	if got := c.readLine(); got != "+PONG" {
		c.t.Fatalf("PING got %q, want +PONG", got)
	}
}

// wantValue checks that the next reply is "v", the value that valueReply holds. Otherwise, the test error contains
// replyName.
func (c *testConn) wantValue(replyName string) {
	c.t.Helper()
	if length, value := c.readLine(), c.readLine(); length != "$1" || value != "v" {
		c.t.Errorf("%s: got %q, %q, want the value v", replyName, length, value)
	}
}

// valueReply is an endpoint's reply that holds a value and no load report.
const valueReply = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

// mustDial returns a new connection to an address.
func mustDial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// rawConnOf returns the raw connection of a TCP connection.
func rawConnOf(t *testing.T, conn net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// encodeCommand returns a command in RESP, as clients send it.
func encodeCommand(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, arg := range args {
		b = redcon.AppendBulkString(b, arg)
	}
	return string(b)
}

// listenLoopback listens on a free port until the test ends.
func listenLoopback(t *testing.T, config net.ListenConfig) net.Listener {
	t.Helper()
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // the test may have closed it
	return listener
}

// listenEndpoint listens as an endpoint. It returns the address, and a channel that receives the accepted connections.
func listenEndpoint(t *testing.T) (addr string, conns chan *testConn) {
	t.Helper()
	listener := listenLoopback(t, net.ListenConfig{})
	conns = make(chan *testConn, eventBufferSize)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- newTestConn(t, conn)
		}
	}()
	return listener.Addr().String(), conns
}

// acceptOne returns the next connection that a listener accepts.
func acceptOne(t *testing.T, listener net.Listener) *testConn {
	t.Helper()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return newTestConn(t, conn)
}
