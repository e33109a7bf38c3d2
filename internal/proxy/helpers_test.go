package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/internal/settings"
	"reedlead/policy"
)

// testTimeout is the time after which a test gives up waiting for an event. Reads and writes on a test connection fail
// once the connection is that old.
const testTimeout = 20 * time.Second

// eventBufferSize is the capacity of the channels that hold the events of a fakeDecider and the connections of
// listenEndpoint.
const eventBufferSize = 64

// fakeDecider replaces the decision module. A test may set functions that react to requests and outcomes. The channels
// hold the events that the module has received, except timers.
type fakeDecider struct {
	onRequest    func(policy.Request)
	onOutcome    func(policy.Outcome)
	requests     chan policy.Request
	outcomes     chan policy.Outcome
	disconnected chan string // the request ids that HandleClientDisconnected got
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
		requests: make(chan policy.Request, eventBufferSize), outcomes: make(chan policy.Outcome, eventBufferSize),
		disconnected: make(chan string, eventBufferSize), lists: make(chan []policy.Endpoint, eventBufferSize),
		messages: make(chan peerMessage, eventBufferSize), healthChecks: make(chan policy.HealthCheckResult, eventBufferSize),
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

func (d *fakeDecider) HandleClientDisconnected(_ policy.Seconds, id string) { d.disconnected <- id }

func (d *fakeDecider) HandleEndpoints(_ policy.Seconds, list []policy.Endpoint, _ bool) {
	d.lists <- list
}

func (d *fakeDecider) CustomerCount() int { return 0 }

func (d *fakeDecider) HandleTimer(policy.Seconds, uint64) {}

func (d *fakeDecider) HandlePeerMessage(_ policy.Seconds, from int, data []byte) {
	d.messages <- peerMessage{from, string(data)}
}

func (d *fakeDecider) HandleHealthCheck(_ policy.Seconds, result policy.HealthCheckResult) {
	d.healthChecks <- result
}

// receive returns the next element of a channel, or the zero value if the channel is closed and empty. It fails the
// test if neither happens within testTimeout.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case element := <-c:
		return element
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an event")
		panic("unreachable")
	}
}

// harness is a proxy on loopback sockets with a fakeDecider.
type harness struct {
	t         *testing.T
	proxy     *Proxy
	decider   *fakeDecider
	ended     chan struct{}      // closed when the proxy has ended
	terminate context.CancelFunc // starts the drain, as the shutdown signal does
	reloads   chan config.Config
}

// unreachableAddress is an address that refuses connections, for a discovery agent or an endpoint.
const unreachableAddress = "127.0.0.1:1"

// inService returns an endpoint list entry whose state is in service.
func inService(id, addr string) discovery.Endpoint {
	return discovery.Endpoint{ID: id, Addr: addr, State: discovery.StateInService}
}

// testConfig returns a configuration with the endpoints s0, s1, ... at the given addresses.
func testConfig(addresses ...string) config.Config {
	c := config.Config{
		Name: "n0", ListenAddress: "127.0.0.1:0", DiscoveryAddress: unreachableAddress, MaxDescriptors: 1024,
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
	for i, addr := range addresses {
		c.InitialEndpoints.Endpoints = append(c.InitialEndpoints.Endpoints, inService(fmt.Sprint("s", i), addr))
	}
	c.InitialEndpoints.Full = true
	return c
}

// peerConfig returns a configuration of gateway 0 with peer messages. Gateways 1, 2, ... have the given addresses.
func peerConfig(others ...netip.AddrPort) config.Config {
	c := testConfig()
	c.Settings.PeerMessages = true
	c.PeerListenAddress = netip.MustParseAddrPort("127.0.0.1:0")
	c.PeerAddresses = append([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, others...)
	return c
}

// listenUDP opens a UDP socket that is closed when the test ends.
func listenUDP(t *testing.T) (conn *net.UDPConn, address netip.AddrPort) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startProxy starts a proxy, and ends it when the test ends. Before the start, it calls change on the harness, unless
// change is nil.
func startProxy(t *testing.T, cfg config.Config, change func(*harness)) *harness {
	t.Helper()
	p, err := open(context.Background(), cfg, slog.New(slog.NewTextHandler(io.Discard, nil)), netcalls.System())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &harness{
		t: t, proxy: p, decider: newFakeDecider(),
		ended: make(chan struct{}), terminate: cancel, reloads: make(chan config.Config),
	}
	p.endpoints.duplicateWindow = 0 // tests send equal replies, which would be taken for duplicates
	p.endpoints.writeTimeout = 3600
	p.discovery.PollRetryInterval = time.Hour // a poll without a response is not repeated during a test
	polled := make(chan struct{})
	if cfg.DiscoveryAddress == unreachableAddress { // after a failed poll, wait forever, so that polls cause no later events
		p.discovery.After = func(time.Duration) <-chan time.Time {
			close(polled)
			return nil
		}
	} else {
		close(polled)
	}
	if change != nil {
		change(h)
	}
	go func() {
		defer close(h.ended)
		p.serve(ctx, h.reloads, h.decider)
	}()
	receive(t, polled)
	t.Cleanup(func() {
		cancel()
		h.onLoop(func() {
			p.clients.conns = map[*clientConn]struct{}{}
			p.requests.byID = map[string]*request{}
			p.drain.acceptingStopped, p.drain.listenerEnded = true, true
		})
		<-h.ended
	})
	return h
}

// onLoop runs f on the event loop and waits until it has returned or the proxy has ended.
func (h *harness) onLoop(f func()) {
	done := make(chan struct{})
	h.proxy.loop.Post(0, func() { defer close(done); f() })
	select {
	case <-done:
	case <-h.ended:
	}
}

// eventually waits until condition, which runs on the event loop, returns true. It fails the test after testTimeout.
func (h *harness) eventually(what string, condition func() bool) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ok := false
		if h.onLoop(func() { ok = condition() }); ok {
			return
		}
	}
	h.t.Fatal("timed out waiting until " + what)
}

