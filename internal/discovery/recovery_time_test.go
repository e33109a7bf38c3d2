package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"reedlead/internal/discovery/discoverytest"
)

// fakeClock stands in for the timers of a client. It moves only when the test says so, to the next timer.
type fakeClock struct {
	mu     sync.Mutex
	now    time.Duration
	timers []*fakeTimer
}

type fakeTimer struct {
	clock *fakeClock
	at    time.Duration
	run   func()
}

// AfterFunc stands in for time.AfterFunc.
func (c *fakeClock) AfterFunc(d time.Duration, f func()) Timer {
	timer := &fakeTimer{clock: c, run: f}
	timer.Reset(d)
	return timer
}

// After stands in for time.After.
func (c *fakeClock) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	c.AfterFunc(d, func() { fired <- time.Time{} })
	return fired
}

// Reset implements Timer.
func (t *fakeTimer) Reset(d time.Duration) bool {
	was := t.Stop()
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	t.at = t.clock.now + d
	t.clock.timers = append(t.clock.timers, t)
	return was
}

// Stop implements Timer.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	n := len(t.clock.timers)
	t.clock.timers = slices.DeleteFunc(t.clock.timers, func(other *fakeTimer) bool { return other == t })
	return len(t.clock.timers) < n
}

// step moves to the timer that is due first and runs it, or by a second if that is less.
func (c *fakeClock) step() {
	c.mu.Lock()
	if len(c.timers) == 0 {
		c.mu.Unlock()
		return
	}
	first := slices.MinFunc(c.timers, func(a, b *fakeTimer) int { return int(a.at - b.at) })
	if first.at > c.now+time.Second {
		c.now += time.Second
		c.mu.Unlock()
		return
	}
	c.now = first.at
	c.mu.Unlock()
	first.Stop()
	go first.run()
}

func (c *fakeClock) time() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// brokenAgent fails in one way until it is healthy; what was polled before stays as it is.
type brokenAgent struct {
	mu      sync.Mutex
	healthy bool
	fail    func(*agentConn)
	trickle []*agentConn // each gets a byte more with each step
}

// agentConn is a connection to a client. Writes to a client that has disconnected fail, which is what some tests are
// about.
type agentConn struct{ *net.TCPConn }

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (c *agentConn) write(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// writeChunks writes an HTTP header, and parts of a body that does not end.
func (c *agentConn) writeChunks(parts ...string) {
	text := chunkedHeader
	for _, part := range parts {
		text += chunk(part)
	}
	c.write(text)
}

func (c *agentConn) close() { _ = c.Close() }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listen starts the agent and returns its address. It ends with the test.
func (a *brokenAgent) listen(t *testing.T) string {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go a.respond(&agentConn{conn})
		}
	}()
	return listener.Addr().String()
}

func (a *brokenAgent) respond(conn *agentConn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.healthy {
		conn.writeChunks(discoverytest.ListJSON(7, true, "x", "terminating") + "\n")
		return
	}
	a.fail(conn)
}

// step sends a byte more on each connection that trickles.
func (a *brokenAgent) step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, conn := range a.trickle {
		conn.write(chunk("1"))
	}
}

func (a *brokenAgent) recover() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.healthy = true
}

// failureMode is a way in which an agent fails, or connections to it.
type failureMode struct {
	name string
	fail func(*brokenAgent, *agentConn) // nil: no connection comes up
	dial func(context.Context) (net.Conn, error)
	// updates is how many updates come before the failure.
	updates int
}

func failureModes() []failureMode {
	half := discoverytest.ListJSON(6, true, "x", "in_service")[:30]
	chunks := func(parts ...string) func(*brokenAgent, *agentConn) {
		return func(_ *brokenAgent, c *agentConn) { c.writeChunks(parts...) }
	}
	return []failureMode{
		{name: "reset", fail: func(_ *brokenAgent, c *agentConn) { _ = c.SetLinger(0); c.close() }},
		{name: "closed", fail: func(_ *brokenAgent, c *agentConn) { c.close() }},
		{name: "hung", fail: func(*brokenAgent, *agentConn) {}},
		{name: "hung with headers", fail: chunks()},
		{name: "hung in a body", fail: chunks(half)},
		{name: "a body that breaks off", fail: func(_ *brokenAgent, c *agentConn) { c.writeChunks(half); c.close() }},
		{name: "an HTTP error", fail: func(_ *brokenAgent, c *agentConn) {
			c.write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			c.close()
		}},
		{name: "no HTTP", fail: func(_ *brokenAgent, c *agentConn) { c.write("nonsense\r\n\r\n"); c.close() }},
		{name: "an unreadable list", fail: chunks("nonsense")},
		{name: "an unknown state", fail: chunks(discoverytest.ListJSON(6, false, "x", "asleep"))},
		{name: "a version that goes back", fail: chunks(discoverytest.ListJSON(3, false, "x", "in_service"))},
		{name: "a watch that falls silent", updates: 1, fail: chunks(discoverytest.ListJSON(4, false, "x", "in_service") + "\n")},
		{name: "a list that trickles", fail: func(a *brokenAgent, c *agentConn) {
			c.writeChunks(`{"version":1`)
			a.trickle = append(a.trickle, c)
		}},
		{name: "refused", dial: func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", refusingAddress)
		}},
		{name: "no connection", dial: func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}},
	}
}

