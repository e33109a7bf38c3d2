package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"

	"reedlead/internal/discovery"

	"reedlead/internal/settings"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// patience bounds how long a test waits for what must come. It decides nothing but when to give up.
const patience = 20 * time.Second

// module stands in for the decision module: a test says what it does on a request, and sees what
// it is told.
type fakeDecider struct {
	onRequest    func(policy.Request)
	onOutcome    func(policy.Outcome)
	requests     chan policy.Request
	outcomes     chan policy.Outcome
	gone         chan string
	lists        chan []policy.Endpoint
	messages     chan peerMessage
	healthChecks chan policy.HealthCheckResult
}

type peerMessage struct {
	from int
	data string
}

func newFakeDecider() *fakeDecider {
	return &fakeDecider{
		requests: make(chan policy.Request, 64), outcomes: make(chan policy.Outcome, 64),
		gone: make(chan string, 64), lists: make(chan []policy.Endpoint, 64), messages: make(chan peerMessage, 64),
		healthChecks: make(chan policy.HealthCheckResult, 64),
	}
}

func (m *fakeDecider) HandleRequest(_ float64, q policy.Request) {
	m.requests <- q
	if m.onRequest != nil {
		m.onRequest(q)
	}
}

func (m *fakeDecider) HandleOutcome(_ float64, o policy.Outcome) {
	m.outcomes <- o
	if m.onOutcome != nil {
		m.onOutcome(o)
	}
}

func (m *fakeDecider) HandleClientGone(_ float64, id string) { m.gone <- id }

func (m *fakeDecider) HandleEndpoints(_ float64, list []policy.Endpoint, whole bool) { m.lists <- list }

func (m *fakeDecider) HandleTimer(float64, uint64) {}

func (m *fakeDecider) HandlePeerMessage(_ float64, from int, data []byte) {
	m.messages <- peerMessage{from, string(data)}
}

func (m *fakeDecider) HandleHealthCheck(_ float64, p policy.HealthCheckResult) { m.healthChecks <- p }

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// rig is an ingress on loopback sockets with a stand-in module.
type harness struct {
	t         *testing.T
	proxy     *Proxy
	decider   *fakeDecider
	ended     chan struct{}
	terminate context.CancelFunc

	reread chan config.Config
}

// unreachableAgent is an address that refuses.
const unreachableAgent = "127.0.0.1:1"

func testConfig(backends ...string) config.Config {
	c := config.Config{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: unreachableAgent, Sockets: 1024,
		Settings: settings.Settings{DialTimeout: time.Minute, Settings: policy.Settings{
			ConnectionIdleTimeout: 15, GatewayCount: 2, MaxRequestUnits: 6,
			MaxAttempts: 5, MaxRetryAfter: 1, RetryAfter: true, Cancellation: true,
			Classes: []policy.Class{
				{Name: "look", LatencyObjective: 1, Timeout: 2, Idempotency: policy.Idempotent},
				{Name: "hold", LatencyObjective: 1, Timeout: 2, Idempotency: policy.IdempotencyKey},
				{Name: "bill", LatencyObjective: 1, Timeout: 2, Idempotency: policy.NonIdempotent},
			},
			Plans: []policy.Plan{{Name: "basic", Rate: 5, Burst: 10, WeightFactor: 1}},
		}},
	}
	for i, addr := range backends {
		c.Known.Endpoints = append(c.Known.Endpoints, discovery.Endpoint{ID: fmt.Sprint("s", i), Addr: addr, State: "in_service"})
	}
	c.Known.Full = true
	return c
}

func startProxy(t *testing.T, cfg config.Config, change func(*harness)) *harness {
	t.Helper()
	p, err := open(context.Background(), cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), netcalls.System())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &harness{t: t, proxy: p, decider: newFakeDecider(), ended: make(chan struct{}), terminate: cancel, reread: make(chan config.Config)}
	p.endpoints.duplicateWindowS = 0 // the tests' answers are alike
	p.endpoints.writeSlack = 3600
	p.discovery.PollTimeout = time.Hour // a test that is slow polls once
	quiet := make(chan struct{})
	if cfg.Discovery == unreachableAgent { // asked once, so that no event comes of it later
		p.discovery.After = func(time.Duration) <-chan time.Time {
			close(quiet)
			return nil
		}
	} else {
		close(quiet)
	}
	if change != nil {
		change(r)
	}
	go func() {
		defer close(r.ended)
		p.serve(ctx, r.reread, r.decider)
	}()
	receive(t, quiet)
	t.Cleanup(func() {
		cancel()
		r.onLoop(func() {
			p.clients.conns = map[*clientConn]struct{}{}
			p.requests = map[string]*request{}
			p.leaving, p.accepted = true, true
		})
		<-r.ended
	})
	return r
}

