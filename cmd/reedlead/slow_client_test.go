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
	slowValueSize  = 60_000
	slowDeadlineMS = 15_000
	// Beyond the 5 s that a write to a client once had.
	readPause = 5500 * time.Millisecond
)

// sendBufferMax is the size to which the system lets the send buffer of a socket grow.
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

// startSlowClient sends a number of requests for large values at once, and reads nothing before the program has written
// what its socket takes.
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

// expectValues reads a number of values, each of the whole size.
func expectValues(t *testing.T, r *bufio.Reader, what string, n int) {
	t.Helper()
	for i := range n {
		if line, size, err := readReply(r); err != nil || size != slowValueSize {
			t.Fatalf("%s: reply %d of %d: got %q, %v", what, i, n, line, err)
		}
	}
}

// TestWriteDeadlineDoesNotOutliveItsWrite guards against a write deadline that outlives its write: a client that
// let its socket fill once, and then read all of it, lost its next request 5 s later, as its connection was ended
// with no reply.
func TestWriteDeadlineDoesNotOutliveItsWrite(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + 100_000) / slowValueSize // more than its socket takes
	conn, r := startSlowClient(t, replies)
	expectValues(t, r, "after the socket was full", replies)
	for from, i := time.Now(), replies; time.Since(from) < readPause+time.Second; i++ {
		writeText(conn, requestCommand(fmt.Sprintf("q%d", i), slowDeadlineMS))
		expectValues(t, r, time.Since(from).String()+" after it had read all", 1)
		time.Sleep(100 * time.Millisecond) // a client that sends now and then
	}
}

// TestClientPausingWithinReplyGetsWholeReply guards against a client that is dropped under a reply that is half
// written, as it reads nothing for longer than one write may take.
func TestClientPausingWithinReplyGetsWholeReply(t *testing.T) {
	t.Parallel()
	replies := (sendBufferMax(t) + 100_000) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(readPause)
	expectValues(t, r, "after a pause", replies)
}

// TestClientWithManyUnreadRepliesIsServed guards against a client that is dropped for the replies that it has
// not read yet: it is not read from either until it has taken some.
func TestClientWithManyUnreadRepliesIsServed(t *testing.T) {
	t.Parallel()
	replies := (3*sendBufferMax(t) + 3_000_000) / slowValueSize
	_, r := startSlowClient(t, replies)
	time.Sleep(200 * time.Millisecond) // all of it may be replied to meanwhile
	expectValues(t, r, "of many", replies)
}