// recovery is how the change comes to be reachable.
type recovery struct {
	name          string
	extraSteps    int  // before it
	switchAddress bool // to a healthy agent
}

var recoveries = []recovery{
	{name: "the agent recovers"},
	{name: "the agent recovers, a wait later", extraSteps: 1},
	{name: "SIGHUP", switchAddress: true},
	{name: "SIGHUP, a wait later", extraSteps: 1, switchAddress: true},
}

// TestChangeIsAppliedInTimeAfterAnyFailure guards the time within which a change of the list is acted on, whatever was
// before: 6 s after discovery has it and can be reached, here with a third of that to spare. Each way of failing goes
// on until the backoffs between polls have grown as far as they do, and the change comes right after one more of them.
func TestChangeIsAppliedInTimeAfterAnyFailure(t *testing.T) {
	for _, mode := range failureModes() {
		for _, recovery := range recoveries {
			t.Run(mode.name+", "+recovery.name, func(t *testing.T) {
				t.Parallel()
				testRecoveryTime(t, mode, recovery)
			})
		}
	}
}

// recoveryTest is a client of an agent that fails.
type recoveryTest struct {
	agent   *brokenAgent
	address string
	clock   *fakeClock
	client  *runningClient
	healthy chan struct{} // closed when connections to the agent come up
	dials   chan struct{} // one for each connection
}

const (
	maxRecoveryTime        = 4 * time.Second
	maxRecoveryConnections = 50
	recoverySteps          = 21
	maxStepsToChange       = 200
	// stepSettleTime is the real time within which most has come that comes without a step of the clock.
	stepSettleTime = 10 * time.Millisecond
)

func startRecoveryTest(t *testing.T, mode failureMode) *recoveryTest {
	t.Helper()
	rt := &recoveryTest{
		agent: &brokenAgent{}, clock: &fakeClock{},
		healthy: make(chan struct{}), dials: make(chan struct{}, 1024),
	}
	rt.agent.fail = func(c *agentConn) { mode.fail(rt.agent, c) }
	rt.address = rt.agent.listen(t)
	rt.client = runClient(t, rt.address, func(o *Options) {
		o.After, o.AfterFunc, o.PollRetryInterval = rt.clock.After, rt.clock.AfterFunc, PollRetryIntervalFor(0)
		dial := o.DialContext
		o.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			rt.dials <- struct{}{}
			if mode.dial != nil && address == rt.address && !rt.isHealthy() {
				return mode.dial(ctx)
			}
			return dial(ctx, network, address)
		}
	})
	return rt
}

func (rt *recoveryTest) isHealthy() bool {
	select {
	case <-rt.healthy:
		return true
	default:
		return false
	}
}

func (rt *recoveryTest) step() {
	rt.agent.step()
	rt.clock.step()
}

// recover makes the change reachable.
func (rt *recoveryTest) recover(t *testing.T, how recovery) {
	t.Helper()
	if how.switchAddress {
		other := &brokenAgent{healthy: true}
		rt.client.addresses <- other.listen(t)
		return
	}
	close(rt.healthy)
	rt.agent.recover()
}

// awaitChange steps the clock until the change has come.
func (rt *recoveryTest) awaitChange(t *testing.T) {
	t.Helper()
	for steps := 0; ; {
		select {
		case update := <-rt.client.updates:
			if slices.Equal(update, []string{"x draining"}) {
				return
			}
		case <-time.After(20 * stepSettleTime):
			if steps++; steps > maxStepsToChange {
				t.Fatal("the change never came")
			}
			rt.step()
		}
	}
}

func testRecoveryTime(t *testing.T, mode failureMode, how recovery) {
	rt := startRecoveryTest(t, mode)
	for range mode.updates {
		receive(t, rt.client.updates)
	}
	for range recoverySteps + how.extraSteps {
		rt.step()
		time.Sleep(stepSettleTime)
	}
	from := rt.clock.time()
	rt.recover(t, how)
	rt.awaitChange(t)
	if took := rt.clock.time() - from; took > maxRecoveryTime {
		t.Errorf("the change came after %v", took)
	}
	if n := len(rt.dials); n > maxRecoveryConnections {
		t.Errorf("%d connections were made in %v", n, rt.clock.time())
	}
}
