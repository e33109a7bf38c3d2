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
	faultsFor  = flag.Duration("faults.for", 3*time.Second, "how long each schedule of faults is played")
	faultsFrom = flag.Uint64("faults.seed", 1, "the first seed of the schedules of faults")
	faultsRuns = flag.Int("faults.runs", 3, "how many schedules of faults are played")
)

const (
	faultClasses = `[{"name":"look","aimS":0.4,"deadlineS":1,"effect":"retryable","worth":1},
		{"name":"save","aimS":0.5,"deadlineS":1.5,"effect":"dedup","keyScope":"all","keyTtlS":0.8,"worth":1},
		{"name":"bill","aimS":0.5,"deadlineS":1,"effect":"fragile","worth":1}]`
	faultLimits = `"dialTimeoutS":0.3,"connIdleS":2,"maxAttempts":4,"cancel":true,"parallelTries":true,
		"retryAfter":true,"maxRetryAfterS":0.5`
	keyWindow     = 800 * time.Millisecond
	goneSlack     = 100 * time.Millisecond // after its client has closed, in which an attempt may still begin
	holdEvery     = 600 * time.Millisecond
	holdFor       = 140 * time.Millisecond // under 0.15 s, which a hold-up between the clock and the write may last
	faultBackends = 3
	faultClients  = 24
)

// attemptRun is a command that a backend got whole.
type attemptRun struct {
	told    time.Duration
	written time.Time // when the ingress had written its last byte
	ran     bool      // else it was turned away
}

// faultRequest is a request as its client knows it.
type faultRequest struct {
	id, class string
	deadline  time.Duration
	end       int // of its command on the connection
	answerEnd int // of its answer
	answer    string
}

// faultWorld is what a run keeps: the attempts by id, and the breaks of the rules.
type faultWorld struct {
	mu       sync.Mutex
	attempts map[string][]attemptRun
	breaks   []string
	answered map[string]int // by the answer's first word
	late     atomic.Int64   // nanoseconds by which this process was behind its own timers, at most
}

func (w *faultWorld) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks = append(w.breaks, fmt.Sprintf(format, args...))
}

// slack is what a busy machine may add to a time that this process has taken.
func (w *faultWorld) slack() time.Duration { return 2 * time.Duration(w.late.Load()) }

// watchPace measures by how much this process is behind its own timers.
func (w *faultWorld) watchPace(stop <-chan struct{}) {
	const every = 5 * time.Millisecond
	for {
		from := time.Now()
		select {
		case <-stop:
			return
		case <-time.After(every):
		}
		if behind := int64(time.Since(from) - every); behind > w.late.Load() {
			w.late.Store(behind)
		}
	}
}

// backend answers commands behind its proxy: with values that name their request, errors, refusals, silence, or the
// end of the connection.
type faultBackend struct {
	world *faultWorld
	proxy *faultproxy.Proxy
	rng   func() float64
}

func (b *faultBackend) serve(conn net.Conn) {
	defer conn.Close()
	read := 0
	r := bufio.NewReader(conn)
	for {
		args, n, err := readCommand(r)
		if err != nil {
			return
		}
		read += n
		link := b.proxy.Link(b.near(conn))
		m := deadlineField.FindStringSubmatch(args[3])
		ms, _ := strconv.Atoi(m[1])
		run := attemptRun{told: time.Duration(ms) * time.Millisecond, written: time.Now()}
		if link != nil {
			if at, ok := link.To.Read.At(read); ok {
				run.written = at
			}
		}
		id, fate := args[2], b.rng()
		run.ran = fate < 0.9
		b.world.mu.Lock()
		b.world.attempts[id] = append(b.world.attempts[id], run)
		b.world.mu.Unlock()
		switch {
		case fate < 0.75:
			time.Sleep(time.Duration(b.rng() * float64(40*time.Millisecond)))
			value := strings.Repeat("v", int(b.rng()*b.rng()*30_000)) + id
			fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
		case fate < 0.82:
			io.WriteString(conn, "-ERR failed\r\n")
		case fate < 0.86:
			time.Sleep(1200 * time.Millisecond)
		case fate < 0.9:
			return
		default:
			io.WriteString(conn, "-BUSY\r\n")
		}
	}
}

