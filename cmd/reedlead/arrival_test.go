package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// attemptSeen is an attempt as a backend saw it.
type attemptSeen struct {
	id   string
	told time.Duration // how long the ingress says that it will wait
	at   time.Time     // when its last byte had come
}

// hangingBackend takes commands and never answers.
type hangingBackend struct {
	addr string
	mu   sync.Mutex
	seen []attemptSeen
}

func hang(t *testing.T) *hangingBackend {
	t.Helper()
	l := listen(t)
	b := &hangingBackend{addr: l.Addr().String()}
	go serveEach(l, b.take)
	return b
}

var deadlineField = regexp.MustCompile(`(?:^|,)d=(\d+)`)

func (b *hangingBackend) take(conn net.Conn) {
	defer conn.Close()
	id := ""
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "q") {
			id = line
		} else if m := deadlineField.FindStringSubmatch(line); m != nil {
			ms, _ := strconv.Atoi(m[1])
			b.mu.Lock()
			b.seen = append(b.seen, attemptSeen{id, time.Duration(ms) * time.Millisecond, time.Now()})
			b.mu.Unlock()
		}
	}
}

// told returns by how much the attempts were told more time than their client had left, at most.
func (b *hangingBackend) told(sent time.Time, deadline time.Duration) (over time.Duration, attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.seen {
		over = max(over, a.told-(deadline-a.at.Sub(sent)))
	}
	return over, len(b.seen)
}

const (
	toldSlack    = 150 * time.Millisecond
	answeredMost = 500 * time.Millisecond // after its time an answer is lost
	arrivalClass = `[{"name":"look","aimS":0.9,"deadlineS":0.9,"effect":"retryable","worth":1}]`
)

// TestTimeCountsFromTheArrivalBehindOpenCommands guards against time that is given away as still left: a command
// that lies in the socket behind open ones has less and less of it, and its attempts must tell so.
func TestTimeCountsFromTheArrivalBehindOpenCommands(t *testing.T) {
	t.Parallel()
	for _, commands := range []int{60, 400} {
		t.Run(fmt.Sprint(commands, " commands"), func(t *testing.T) {
			const deadline = 900 * time.Millisecond
			b := hang(t)
			p := startProgram(t, programConfig{backends: []string{b.addr}, classes: arrivalClass})
			conn := p.dial()
			var calls strings.Builder
			for i := range commands {
				calls.WriteString(call(fmt.Sprintf("q%d", i), int(deadline.Milliseconds())))
			}
			sent := time.Now()
			io.WriteString(conn, calls.String())
			r := bufio.NewReader(conn)
			for i := range commands {
				if line, _, err := readAnswer(r); err != nil {
					t.Fatalf("answer %d: %q, %v", i, line, err)
				}
			}
			if took := time.Since(sent); took > deadline+answeredMost {
				t.Errorf("the last answer came after %v", took)
			}
			over, attempts := b.told(sent, deadline)
			if attempts == 0 || over > toldSlack {
				t.Errorf("%d attempts were told %v more than the client had left", attempts, over)
			}
		})
	}
}

// TestTimeCountsFromTheArrivalAfterAStandstill guards against the same where the whole process stood still with a
// request in its socket, alone, behind another one, or in pieces.
func TestTimeCountsFromTheArrivalAfterAStandstill(t *testing.T) {
	t.Parallel()
	const held = 600 * time.Millisecond
	for _, deadline := range []time.Duration{900 * time.Millisecond, 400 * time.Millisecond} {
		for _, before := range []int{0, 1} {
			t.Run(fmt.Sprintf("%v behind %d", deadline, before), func(t *testing.T) {
				b := hang(t)
				p := startProgram(t, programConfig{backends: []string{b.addr}, classes: arrivalClass})
				conn := p.dial()
				r := bufio.NewReader(conn)
				io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
				if line, _, err := readAnswer(r); line != "+PONG" {
					t.Fatalf("got %q, %v", line, err)
				}
				p.stop()
				sent := time.Now()
				for i := range before + 1 {
					io.WriteString(conn, call(fmt.Sprintf("q%d", i), int(deadline.Milliseconds())))
				}
				if before > 0 { // and one that comes late, so that what came last says little of the others
					time.Sleep(held - 50*time.Millisecond)
					io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
				}
				time.Sleep(time.Until(sent.Add(held)))
				if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
				for i := range before + 1 {
					if line, _, err := readAnswer(r); err != nil {
						t.Fatalf("answer %d: %q, %v", i, line, err)
					}
				}
				if took := time.Since(sent); took > deadline+answeredMost {
					t.Errorf("answered after %v", took)
				}
				over, attempts := b.told(sent, deadline)
				if over > toldSlack || deadline < held && attempts > 0 {
					t.Errorf("%d attempts, told %v more than the client had left", attempts, over)
				}
			})
		}
	}
}
