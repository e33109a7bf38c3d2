package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/faultproxy"
)

var (
	faultsFor  = flag.Duration("faults.for", 3*time.Second, "duration of each run with faults")
	faultsSeed = flag.Uint64("faults.seed", 1, "seed of the first run with faults")
	faultsRuns = flag.Int("faults.runs", 3, "number of runs with faults")
)

const (
	faultClasses = `[{"name":"look","aimS":0.4,"deadlineS":1,"effect":"retryable","worth":1},
		{"name":"save","aimS":0.5,"deadlineS":1.5,"effect":"dedup","keyScope":"all","keyTtlS":0.8,"worth":1},
		{"name":"bill","aimS":0.5,"deadlineS":1,"effect":"fragile","worth":1}]`
	faultLimits = `"dialTimeoutS":0.3,"connIdleS":2,"maxAttempts":4,"cancel":true,"parallelTries":true,
		"retryAfter":true,"maxRetryAfterS":0.5`
	idempotencyWindow = 800 * time.Millisecond
	disconnectSlack   = 100 * time.Millisecond // how long after its client's disconnect an attempt may still be written
	suspendEvery      = 600 * time.Millisecond // from the end of a suspension to the start of the next
	// suspendFor must be less than timeoutSlack. If the process is suspended after it has computed a timeout and before it
	// writes the command, the timeout is too long by suspendFor.
	suspendFor     = 140 * time.Millisecond
	faultEndpoints = 3
	faultClients   = 24
)

// endpointAttempt is an attempt whose command an endpoint has received completely.
type endpointAttempt struct {
	timeout  time.Duration // from field d of the command
	written  time.Time     // when the proxy or, if that is unknown, the endpoint read the last byte of the command
	executed bool          // false if the endpoint rejected it
}

// faultRequest is a request that a client sent, and its reply.
type faultRequest struct {
	id, class string
	deadline  time.Duration
	end       int // offset of the end of its command in the bytes sent on the connection
	replyEnd  int // offset of the end of its reply in the bytes received on the connection
	reply     string
}

// faultRun records one run with faults. The field violations holds the breaches of the rules that
// TestRequestsUnderFaults states.
type faultRun struct {
	mu         sync.Mutex
	attempts   map[string][]endpointAttempt
	violations []string
	replies    map[string]int // number of replies by kind: "value", or "-" and the error code
	timerLag   atomic.Int64   // largest delay of this process's timers, in nanoseconds
}

func (r *faultRun) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// slack returns an additional tolerance for times that this process measures: twice the largest delay of its timers.
func (r *faultRun) slack() time.Duration { return 2 * time.Duration(r.timerLag.Load()) }

// measureTimerLag records the largest delay of this process's timers until stop is closed.
func (r *faultRun) measureTimerLag(stop <-chan struct{}) {
	const every = 5 * time.Millisecond
	for {
		from := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		if late := int64(time.Since(from) - every); late > r.timerLag.Load() {
			r.timerLag.Store(late)
		}
	}
}

// faultEndpoint is an endpoint behind a fault proxy. At random, it replies to a command with a value that ends with the
// request's id, with an error or with a rejection, does not reply, or closes the connection.
type faultEndpoint struct {
	run   *faultRun
	proxy *faultproxy.Proxy
	rng   func() float64
}

