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

// TestAClientThatWasSlowOnceIsServedLater guards against a write deadline that outlives its write: a client that
// let its socket fill once, and then read all of it, lost its next request 5 s later, as its connection was ended
// with no answer.
func TestAClientThatWasSlowOnceIsServedLater(t *testing.T) {
	t.Parallel()
	const (
		valueSize  = 60_000
		watchedFor = 6500 * time.Millisecond
		deadlineMS = 15_000
	)
	answers := (sendBufferMax(t) + 100_000) / valueSize // more than its socket takes
	p := startProgram(t, programConfig{backends: []string{serveValues(t, valueSize)}})
	conn := p.dial()
	var calls strings.Builder
	for i := range answers {
		calls.WriteString(call(fmt.Sprintf("q%d", i), deadlineMS))
	}
	go io.WriteString(conn, calls.String())
	// The client does not read until all answers are known: its socket can't hold them all.
	eventually(t, "the answers fill the socket", func() bool { return p.log.count("word=value") >= answers })
	r := bufio.NewReader(conn)
	for i := range answers {
		if line, size, err := readAnswer(r); err != nil || size != valueSize {
			t.Fatalf("answer %d: %q, %v", i, line, err)
		}
	}
	for from, i := time.Now(), answers; time.Since(from) < watchedFor; i++ {
		io.WriteString(conn, call(fmt.Sprintf("q%d", i), deadlineMS))
		if line, size, err := readAnswer(r); err != nil || size != valueSize {
			t.Fatalf("%v after it had read all: request %d got %q, %v", time.Since(from), i, line, err)
		}
		time.Sleep(100 * time.Millisecond) // a client that asks now and then
	}
}

// sendBufferMax is the size to which the system lets the send buffer of a socket grow.
func sendBufferMax(t *testing.T) (size int) {
	t.Helper()
	text, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	if err != nil {
		t.Fatal(err)
	}
	var least, usual int
	if _, err := fmt.Sscan(string(text), &least, &usual, &size); err != nil {
		t.Fatal(err)
	}
	return size
}