// whileLoopBlocked blocks the event loop, runs action, and waits until condition returns true, for at most testTimeout.
// It then calls next on the event loop, before the events that have arrived in the meantime are handled. It fails the
// test if condition did not return true.
func (h *harness) whileLoopBlocked(action func(), condition func() bool, next func()) {
	h.t.Helper()
	waiting, resume, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	conditionMet := false
	h.proxy.loop.Post(0, func() {
		defer close(done)
		close(waiting)
		<-resume
		conditionMet = waitFor(condition)
		next()
	})
	receive(h.t, waiting)
	action()
	close(resume)
	<-done // waitFor returns after testTimeout at the latest
	if !conditionMet {
		h.t.Fatal("timed out waiting for the condition while the event loop was blocked")
	}
}

// queued returns a function that reports whether the queue of the event loop holds at least n events.
func (h *harness) queued(n int) func() bool {
	return func() bool { return h.proxy.loop.QueuedEvents() >= n }
}

// waitFor waits until condition returns true, for at most testTimeout. It reports whether condition returned true.
func waitFor(condition func() bool) bool {
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// client connects a client to the proxy.
func (h *harness) client() *testConn {
	h.t.Helper()
	c, err := net.Dial("tcp", h.proxy.listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	return newTestConn(h.t, c)
}

// addIdleConn adds a connection without a reader to the pool of an endpoint. Event loop only.
func (h *harness) addIdleConn(endpointID string, conn net.Conn) *backendConn {
	h.t.Helper()
	e := h.proxy.endpoints.byID[endpointID]
	c := &backendConn{
		services: &h.proxy.services, set: &h.proxy.endpoints, endpoint: e, dialedAs: e.Endpoint,
		conn: conn.(*net.TCPConn), idleSince: h.proxy.loop.Now(),
	}
	var err error
	if c.rawConn, err = c.conn.SyscallConn(); err != nil {
		h.t.Error(err)
	}
	e.idle = append(e.idle, c)
	h.proxy.endpoints.openConns++
	return c
}

const testCustomer = "00000000b4d65521"

func lookCommand(id string) []string {
	return []string{"CALL.GET", testCustomer, id, "c=look,t=basic,d=600000,units=2,spread=2,first=1"}
}

// postCommand returns a request of a class that is not idempotent.
func postCommand(id, body string) []string {
	return []string{"CALL.POST", testCustomer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", body}
}

// holdCommand returns a request of a class with idempotency keys.
func holdCommand(id, body string) []string {
	return []string{"CALL.POST", testCustomer, id, "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", body}
}

// sendEachRequest returns a function that makes the decision module send each request to s0. timeout is the timeout of
// the attempts; 0 stands for the deadline of the request.
func sendEachRequest(timeout policy.Seconds) func(*harness) {
	return func(h *harness) {
		h.decider.onRequest = func(q policy.Request) { h.proxy.Send(q.ID, "s0", timeout, 0) }
	}
}

// rejectEachRequest makes the decision module reject each request. The client gets the reply "-BUSY 500".
func rejectEachRequest(h *harness) {
	h.decider.onRequest = func(q policy.Request) { h.proxy.Reject(q.ID, 0.5, policy.QuotaExceeded) }
}

// blockDials blocks all dials of endpoints until unblock is closed.
func (h *harness) blockDials(unblock <-chan struct{}) {
	h.beforeDial(func(string) error {
		<-unblock
		return nil
	})
}

// beforeDial makes the proxy call a function before each dial of an endpoint. If the function returns an error, the
// dial fails with that error.
func (h *harness) beforeDial(run func(addr string) error) {
	dial := h.proxy.endpoints.dial
	h.proxy.endpoints.dial = func(addr string) (netcalls.Conn, error) {
		if err := run(addr); err != nil {
			return nil, err
		}
		return dial(addr)
	}
}

// startWithAttempt starts a proxy with one endpoint, and sends request a to the proxy. c is the connection of the
// client. b is the endpoint's end of the backend connection, on which the endpoint has read the command. conns receives
// further connections to the endpoint.
func startWithAttempt(t *testing.T) (h *harness, c, b *testConn, conns chan *testConn) {
	t.Helper()
	addr, conns := listenEndpoint(t)
	h = startProxy(t, testConfig(addr), sendEachRequest(0))
	c = h.client()
	c.send(lookCommand("a")...)
	b = receive(t, conns)
	b.readCommand()
	return h, c, b, conns
}

// smallBuffer is the size in bytes of a socket buffer that holds only a part of a large command.
const smallBuffer = 4096

// startWithSmallSockets starts a proxy with one endpoint, and returns the listener of the endpoint. The decision module
// sends each request to the endpoint unless change, which may be nil, replaces that. The socket buffers of the
// connections to the endpoint hold only a part of a large command.
func startWithSmallSockets(t *testing.T, change func(*harness)) (net.Listener, *harness) {
	t.Helper()
	listener := listenLoopback(t, net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, failed)
	}})
	return listener, startProxy(t, testConfig(listener.Addr().String()), func(h *harness) {
		sendEachRequest(0)(h)
		dial := h.proxy.endpoints.dial
		h.proxy.endpoints.dial = func(addr string) (netcalls.Conn, error) {
			conn, err := dial(addr)
			if err == nil {
				err = conn.(interface{ SetWriteBuffer(int) error }).SetWriteBuffer(smallBuffer)
			}
			return conn, err
		}
		if change != nil {
			change(h)
		}
	})
}