// near is the address by which the proxy knows the connection whose far end this is.
func (b *faultBackend) near(conn net.Conn) net.Addr { return b.proxy.From(conn.RemoteAddr()) }

// readCommand reads a command and tells how many bytes it took.
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

// faultClient asks on one connection after the other until the time is over.
type faultClient struct {
	world  *faultWorld
	proxy  *faultproxy.Proxy
	rng    *rand.Rand
	number int
	asked  int
}

// request words a request of any class.
func (c *faultClient) request(bodyMax int) (faultRequest, string) {
	c.asked++
	q := faultRequest{
		id: fmt.Sprintf("q%d-%d", c.number, c.asked), class: []string{"look", "save", "bill"}[c.rng.IntN(3)],
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

// connection asks for some things at once, and reads the answers or leaves.
func (c *faultClient) connection(t *testing.T) {
	conn, err := net.Dial("tcp", c.proxy.Addr())
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	r := bufio.NewReader(conn)
	sent, read := 0, 0
	for range 1 + c.rng.IntN(4) {
		var batch []faultRequest
		var text strings.Builder
		commands, bodyMax := 1+c.rng.IntN(6), 20_000
		if c.rng.Float64() < 0.1 {
			// More than may be open at once, but no more than the ingress reads on: else the end of the connection
			// would not come to it before the rest of them is read.
			commands, bodyMax = 48, 16_000
		}
		for range commands {
			q, command := c.request(bodyMax)
			sent += len(command)
			q.end = sent
			batch = append(batch, q)
			text.WriteString(command)
		}
		io.WriteString(conn, text.String())
		leaves := c.rng.Float64() < 0.15
		if leaves {
			time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
			if c.rng.IntN(2) == 0 {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
		link := c.proxy.Link(conn.LocalAddr())
		ended := false
		for i := range batch {
			q := &batch[i]
			if ended || leaves {
				break
			}
			var n int
			if q.answer, n, err = readWhole(r); err != nil {
				ended = true
			}
			read += n
			q.answerEnd = read
		}
		c.judge(link, batch, leaves)
		if ended || leaves {
			return
		}
	}
}

// readWhole reads an answer, and tells how many bytes it took.
func readWhole(r *bufio.Reader) (text string, n int, err error) {
	line, err := r.ReadString('\n')
	if err != nil || line[0] != '$' {
		return strings.TrimSpace(line), len(line), err
	}
	size, _ := strconv.Atoi(strings.TrimSpace(line[1:]))
	b := make([]byte, size+2)
	_, err = io.ReadFull(r, b)
	return "$" + string(b[:size]), len(line) + len(b), err
}

// judge holds a batch against the rules.
func (c *faultClient) judge(link *faultproxy.Link, batch []faultRequest, left bool) {
	w := c.world
	if link == nil { // the proxy never came to it
		return
	}
	if left { // what is out may still be written
		time.Sleep(3 * goneSlack)
	}
	before := time.Time{} // when the answer before had come
	for _, q := range batch {
		came, arrived := link.To.Written.At(q.end)
		c.judgeAttempts(q, came, arrived, link.To.Written.Ended())
		if left || link.Broken() || !arrived {
			continue
		}
		word, _, _ := strings.Cut(q.answer, " ")
		switch {
		case q.answer == "":
			w.broken("%s: its connection ended with no whole answer", q.id)
			continue
		case q.answer[0] == '$':
			word = "value"
			if !strings.HasSuffix(q.answer, q.id) {
				w.broken("%s: got a value that ends with %q", q.id, q.answer[max(0, len(q.answer)-20):])
			}
		}
		w.mu.Lock()
		w.answered[word]++
		ran := slices.ContainsFunc(w.attempts[q.id], func(a attemptRun) bool { return a.ran })
		w.mu.Unlock()
		if word == "-BUSY" && ran && q.class == "bill" {
			w.broken("%s: refused, and it ran", q.id)
		}
		answered, _ := link.From.Read.At(q.answerEnd)
		from := came
		if before.After(from) { // the time behind the answers before it does not count
			from = before
		}
		if late := answered.Sub(came) - q.deadline; late > answeredMost+w.slack() && answered.Sub(from) > answeredMost {
			w.broken("%s: answered %v after its time", q.id, late)
		}
		before = answered
	}
}

// judgeAttempts holds the attempts of a request against the rules.
func (c *faultClient) judgeAttempts(q faultRequest, came time.Time, arrived bool, ended time.Time) {
	w := c.world
	w.mu.Lock()
	attempts := slices.Clone(w.attempts[q.id])
	w.mu.Unlock()
	var first time.Time
	for _, a := range attempts {
		if !arrived {
			w.broken("%s: sent on, though it never came whole", q.id)
			continue
		}
		if over := a.told - (q.deadline - a.written.Sub(came)); over > toldSlack+w.slack() {
			w.broken("%s: a backend is told %v too much", q.id, over)
		}
		if !ended.IsZero() && a.written.Sub(ended) > goneSlack+w.slack() {
			w.broken("%s: sent on %v after its client had gone", q.id, a.written.Sub(ended))
		}
		switch {
		case first.IsZero():
		case q.class == "bill":
			w.broken("%s: must not run twice, and was sent again", q.id)
		case q.class == "save" && a.written.Sub(first) > keyWindow+w.slack():
			w.broken("%s: sent again %v after its first attempt", q.id, a.written.Sub(first))
		}
		if a.ran && first.IsZero() {
			first = a.written
		}
	}
}

// playFaults plays one schedule of faults against one process.
func playFaults(t *testing.T, seed uint64, holds bool) *faultWorld {
	w := &faultWorld{attempts: map[string][]attemptRun{}, answered: map[string]int{}}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go w.watchPace(stop)
	rough := faultproxy.Schedule{
		Reset: 0.08, HalfClose: 0.04, Split: 0.3, Delay: 0.3, MaxDelay: 10 * time.Millisecond,
		HoldUp: 0.02, HoldFor: 150 * time.Millisecond, EndBytes: 20_000,
	}
	var backends []string
	for i := range faultBackends {
		backends = append(backends, startFaultBackend(t, w, rough, seed<<8+uint64(i)))
	}
	p := startProgram(t, programConfig{backends: backends, classes: faultClasses, limits: faultLimits})
	proxy, err := faultproxy.New(p.listen, rough, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	if holds {
		go holdUp(p, stop)
	}
	var clients sync.WaitGroup
	until := time.Now().Add(*faultsFor)
	for i := range faultClients {
		c := &faultClient{world: w, proxy: proxy, rng: rand.New(rand.NewPCG(seed, uint64(i))), number: i}
		clients.Go(func() {
			for time.Now().Before(until) && !t.Failed() {
				c.connection(t)
			}
		})
	}
	clients.Wait()
	select {
	case err := <-p.ended:
		w.broken("the program ended: %v", err)
		p.ended <- err
	default:
	}
	return w
}

// holdUp has the process stand still now and then.
func holdUp(p *program, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(holdEvery):
		}
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(holdFor)
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// startFaultBackend starts a backend behind a proxy, and returns where the proxy listens.
func startFaultBackend(t *testing.T, w *faultWorld, schedule faultproxy.Schedule, seed uint64) string {
	t.Helper()
	l := listen(t)
	proxy, err := faultproxy.New(l.Addr().String(), schedule, seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 9))
	b := &faultBackend{world: w, proxy: proxy, rng: func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}}
	go serveEach(l, b.serve)
	return proxy.Addr()
}

// TestRequestsUnderFaults plays seeded schedules of faults on real connections, and holds what clients and backends
// saw against the rules: each request that was taken has exactly one whole, right and timely answer, none runs again
// beyond what its class allows, and none is sent on after its client has left or with more time than it has left.
// -faults.for, -faults.runs and -faults.seed play more of them.
func TestRequestsUnderFaults(t *testing.T) {
	for i := range *faultsRuns {
		seed, holds := *faultsFrom+uint64(i), i%2 == 1
		t.Run(fmt.Sprintf("seed %d, holds %t", seed, holds), func(t *testing.T) {
			w := playFaults(t, seed, holds)
			t.Logf("%v, %d requests sent on, behind by %v at most", w.answered, len(w.attempts), time.Duration(w.late.Load()))
			if w.answered["value"] == 0 {
				t.Error("nothing was served")
			}
			for i, what := range w.breaks {
				if t.Error(what); i == 10 {
					break
				}
			}
		})
	}
}
