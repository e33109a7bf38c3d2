package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/internal/settings"
	"reedlead/policy"
)

// patience is how long a test waits for what must come. It decides nothing but when to give up.
const patience = 20 * time.Second

// eventsKept is how many events of a kind a fakeDecider, or a listener, keeps for the test.
const eventsKept = 64

// fakeDecider stands in for the decision module: a test says what it does on a request or an outcome, and receives
// the events that come to it.
type fakeDecider struct {
	onRequest    func(policy.Request)
	onOutcome    func(policy.Outcome)
	requests     chan policy.Request
	outcomes     chan policy.Outcome
	gone         chan string // ids of requests
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
		requests: make(chan policy.Request, eventsKept), outcomes: make(chan policy.Outcome, eventsKept),
		gone: make(chan string, eventsKept), lists: make(chan []policy.Endpoint, eventsKept),
		messages: make(chan peerMessage, eventsKept), healthChecks: make(chan policy.HealthCheckResult, eventsKept),
	}
}

func (d *fakeDecider) HandleRequest(_ policy.Seconds, request policy.Request) {
	d.requests <- request
	if d.onRequest != nil {
		d.onRequest(request)
	}
}

func (d *fakeDecider) HandleOutcome(_ policy.Seconds, outcome policy.Outcome) {
	d.outcomes <- outcome
	if d.onOutcome != nil {
		d.onOutcome(outcome)
	}
}

func (d *fakeDecider) HandleClientGone(_ policy.Seconds, id string) { d.gone <- id }

func (d *fakeDecider) HandleEndpoints(_ policy.Seconds, list []policy.Endpoint, _ bool) {
	d.lists <- list
}

func (d *fakeDecider) HandleTimer(policy.Seconds, uint64) {}

func (d *fakeDecider) HandlePeerMessage(_ policy.Seconds, from int, data []byte) {
	d.messages <- peerMessage{from, string(data)}
}

func (d *fakeDecider) HandleHealthCheck(_ policy.Seconds, result policy.HealthCheckResult) {
	d.healthChecks <- result
}

// receive waits for the next element of a channel, or for it to be closed.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case element := <-c:
		return element
	case <-time.After(patience):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

// harness is a proxy on loopback sockets with a fake decision module.
type harness struct {
	t         *testing.T
	proxy     *Proxy
	decider   *fakeDecider
	ended     chan struct{} // closed when the proxy has ended
	terminate context.CancelFunc
	reloads   chan config.Config
}

// unreachableAgent is an address that refuses connections.
const unreachableAgent = "127.0.0.1:1"

// testConfig is a configuration with an endpoint s0, s1, ... at each address.
func testConfig(backends ...string) config.Config {
	c := config.Config{
		Name: "n0", ListenAddress: "127.0.0.1:0", DiscoveryAddress: unreachableAgent, MaxDescriptors: 1024,
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
		c.InitialEndpoints.Endpoints = append(c.InitialEndpoints.Endpoints, discovery.Endpoint{ID: fmt.Sprint("s", i), Addr: addr, State: discovery.StateInService})
	}
	c.InitialEndpoints.Full = true
	return c
}

// startProxy starts a proxy, which change may have altered, and ends it with the test.
func startProxy(t *testing.T, cfg config.Config, change func(*harness)) *harness {
	t.Helper()
	p, err := open(context.Background(), cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), netcalls.System())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &harness{
		t: t, proxy: p, decider: newFakeDecider(),
		ended: make(chan struct{}), terminate: cancel, reloads: make(chan config.Config),
	}
	p.endpoints.duplicateWindow = 0 // the replies of the tests are alike
	p.endpoints.writeSlack = 3600
	p.discovery.PollTimeout = time.Hour // a test that is slow polls once
	quiet := make(chan struct{})
	if cfg.DiscoveryAddress == unreachableAgent { // it is polled once, so that no event comes of it later
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
		p.serve(ctx, r.reloads, r.decider)
	}()
	receive(t, quiet)
	t.Cleanup(func() {
		cancel()
		r.onLoop(func() {
			p.clients.conns = map[*clientConn]struct{}{}
			p.requests = map[string]*request{}
			p.drain.started, p.drain.acceptorEnded = true, true
		})
		<-r.ended
	})
	return r
}

// onLoop runs f on the event loop and waits for it.
func (r *harness) onLoop(f func()) {
	done := make(chan struct{})
	r.proxy.loop.Post(0, func() { defer close(done); f() })
	select {
	case <-done:
	case <-r.ended:
	}
}

// eventually waits for what comes to hold on the event loop without the test's doing.
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

// whileLoopWaits has the event loop wait while meanwhile runs, and then until holds. What comes meanwhile is not
// handled before then has run on the event loop.
func (r *harness) whileLoopWaits(meanwhile func(), holds func() bool, then func()) {
	r.t.Helper()
	waiting, resume, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	held := false
	r.proxy.loop.Post(0, func() {
		defer close(done)
		close(waiting)
		<-resume
		held = waitFor(holds)
		then()
	})
	receive(r.t, waiting)
	meanwhile()
	close(resume)
	<-done // nothing else is posted before
	if !held {
		r.t.Fatal("what was to come while the event loop waited has not come")
	}
}

