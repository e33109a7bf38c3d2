package main

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// receivedAttempt is an attempt as an endpoint received it.
type receivedAttempt struct {
	id      string
	timeout time.Duration // that the command gives
	at      time.Time     // when its last byte had come
}

// hangingEndpoint reads commands and never replies.
type hangingEndpoint struct {
	addr     string
	mu       sync.Mutex
	attempts []receivedAttempt
}

func startHangingEndpoint(t *testing.T) *hangingEndpoint {
	t.Helper()
	l := listen(t)
	e := &hangingEndpoint{addr: l.Addr().String()}
	go serveEach(l, e.serve)
	return e
}

var deadlineField = regexp.MustCompile(`(?:^|,)d=(\d+)`)

func (e *hangingEndpoint) serve(conn net.Conn) {
	defer closeQuietly(conn)
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
			e.mu.Lock()
			e.attempts = append(e.attempts, receivedAttempt{id, time.Duration(ms) * time.Millisecond, time.Now()})
			e.mu.Unlock()
		}
	}
}

// maxTimeoutExcess returns by how much the timeout of an attempt was longer than what its client had left, at most.
func (e *hangingEndpoint) maxTimeoutExcess(sent time.Time, deadline time.Duration) (excess time.Duration, attempts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.attempts {
		excess = max(excess, a.timeout-(deadline-a.at.Sub(sent)))
	}
	return excess, len(e.attempts)
}

const (
	timeoutSlack = 150 * time.Millisecond // by which the timeout of an attempt may exceed what the client has left
	replySlack   = 500 * time.Millisecond // after the deadline, from which on a reply counts as lost
	arrivalClass = `[{"name":"look","aimS":0.9,"deadlineS":0.9,"effect":"retryable","worth":1}]`
)

// TestDeadlineCountsFromArrivalBehindOpenRequests guards against attempts with more time than is left: the deadline of
// a command that lies in the socket behind open ones comes closer meanwhile.
func TestDeadlineCountsFromArrivalBehindOpenRequests(t *testing.T) {
	t.Parallel()
	for _, commands := range []int{60, 400} {
		t.Run(fmt.Sprint(commands, " commands"), func(t *testing.T) {
			const deadline = 900 * time.Millisecond
			endpoint := startHangingEndpoint(t)
			p := startProgram(t, programConfig{endpoints: []string{endpoint.addr}, classes: arrivalClass})
			conn := p.dial()
			var commandText strings.Builder
			for i := range commands {
				commandText.WriteString(requestCommand(fmt.Sprintf("q%d", i), int(deadline.Milliseconds())))
			}
			sent := time.Now()
			writeText(conn, commandText.String())
			r := bufio.NewReader(conn)
			for i := range commands {
				if line, _, err := readReply(r); err != nil {
					t.Fatalf("reply %d: %q, %v", i, line, err)
				}
			}
			if took := time.Since(sent); took > deadline+replySlack {
				t.Errorf("the last reply came after %v", took)
			}
			excess, attempts := endpoint.maxTimeoutExcess(sent, deadline)
			if attempts == 0 || excess > timeoutSlack {
				t.Errorf("%d attempts had %v more than the client had left", attempts, excess)
			}
		})
	}
}

// suspension is how long the tests suspend the whole process.
const suspension = 600 * time.Millisecond

// TestDeadlineCountsFromArrivalAfterSuspension guards against the same where the whole process was suspended with a
// request in its socket, alone, behind another one, or in pieces.
func TestDeadlineCountsFromArrivalAfterSuspension(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{900 * time.Millisecond, 400 * time.Millisecond} {
		for _, requestsAhead := range []int{0, 1} {
			t.Run(fmt.Sprintf("%v behind %d", deadline, requestsAhead), func(t *testing.T) {
				checkArrivalAfterSuspension(t, deadline, requestsAhead)
			})
		}
	}
}

// checkArrivalAfterSuspension suspends the process, sends a request behind a number of others, and resumes it.
func checkArrivalAfterSuspension(t *testing.T, deadline time.Duration, requestsAhead int) {
	t.Helper()
	endpoint := startHangingEndpoint(t)
	p := startProgram(t, programConfig{endpoints: []string{endpoint.addr}, classes: arrivalClass})
	conn := p.dial()
	r := bufio.NewReader(conn)
	writeText(conn, pingCommand)
	if line, _, err := readReply(r); line != "+PONG" {
		t.Fatalf("got %q, %v", line, err)
	}
	p.suspend()
	sent := time.Now()
	for i := range requestsAhead + 1 {
		writeText(conn, requestCommand(fmt.Sprintf("q%d", i), int(deadline.Milliseconds())))
	}
	if requestsAhead > 0 { // and a command that comes late, so that the last arrival says little of the others
		time.Sleep(suspension - 50*time.Millisecond)
		writeText(conn, pingCommand)
	}
	time.Sleep(time.Until(sent.Add(suspension)))
	p.signal(syscall.SIGCONT)
	for i := range requestsAhead + 1 {
		if line, _, err := readReply(r); err != nil {
			t.Fatalf("reply %d: %q, %v", i, line, err)
		}
	}
	if took := time.Since(sent); took > deadline+replySlack {
		t.Errorf("replied after %v", took)
	}
	excess, attempts := endpoint.maxTimeoutExcess(sent, deadline)
	if excess > timeoutSlack || deadline < suspension && attempts > 0 {
		t.Errorf("%d attempts, with %v more than the client had left", attempts, excess)
	}
}