// do runs f on the loop and waits for it.
func (r *harness) onLoop(f func()) {
	done := make(chan struct{})
	r.proxy.post(0, func() { defer close(done); f() })
	select {
	case <-done:
	case <-r.ended:
	}
}

// until waits for something that the loop comes to by itself.
func (r *harness) eventually(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ok := false
		if r.onLoop(func() { ok = holds() }); ok {
			return
		}
	}
	r.t.Fatal("never came to: " + what)
}

// wire is one end of a connection.
type testConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func newTestConn(t *testing.T, c net.Conn) *testConn {
	c.SetDeadline(time.Now().Add(patience))
	t.Cleanup(func() { c.Close() })
	return &testConn{t, c, bufio.NewReader(c)}
}

func (r *harness) client() *testConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.proxy.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	return newTestConn(r.t, c)
}

// dialTo connects to an address.
func mustDial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// rawOf is the descriptor of a connection.
func rawConnOf(t *testing.T, c net.Conn) syscall.RawConn {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func (w *testConn) send(args ...string) { io.WriteString(w, encodeCommand(args...)) }

func encodeCommand(args ...string) string {
	b := redcon.AppendArray(nil, len(args))
	for _, a := range args {
		b = redcon.AppendBulkString(b, a)
	}
	return string(b)
}

// line reads one line, or "" at the end of the connection.
func (w *testConn) readLine() string {
	s, _ := w.reader.ReadString('\n')
	return strings.TrimRight(s, "\r\n")
}

// command reads a whole command and returns its arguments, nil at the end of the connection.
func (w *testConn) readCommand() (args []string) {
	n, err := strconv.Atoi(strings.TrimPrefix(w.readLine(), "*"))
	if err != nil {
		return nil
	}
	for range n {
		size, _ := strconv.Atoi(strings.TrimPrefix(w.readLine(), "$"))
		b := make([]byte, size+2)
		if _, err := io.ReadFull(w.reader, b); err != nil {
			return nil
		}
		args = append(args, string(b[:size]))
	}
	return args
}

// listen takes connections of a backend.
func listenBackend(t *testing.T) (addr string, conns chan *testConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns = make(chan *testConn, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- newTestConn(t, c)
		}
	}()
	return l.Addr().String(), conns
}

const testCustomer = "00000000b4d65521"

func lookCommand(id string) []string {
	return []string{"CALL.GET", testCustomer, id, "c=look,t=basic,d=600000,units=2,spread=2,first=1"}
}

// sendTo has the module send each request to s0.
func sendEachRequest(timeoutS float64) func(*harness) {
	return func(r *harness) {
		r.decider.onRequest = func(q policy.Request) { r.proxy.Send(q.ID, "s0", timeoutS, 0) }
	}
}

// smallSockets is a backend, and an ingress that sends to it, whose sockets hold a part of a large command.
func startWithSmallSockets(t *testing.T, change func(*harness)) (net.Listener, *harness) {
	small := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}
	l, err := (&net.ListenConfig{Control: small}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, startProxy(t, testConfig(l.Addr().String()), func(r *harness) {
		sendEachRequest(0)(r)
		dial := r.proxy.endpoints.dial
		r.proxy.endpoints.dial = func(addr string) (net.Conn, error) {
			c, err := dial(addr)
			if err == nil {
				err = c.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(4096)
			}
			return c, err
		}
		if change != nil {
			change(r)
		}
	})
}

// wantNotSent holds that the next attempt to end was not sent, and that its backend got nothing: its connection is
// closed with the pool.
func (r *harness) wantNotSent(b *testConn) {
	r.t.Helper()
	if o := receive(r.t, r.decider.outcomes); o.Status != policy.NotSent {
		r.t.Errorf("got %+v", o)
	}
	r.onLoop(func() { r.proxy.applyList(discovery.List{Full: true}) })
	if got := b.readCommand(); got != nil {
		r.t.Errorf("the backend got %q", got)
	}
}

// untilPartIsWritten waits until the socket has taken a part of the command of a request's first attempt.
func (r *harness) untilPartIsWritten(id string) {
	r.t.Helper()
	r.eventually("a part is written", func() bool {
		a := r.proxy.requests[id].attempts[0]
		return a.conn != nil && !a.conn.commandWritten.Load()
	})
}