// openRequest sends a request and waits until the decision module has received it.
func (h *harness) openRequest(c *testConn, id string) {
	h.t.Helper()
	c.send(lookCommand(id)...)
	receive(h.t, h.decider.requests)
}

// changeEndpoint changes the entry of endpoint s0 and applies the new entry as a change of the endpoint list. Event
// loop only.
func (h *harness) changeEndpoint(change func(*discovery.Endpoint)) {
	entry := h.proxy.endpoints.byID["s0"].Endpoint
	change(&entry)
	h.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{entry}})
}

// expireIdleClients advances the event loop's time by more than clientIdleTimeout and runs the sweep of the clients,
// which requests the close of connections that are idle after a command. Event loop only.
func (h *harness) expireIdleClients() {
	h.proxy.loop.AdvanceTo(h.proxy.loop.Now() + clientIdleTimeout + 1)
	h.proxy.clients.sweep()
}

// evictIdleClient lowers the connection limit to 1 and makes room for a new connection. If the only client is idle, this
// requests the close of its connection. Event loop only.
func (h *harness) evictIdleClient() {
	h.proxy.clients.limit = 1
	h.proxy.clients.makeRoom(nil)
}

// closePool removes all endpoints, which closes their idle connections.
func (h *harness) closePool() {
	h.onLoop(func() { h.proxy.applyList(discovery.List{Full: true}) })
}

// wantNoCommand closes the pool and checks that no complete command was sent on connection b.
func (h *harness) wantNoCommand(b *testConn) {
	h.t.Helper()
	h.closePool()
	b.wantNoCommand()
}

// wantOutcome checks the status of the next outcome.
func (h *harness) wantOutcome(want policy.AttemptStatus) {
	h.t.Helper()
	if o := receive(h.t, h.decider.outcomes); o.Status != want {
		h.t.Errorf("got %+v, want status %v", o, want)
	}
}

// wantFinalOutcome checks the status of the next outcome, and that its request is done.
func (h *harness) wantFinalOutcome(want policy.AttemptStatus) {
	h.t.Helper()
	if o := receive(h.t, h.decider.outcomes); o.Status != want || !o.RequestDone {
		h.t.Errorf("got %+v, want status %v and a finished request", o, want)
	}
}

// wantNotSent checks that the next outcome is NotSent, and that no complete command was sent on connection b. It closes
// the pool.
func (h *harness) wantNotSent(b *testConn) {
	h.t.Helper()
	h.wantOutcome(policy.NotSent)
	h.wantNoCommand(b)
}

// awaitPartialWrite waits until the first attempt of a request has a connection, but its command is not completely
// written.
func (h *harness) awaitPartialWrite(id string) {
	h.t.Helper()
	h.eventually("the command is being written", func() bool {
		a := h.proxy.requests.byID[id].attempts[0]
		return a.conn != nil && !a.conn.commandWritten.Load()
	})
}

// allClientsClosed reports whether no client connection is open, and the only slot in use is that of the listener, for
// the next connection. Event loop only.
func (h *harness) allClientsClosed() bool {
	return h.proxy.clients.open() == 0 && len(h.proxy.clients.connSlots) == 1
}

// onlyClient returns the connection of the only client, or nil if there is none. Event loop only.
func (h *harness) onlyClient() (c *clientConn) {
	for c = range h.proxy.clients.conns {
	}
	return c
}