// queued tells whether n events wait in the queue; on the event loop.
func (r *harness) queued(n int) func() bool {
	return func() bool { return r.proxy.loop.QueuedEvents() >= n }
}

// waitFor waits until something holds, and tells whether it came to.
func waitFor(holds func() bool) bool {
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// client connects a client to the proxy.
func (r *harness) client() *testConn {
	r.t.Helper()
	c, err := net.Dial("tcp", r.proxy.listener.Addr().String())
	if err != nil {
		r.t.Fatal(err)
	}
	return newTestConn(r.t, c)
}

// addIdleConn puts a connection without a reader into the pool of an endpoint; on the event loop.
func (r *harness) addIdleConn(endpointID string, conn net.Conn) *backendConn {
	r.t.Helper()
	e := r.proxy.endpoints.byID[endpointID]
	c := &backendConn{
		services: &r.proxy.services, set: &r.proxy.endpoints, endpoint: e, dialedAs: e.Endpoint, conn: conn.(*net.TCPConn), idleSince: r.proxy.loop.Now(),
	}
	var err error
	if c.rawConn, err = c.conn.SyscallConn(); err != nil {
		r.t.Error(err)
	}
	e.idle = append(e.idle, c)
	r.proxy.endpoints.openConns++
	return c
}

const testCustomer = "00000000b4d65521"

func lookCommand(id string) []string {
	return []string{"CALL.GET", testCustomer, id, "c=look,t=basic,d=600000,units=2,spread=2,first=1"}
}

// postCommand is a request of a class that is not idempotent.
func postCommand(id, body string) []string {
	return []string{"CALL.POST", testCustomer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", body}
}

// sendEachRequest has the decision module send each request to s0.
func sendEachRequest(timeout policy.Seconds) func(*harness) {
	return func(r *harness) {
		r.decider.onRequest = func(q policy.Request) { r.proxy.Send(q.ID, "s0", timeout, 0) }
	}
}

// rejectEachRequest has the decision module reject each request, so that the reply tells that it was asked.
func rejectEachRequest(r *harness) {
	r.decider.onRequest = func(q policy.Request) { r.proxy.Reject(q.ID, 0.5, policy.QuotaExceeded) }
}

// holdDials has dials wait until free is closed.
func (r *harness) holdDials(free <-chan struct{}) {
	dial := r.proxy.endpoints.dial
	r.proxy.endpoints.dial = func(addr string) (net.Conn, error) {
		<-free
		return dial(addr)
	}
}

// startWithAttempt starts a proxy with one endpoint to which a client's request a was sent. It returns the client's
// connection and that of the endpoint, on which the command was read, and further connections of the endpoint.
func startWithAttempt(t *testing.T) (r *harness, c, b *testConn, conns chan *testConn) {
	t.Helper()
	addr, conns := listenBackend(t)
	r = startProxy(t, testConfig(addr), sendEachRequest(0))
	c = r.client()
	c.send(lookCommand("a")...)
	b = receive(t, conns)
	b.readCommand()
	return r, c, b, conns
}

// smallBuffer is a size of socket buffers in bytes that holds only a part of a large command.
const smallBuffer = 4096

// startWithSmallSockets starts a proxy and the listener of its one endpoint, whose sockets hold only a part of a large
// command.
func startWithSmallSockets(t *testing.T, change func(*harness)) (net.Listener, *harness) {
	t.Helper()
	listener := listenLoopback(t, net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, failed)
	}})
	return listener, startProxy(t, testConfig(listener.Addr().String()), func(r *harness) {
		sendEachRequest(0)(r)
		dial := r.proxy.endpoints.dial
		r.proxy.endpoints.dial = func(addr string) (net.Conn, error) {
			conn, err := dial(addr)
			if err == nil {
				err = conn.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(smallBuffer)
			}
			return conn, err
		}
		if change != nil {
			change(r)
		}
	})
}

// closePool closes the idle connections of all endpoints.
func (r *harness) closePool() {
	r.onLoop(func() { r.proxy.applyList(discovery.List{Full: true}) })
}

// wantNoCommand holds that nothing was sent on a connection of an endpoint, which is closed with the pool.
func (r *harness) wantNoCommand(b *testConn) {
	r.t.Helper()
	r.closePool()
	if got := b.readCommand(); got != nil {
		r.t.Errorf("the endpoint got %q", got)
	}
}

// wantNotSent holds that the next attempt to end was not sent, and that nothing was sent on a connection of its
// endpoint.
func (r *harness) wantNotSent(b *testConn) {
	r.t.Helper()
	if o := receive(r.t, r.decider.outcomes); o.Status != policy.NotSent {
		r.t.Errorf("got %+v", o)
	}
	r.wantNoCommand(b)
}

// awaitPartialWrite waits until the socket has taken a part of the command of a request's first attempt.
func (r *harness) awaitPartialWrite(id string) {
	r.t.Helper()
	r.eventually("a part is written", func() bool {
		a := r.proxy.requests[id].attempts[0]
		return a.conn != nil && !a.conn.commandWritten.Load()
	})
}

// onlyClient is the connection of the only client, nil if there is none; on the event loop.
func (r *harness) onlyClient() (c *clientConn) {
	for c = range r.proxy.clients.conns {
	}
	return c
}
