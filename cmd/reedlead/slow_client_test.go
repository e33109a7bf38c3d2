package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	slowValueSize  = 60_000 // bytes
	slowDeadlineMS = 15_000
	// Longer than 5 s, the write timeout of an earlier version, which dropped slow clients.
	readPause = 5500 * time.Millisecond
)

// sendBufferMax returns the size in bytes to which the system lets the send buffer of a socket grow.
func sendBufferMax(t *testing.T) (size int) {
	t.Helper()
	text, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	if err != nil {
		t.Fatal(err)
	}
	var minSize, defaultSize int
	if _, err := fmt.Sscan(string(text), &minSize, &defaultSize, &size); err != nil {
		t.Fatal(err)
	}
	return size
}

// startSlowClient sends requests for large values without waiting for replies, and reads nothing. It returns when the
// gateway has filled the client's socket.
func startSlowClient(t *testing.T, requests int) (io.Writer, *bufio.Reader) {
	t.Helper()
	p := startProgram(t, programConfig{endpoints: []string{serveValues(t, slowValueSize)}})
	conn := p.dial()
	var commands strings.Builder
	for i := range requests {
		commands.WriteString(requestCommand(fmt.Sprintf("q%d", i), slowDeadlineMS))
	}
	go writeText(conn, commands.String())
	eventually(t, "the socket is full", func() bool { return p.log.count("client socket is full") > 0 })
	return conn, bufio.NewReader(conn)
}

// expectValues reads n replies, each of which must hold a complete value.
func expectValues(t *testing.T, r *bufio.Reader, what string, n int) {
	t.Helper()
	for i := range n {
		if line, size, err := readReply(r); err != nil || size != slowValueSize {
			t.Fatalf("%s: reply %d of %d: got line %q, %v", what, i, n, line, err)
		}
	}
}

// TestWriteDeadlineDoesNotOutliveItsWrite guards against a write deadline that stays in force after its write has
// completed. A client that let its socket fill once and then read everything lost a later request: the old deadline
// expired after 5 s and the connection was closed without a reply.
func TestWriteDeadlineDoesNotOutliveItsWrite(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + 100_000) / slowValueSize // more than the socket's buffer holds
	conn, r := startSlowClient(t, replies)
	expectValues(t, r, "after the socket was full", replies)
	for from, i := time.Now(), replies; time.Since(from) < readPause+time.Second; i++ {
		writeText(conn, requestCommand(fmt.Sprintf("q%d", i), slowDeadlineMS))
		expectValues(t, r, time.Since(from).String()+" after it had read all", 1)
		time.Sleep(100 * time.Millisecond) // one request at a time, with pauses between them
	}
}

// TestClientPausingWithinReplyGetsWholeReply guards against closing a connection in the middle of a reply because
// the client reads nothing for longer than a write timeout.
func TestClientPausingWithinReplyGetsWholeReply(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + 100_000) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(readPause)
	expectValues(t, r, "after a pause", replies)
}

// TestClientWithManyUnreadRepliesIsServed guards against closing a connection because of many unread replies. The
// gateway must instead stop reading requests until the client has read some of the replies.
func TestClientWithManyUnreadRepliesIsServed(t *testing.T) {
	t.Parallel()
	replies := (3*sendBufferMax(t) + 3_000_000) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(200 * time.Millisecond) // time for the endpoint to reply to every request
	expectValues(t, r, "many unread replies", replies)
}
