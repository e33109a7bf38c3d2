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

// fakeClock replaces the timers of a client. Its time advances only when the test calls step.
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

// AfterFunc replaces time.AfterFunc.
func (c *fakeClock) AfterFunc(d time.Duration, f func()) Timer {
	timer := &fakeTimer{clock: c, run: f}
	timer.Reset(d)
	return timer
}

// After replaces time.After.
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

// step advances the clock to the time of the next timer, and runs that timer. If no timer is due within one second, it
// advances the clock by one second instead. It does nothing if there are no timers.
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

// brokenAgent is an agent that fails each poll in the same way until it recovers. The recovery does not change its
// response to earlier polls.
type brokenAgent struct {
	mu      sync.Mutex
	healthy bool
	fail    func(*agentConn)
	trickle []*agentConn // connections that get one more byte of a list with each step
}

// agentConn is a connection from a client. Its writes ignore errors, as the client may have closed the connection.
type agentConn struct{ *net.TCPConn }

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func (c *agentConn) write(text string) { _, _ = io.WriteString(c.TCPConn, text) }

// writeChunks writes an HTTP header and the first parts of a body, without the end of the body.
func (c *agentConn) writeChunks(parts ...string) {
	text := chunkedHeader
	for _, part := range parts {
		text += chunk(part)
	}
	c.write(text)
}

func (c *agentConn) close() { _ = c.Close() }

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listen starts the agent and returns its address. The agent is stopped at the end of the test.
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

// step sends one more byte of a list on each connection in trickle.
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

// failureMode is a way in which an agent, or the dial to it, fails.
type failureMode struct {
	name string
	fail func(*brokenAgent, *agentConn)          // handles a poll; nil if dial is set
	dial func(context.Context) (net.Conn, error) // replaces the dials until the agent recovers; nil if fail is set
	// updates is the number of updates that the client gets before the failure.
	updates int
}

func failureModes() []failureMode {
	partialList := discoverytest.ListJSON(6, true, "x", "in_service")[:30]
	chunks := func(parts ...string) func(*brokenAgent, *agentConn) {
		return func(_ *brokenAgent, c *agentConn) { c.writeChunks(parts...) }
	}
	return []failureMode{
		{name: "reset", fail: func(_ *brokenAgent, c *agentConn) { _ = c.SetLinger(0); c.close() }},
		{name: "closed", fail: func(_ *brokenAgent, c *agentConn) { c.close() }},
		{name: "hung", fail: func(*brokenAgent, *agentConn) {}},
		{name: "hung with headers", fail: chunks()},
		{name: "hung in a body", fail: chunks(partialList)},
		{name: "a body that breaks off", fail: func(_ *brokenAgent, c *agentConn) { c.writeChunks(partialList); c.close() }},
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

// recovery is a way in which the change that the test waits for becomes available to the client.
type recovery struct {
	name          string
	extraSteps    int  // steps of the clock before the recovery, in addition to recoverySteps
	switchAddress bool // the client gets the address of a healthy agent; otherwise its agent recovers
}

var recoveries = []recovery{
	{name: "the agent recovers"},
	{name: "the agent recovers, one clock step later", extraSteps: 1},
	{name: "the address is switched", switchAddress: true},
	{name: "the address is switched, one clock step later", extraSteps: 1, switchAddress: true},
}

// TestChangeIsAppliedInTimeAfterAnyFailure checks that the client receives a change in time after each kind of failure.
// The client must act on a change within 6 s of the time at which the agent has it and can be reached; the test allows
// two thirds of that. Each failure lasts for at least recoverySteps steps of the clock, in which the backoffs can grow.
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

// recoveryTest is a client with a fake clock, and its failing agent.
type recoveryTest struct {
	agent   *brokenAgent
	address string
	clock   *fakeClock
	client  *runningClient
	healthy chan struct{} // closed when the agent recovers
	dials   chan struct{} // receives a value for each dial
}

const (
	maxRecoveryTime  = 4 * time.Second
	maxDials         = 50
	recoverySteps    = 21
	maxStepsToChange = 200
	// stepSettleTime is the real time that the client and the agent get to act on a step of the clock before the
	// recovery. After the recovery, awaitChange gives them 20 times as long.
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

// recover makes the change available to the client.
func (rt *recoveryTest) recover(t *testing.T, recoveredBy recovery) {
	t.Helper()
	if recoveredBy.switchAddress {
		other := &brokenAgent{healthy: true}
		rt.client.addresses <- other.listen(t)
		return
	}
	close(rt.healthy)
	rt.agent.recover()
}

// awaitChange steps the clock until the client has received the change.
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
				t.Fatal("the client has not received the change")
			}
			rt.step()
		}
	}
}

func testRecoveryTime(t *testing.T, mode failureMode, recoveredBy recovery) {
	rt := startRecoveryTest(t, mode)
	for range mode.updates {
		receive(t, rt.client.updates)
	}
	for range recoverySteps + recoveredBy.extraSteps {
		rt.step()
		time.Sleep(stepSettleTime)
	}
	from := rt.clock.time()
	rt.recover(t, recoveredBy)
	rt.awaitChange(t)
	if took := rt.clock.time() - from; took > maxRecoveryTime {
		t.Errorf("the client received the change after %v, later than maxRecoveryTime", took)
	}
	if n := len(rt.dials); n > maxDials {
		t.Errorf("%d dials in %v, more than maxDials", n, rt.clock.time())
	}
}
