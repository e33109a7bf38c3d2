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
	// receiveBuffer is more than the receive buffer of a client's socket holds while the client reads nothing.
	receiveBuffer = 2 << 20
	// readPause is longer than 5 s, the write timeout after which an earlier version closed connections of slow clients.
	readPause = 5500 * time.Millisecond
)

// sendBufferMax returns the maximum size of a TCP socket's send buffer, in bytes.
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

// startSlowClient starts a gateway and connects to it as a client. The client sends requests for large values and reads
// nothing. startSlowClient returns when the gateway has logged that the client's socket is full.
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
			t.Fatalf("%s: reply %d of %d: got line %q, %v, want a complete value", what, i, n, line, err)
		}
	}
}

// TestWriteDeadlineDoesNotOutliveItsWrite checks that a client whose socket was full is served for more than 5 s after it
// has read everything. The gateway sets a write deadline when a socket is full. An earlier version did not remove it: the
// deadline expired after 5 s, and the gateway closed the connection without a reply to the next request.
func TestWriteDeadlineDoesNotOutliveItsWrite(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + receiveBuffer) / slowValueSize // more than the buffers of both sockets hold
	conn, r := startSlowClient(t, replies)
	expectValues(t, r, "after the socket was full", replies)
	for from, i := time.Now(), replies; time.Since(from) < readPause+time.Second; i++ {
		writeText(conn, requestCommand(fmt.Sprintf("q%d", i), slowDeadlineMS))
		expectValues(t, r, time.Since(from).String()+" after the client had read all replies", 1)
		time.Sleep(100 * time.Millisecond) // one request at a time, with pauses between them
	}
}

// TestClientPausingWithinReplyGetsWholeReply checks that the gateway does not close a connection in the middle of a reply
// when the client reads nothing for readPause.
func TestClientPausingWithinReplyGetsWholeReply(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + receiveBuffer) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(readPause)
	expectValues(t, r, "after a pause", replies)
}

// TestClientWithManyUnreadRepliesIsServed checks that a client that sends many requests before it reads any reply gets
// all replies.
func TestClientWithManyUnreadRepliesIsServed(t *testing.T) {
	t.Parallel()
	replies := (3*sendBufferMax(t) + 3_000_000) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(200 * time.Millisecond) // time for more replies to accumulate
	expectValues(t, r, "many unread replies", replies)
}