func (e *faultEndpoint) serve(conn net.Conn) {
	defer closeQuietly(conn)
	read := 0
	r := bufio.NewReader(conn)
	for {
		args, n, err := readCommand(r)
		if err != nil {
			return
		}
		read += n
		connection := e.proxy.Connection(e.clientAddr(conn))
		m := deadlineField.FindStringSubmatch(args[3])
		ms, _ := strconv.Atoi(m[1])
		run := endpointAttempt{timeout: time.Duration(ms) * time.Millisecond, written: time.Now()}
		if connection != nil {
			if at, ok := connection.ToServer.Read.TimeOfByte(read); ok {
				run.written = at
			}
		}
		id, draw := args[2], e.rng()
		run.executed = draw < 0.9
		e.run.mu.Lock()
		e.run.attempts[id] = append(e.run.attempts[id], run)
		e.run.mu.Unlock()
		switch {
		case draw < 0.75:
			time.Sleep(time.Duration(e.rng() * float64(40*time.Millisecond)))
			value := strings.Repeat("v", int(e.rng()*e.rng()*30_000)) + id
			writeText(conn, fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
		case draw < 0.82:
			writeText(conn, "-ERR failed\r\n")
		case draw < 0.86:
			time.Sleep(1200 * time.Millisecond)
		case draw < 0.9:
			return
		default:
			writeText(conn, "-BUSY\r\n")
		}
	}
}

// clientAddr returns the address from which the gateway connected to the proxy. conn is the connection from the proxy to
// the endpoint.
func (e *faultEndpoint) clientAddr(conn net.Conn) net.Addr {
	return e.proxy.ClientAddr(conn.RemoteAddr())
}

// readCommand reads a command and returns its arguments and its size in bytes.
func readCommand(r *bufio.Reader) (args []string, n int, err error) {
	line := func() string {
		s, failed := r.ReadString('\n')
		n += len(s)
		err = failed
		return strings.TrimSpace(s)
	}
	count, _ := strconv.Atoi(strings.TrimPrefix(line(), "*"))
	for i := 0; i < count && err == nil; i++ {
		size, _ := strconv.Atoi(strings.TrimPrefix(line(), "$"))
		b := make([]byte, size+2)
		if err == nil {
			_, err = io.ReadFull(r, b)
			n += len(b)
		}
		args = append(args, string(b[:size]))
	}
	return args, n, err
}

// faultClient is a client that has at most one open connection. It sends requests through the fault proxy.
type faultClient struct {
	run    *faultRun
	proxy  *faultproxy.Proxy
	rng    *rand.Rand
	number int
	sent   int
}

// request returns a new request of a random class, and its command. The body, if any, has fewer than bodyMax bytes.
func (c *faultClient) request(bodyMax int) (faultRequest, string) {
	c.sent++
	q := faultRequest{
		id: fmt.Sprintf("q%d-%d", c.number, c.sent), class: []string{"look", "save", "bill"}[c.rng.IntN(3)],
		deadline: time.Duration(150+c.rng.IntN(850)) * time.Millisecond,
	}
	fields := fmt.Sprintf("c=%s,t=basic,d=%d,k=%s,units=1,spread=1,first=0", q.class, q.deadline.Milliseconds(), q.id)
	args := []string{"CALL.GET", "00000000b4d65521", q.id, fields}
	if q.class != "look" {
		args = append(args, strings.Repeat("b", c.rng.IntN(bodyMax)))
		args[0] = "CALL.POST"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return q, b.String()
}

// runConnection opens a connection and sends batches of requests on it. For each batch, it reads the replies or
// disconnects, and then checks the batch.
func (c *faultClient) runConnection(t *testing.T) {
	dialledAt := time.Now()
	conn, err := net.Dial("tcp", c.proxy.Addr())
	if err != nil {
		t.Error(err)
		return
	}
	defer closeQuietly(conn)
	setTimeout(conn, testTimeout)
	r := bufio.NewReader(conn)
	sent, read := 0, 0
	for range 1 + c.rng.IntN(4) {
		var batch []faultRequest
		var text strings.Builder
		commands, bodyMax := 1+c.rng.IntN(6), 20_000
		if c.rng.Float64() < 0.1 {
			// These are more requests than may be open on a connection, so some have to wait. Those must be small enough for
			// the gateway to read all of them ahead; otherwise it would notice a disconnect late.
			commands, bodyMax = 48, 16_000
		}
		for range commands {
			q, command := c.request(bodyMax)
			sent += len(command)
			q.end = sent
			batch = append(batch, q)
			text.WriteString(command)
		}
		writeText(conn, text.String())
		disconnects := c.rng.Float64() < 0.15
		if disconnects {
			time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
			if c.rng.IntN(2) == 0 {
				_ = conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
			}
			closeQuietly(conn)
		}
		proxied := c.proxy.WaitConnection(conn.LocalAddr(), dialledAt)
		ended := false
		for i := range batch {
			q := &batch[i]
			if ended || disconnects {
				break
			}
			var n int
			if q.reply, n, err = readFullReply(r); err != nil {
				ended = true
			}
			read += n
			q.replyEnd = read
		}
		c.checkBatch(proxied, batch, disconnects)
		if ended || disconnects {
			return
		}
	}
}

// readFullReply reads a reply and returns its text and its size in bytes. The text of a value is "$" and the value.
func readFullReply(r *bufio.Reader) (text string, n int, err error) {
	line, err := r.ReadString('\n')
	if err != nil || line[0] != '$' {
		return strings.TrimSpace(line), len(line), err
	}
	size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	b := make([]byte, size+2)
	_, err = io.ReadFull(r, b)
	return "$" + string(b[:size]), len(line) + len(b), err
}

// checkBatch checks the replies and attempts of a batch against the rules of TestRequestsUnderFaults.
func (c *faultClient) checkBatch(connection *faultproxy.Connection, batch []faultRequest, disconnected bool) {
	record := c.run
	if disconnected { // attempts in progress may still be written
		time.Sleep(3 * disconnectSlack)
	}
	previousReply := time.Time{} // when the proxy had read the reply to the previous request
	for _, q := range batch {
		arrivedAt, arrived := connection.ToServer.Written.TimeOfByte(q.end)
		c.checkAttempts(q, arrivedAt, arrived, connection.ToServer.Written.Ended())
		if disconnected || connection.EndedByProxy() || !arrived {
			continue
		}
		kind, _, _ := strings.Cut(q.reply, " ")
		switch {
		case q.reply == "":
			record.addViolation("%s: the connection ended before a complete reply", q.id)
			continue
		case q.reply[0] == '$':
			kind = "value"
			if !strings.HasSuffix(q.reply, q.id) {
				record.addViolation("%s: got a value that ends with %q", q.id, q.reply[max(0, len(q.reply)-20):])
			}
		}
		record.mu.Lock()
		record.replies[kind]++
		wasExecuted := slices.ContainsFunc(record.attempts[q.id], func(a endpointAttempt) bool { return a.executed })
		record.mu.Unlock()
		if kind == "-BUSY" && wasExecuted && q.class == "bill" {
			record.addViolation("%s: rejected although it was executed", q.id)
		}
		replied, _ := connection.ToClient.Read.TimeOfByte(q.replyEnd)
		from := arrivedAt
		if previousReply.After(from) { // replies come in order, so one may arrive up to replySlack after the one before it
			from = previousReply
		}
		if late := replied.Sub(arrivedAt) - q.deadline; late > replySlack+record.slack() && replied.Sub(from) > replySlack {
			record.addViolation("%s: replied %v after its deadline", q.id, late)
		}
		previousReply = replied
	}
}

// checkAttempts checks the attempts of a request against the rules of TestRequestsUnderFaults. arrived reports whether
// the whole request arrived at the gateway, and arrivedAt is the time of its arrival. disconnectedAt is the time at which
// forwarding from the client to the gateway ended, or zero if it has not ended.
func (c *faultClient) checkAttempts(q faultRequest, arrivedAt time.Time, arrived bool, disconnectedAt time.Time) {
	record := c.run
	record.mu.Lock()
	attempts := slices.Clone(record.attempts[q.id])
	record.mu.Unlock()
	var first time.Time
	for _, a := range attempts {
		if !arrived {
			record.addViolation("%s: attempted although the gateway did not receive all of it", q.id)
			continue
		}
		if excess := a.timeout - (q.deadline - a.written.Sub(arrivedAt)); excess > timeoutSlack+record.slack() {
			record.addViolation("%s: the timeout of an attempt is %v too long", q.id, excess)
		}
		if !disconnectedAt.IsZero() && a.written.Sub(disconnectedAt) > disconnectSlack+record.slack() {
			record.addViolation("%s: attempted %v after its client had disconnected", q.id, a.written.Sub(disconnectedAt))
		}
		switch {
		case first.IsZero():
		case q.class == "bill":
			record.addViolation("%s: attempted again although it must not execute twice", q.id)
		case q.class == "save" && a.written.Sub(first) > idempotencyWindow+record.slack():
			record.addViolation("%s: attempted again %v after the first attempt that executed", q.id, a.written.Sub(first))
		}
		if a.executed && first.IsZero() {
			first = a.written
		}
	}
}

// runFaultSchedule runs one gateway process with faults drawn from seed, and returns the record of the run. If suspends
// is true, the process is also suspended repeatedly.
func runFaultSchedule(t *testing.T, seed uint64, suspends bool) *faultRun {
	record := &faultRun{attempts: map[string][]endpointAttempt{}, replies: map[string]int{}}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go record.measureTimerLag(stop)
	schedule := faultproxy.Schedule{
		Reset: 0.08, HalfClose: 0.04, Split: 0.3, Delay: 0.3, MaxDelay: 10 * time.Millisecond,
		LongDelay: 0.02, LongDelayDuration: 150 * time.Millisecond, EndWithinBytes: 20_000,
	}
	var endpoints []string
	for i := range faultEndpoints {
		endpoints = append(endpoints, startFaultEndpoint(t, record, schedule, seed<<8+uint64(i)))
	}
	p := startProgram(t, programConfig{endpoints: endpoints, classes: faultClasses, limits: faultLimits})
	proxy, err := faultproxy.New(p.listen, schedule, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	if suspends {
		go suspendRepeatedly(p, stop)
	}
	var clients sync.WaitGroup
	until := time.Now().Add(*faultsFor)
	for i := range faultClients {
		c := &faultClient{run: record, proxy: proxy, rng: rand.New(rand.NewPCG(seed, uint64(i))), number: i}
		clients.Go(func() {
			for time.Now().Before(until) && !t.Failed() {
				c.runConnection(t)
			}
		})
	}
	clients.Wait()
	select {
	case err := <-p.ended:
		record.addViolation("the gateway process ended: %v", err)
		p.ended <- err
	default:
	}
	return record
}

// suspendRepeatedly lets the process run for suspendEvery, suspends it for suspendFor, and repeats that until stop is
// closed.
func suspendRepeatedly(p *program, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(suspendEvery):
		}
		_ = p.cmd.Process.Signal(syscall.SIGSTOP) // the process may have ended, which runFaultSchedule reports
		time.Sleep(suspendFor)
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// startFaultEndpoint starts an endpoint behind a fault proxy and returns the proxy's address.
func startFaultEndpoint(t *testing.T, record *faultRun, schedule faultproxy.Schedule, seed uint64) string {
	t.Helper()
	l := listen(t)
	proxy, err := faultproxy.New(l.Addr().String(), schedule, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 9))
	endpoint := &faultEndpoint{run: record, proxy: proxy, rng: func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}}
	go serveEach(l, endpoint.serve)
	return proxy.Addr()
}

// TestRequestsUnderFaults injects seeded faults into real connections and checks the replies that clients got and the
// attempts that endpoints received:
//
//   - Each request that arrived completely gets a complete reply in time, unless the client disconnects or an injected
//     fault ends the connection. If the reply is a value, it is the one for that request.
//   - A request that must not execute twice is not rejected after it was executed.
//   - A request is not attempted again after an attempt that executed, unless its class allows it.
//   - No attempt is made for a request that did not arrive completely.
//   - No attempt is written after the client has disconnected, or with a timeout that ends after the deadline of the
//     request.
//   - The gateway process does not end.
//
// The flags -faults.for, -faults.runs and -faults.seed set the duration, the number and the first seed of the runs.
func TestRequestsUnderFaults(t *testing.T) {
	for i := range *faultsRuns {
		seed, suspends := *faultsSeed+uint64(i), i%2 == 1
		t.Run(fmt.Sprintf("seed %d, suspends %t", seed, suspends), func(t *testing.T) {
			record := runFaultSchedule(t, seed, suspends)
			t.Logf("replies %v, %d requests attempted, timers late by up to %v", record.replies, len(record.attempts), time.Duration(record.timerLag.Load()))
			if record.replies["value"] == 0 {
				t.Error("no request got a value")
			}
			for i, violation := range record.violations {
				if t.Error(violation); i == 10 {
					break
				}
			}
		})
	}
}
