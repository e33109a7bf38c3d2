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

// receivedAttempt is what hangingEndpoint records of an attempt.
type receivedAttempt struct {
	id      string
	timeout time.Duration // from field d of the command
	at      time.Time     // when the endpoint had read its last line
}

// hangingEndpoint records the attempts that it receives and never replies.
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

// maxTimeoutExcess returns the largest excess of an attempt's timeout over the time that remained until the deadline of
// its request, and the number of attempts. All requests were sent at the time sent and have the same deadline.
func (e *hangingEndpoint) maxTimeoutExcess(sent time.Time, deadline time.Duration) (excess time.Duration, attempts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.attempts {
		excess = max(excess, a.timeout-(deadline-a.at.Sub(sent)))
	}
	return excess, len(e.attempts)
}

const (
	timeoutSlack = 150 * time.Millisecond // by which an attempt's timeout may exceed the time that remains until the deadline
	replySlack   = 500 * time.Millisecond // by which a reply may be later than the deadline of its request
	arrivalClass = `[{"name":"look","aimS":0.9,"deadlineS":0.9,"effect":"retryable","worth":1}]`
)

// TestDeadlineCountsFromArrivalBehindOpenRequests checks that the timeout of an attempt does not exceed the time that
// remains until the deadline of its request. A request may have to wait while earlier requests of its connection are
// open, and this wait counts toward its deadline.
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
					t.Fatalf("reply %d: got %q, %v", i, line, err)
				}
			}
			if took := time.Since(sent); took > deadline+replySlack {
				t.Errorf("the last reply arrived %v after the first request was sent", took)
			}
			excess, attempts := endpoint.maxTimeoutExcess(sent, deadline)
			if attempts == 0 || excess > timeoutSlack {
				t.Errorf("got %d attempts, want some; the largest timeout exceeds the client's remaining time by %v", attempts, excess)
			}
		})
	}
}

// suspension is the time for which checkArrivalAfterSuspension suspends the gateway process.
const suspension = 600 * time.Millisecond

// TestDeadlineCountsFromArrivalAfterSuspension checks that the deadline of a request that arrives while the gateway
// process is suspended counts from its arrival, whether it arrives alone or between another request and a PING.
func TestDeadlineCountsFromArrivalAfterSuspension(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{900 * time.Millisecond, 400 * time.Millisecond} {
		for _, requestsAhead := range []int{0, 1} {
			t.Run(fmt.Sprintf("deadline %v, %d requests ahead", deadline, requestsAhead), func(t *testing.T) {
				checkArrivalAfterSuspension(t, deadline, requestsAhead)
			})
		}
	}
}

// checkArrivalAfterSuspension sends requestsAhead + 1 requests while the process is suspended, followed by a PING if
// requestsAhead is not 0. After resuming the process, it checks that the last reply to a request is not late, that no
// attempt's timeout exceeds the client's remaining time, and that no attempt is sent if the deadline has passed.
func checkArrivalAfterSuspension(t *testing.T, deadline time.Duration, requestsAhead int) {
	t.Helper()
	endpoint := startHangingEndpoint(t)
	p := startProgram(t, programConfig{endpoints: []string{endpoint.addr}, classes: arrivalClass})
	conn := p.dial()
	r := bufio.NewReader(conn)
	writeText(conn, pingCommand)
	if line, _, err := readReply(r); line != "+PONG" {
		t.Fatalf("reply to PING: got %q, %v, want +PONG", line, err)
	}
	p.suspend()
	sent := time.Now()
	for i := range requestsAhead + 1 {
		writeText(conn, requestCommand(fmt.Sprintf("q%d", i), int(deadline.Milliseconds())))
	}
	if requestsAhead > 0 { // a later command in the same read must not change the arrival time of the requests
		time.Sleep(suspension - 50*time.Millisecond)
		writeText(conn, pingCommand)
	}
	time.Sleep(time.Until(sent.Add(suspension)))
	p.signal(syscall.SIGCONT)
	for i := range requestsAhead + 1 {
		if line, _, err := readReply(r); err != nil {
			t.Fatalf("reply %d: got %q, %v", i, line, err)
		}
	}
	if took := time.Since(sent); took > deadline+replySlack {
		t.Errorf("the last reply arrived %v after the first request was sent", took)
	}
	excess, attempts := endpoint.maxTimeoutExcess(sent, deadline)
	if excess > timeoutSlack || deadline < suspension && attempts > 0 {
		t.Errorf("got %d attempts, the latest timeout ends %v late; want no late timeout, and no attempt after the deadline", attempts, excess)
	}
}
