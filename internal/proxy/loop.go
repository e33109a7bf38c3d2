// Package proxy carries out on real sockets what the decision module asks for, and reports to it
// what came of it. It decides nothing about quotas, backends or further attempts.
package proxy

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"
	"reedlead/internal/peerlink"

	"reedlead/internal/discovery"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

const (
	eventQueue = 1024
	// Of the memory, that unfinished and queued input may take beside a first buffer a connection. The
	// collector lets as much again lie, and the program itself needs some MB.
	inputShare = 0.2
	// New connections come for up to 0.4 s after a planned restart was announced, and what is lost
	// from 0.7 s on counts: the listener closes between the two.
	acceptAfterTerm = 500 * time.Millisecond
	// SIGKILL may follow this much after the longest deadline, which counts as killCap where it is longer.
	// By drainSpare before that, all has its answer, and by half of it each connection is closed.
	killAfter       = 700 * time.Millisecond
	killCap         = 3 * time.Second
	drainSpare      = 150 * time.Millisecond
	sweepEvery      = time.Second
	defaultMemoryMB = 192 // where the configuration gives none
	// Each time limit has 50 ms of slack. A timer that is later than a part of it tells that this process
	// stood still, and what came meanwhile may still lie in the sockets.
	lateS = 0.02
	// How long after the start a list with a backend of use is waited for before the front is told that this
	// ingress is ready. Nine in ten have to be within 10 s.
	readyTimeout = 2 * time.Second
	// So the readers are given turns, until one brings nothing more, and so many at most.
	readersTurn  = 200 * time.Microsecond
	readersTurns = 10
)

// clock gives Unix seconds that advance by the monotonic clock alone.
type clock struct {
	base time.Time
	unix float64
	wall func() float64 // the wall clock, which may be stepped
}

func newClock() clock {
	t := time.Now()
	return clock{t, unixSeconds(t), func() float64 { return unixSeconds(time.Now()) }}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

func (c clock) now() float64 { return c.unix + time.Since(c.base).Seconds() }

// at is the time that the clock shows so many seconds at.
func (c clock) at(now float64) time.Time {
	return c.base.Add(time.Duration((now - c.unix) * float64(time.Second)))
}

// event is something that happened outside the loop, with the time at which it did.
type event struct {
	at float64
	do func()
}

// decider is what the loop tells the decision module, a *policy.Gateway.
type decider interface {
	HandleRequest(now float64, q policy.Request)
	HandleOutcome(now float64, o policy.Outcome)
	HandleClientGone(now float64, id string)
	HandleEndpoints(now float64, list []policy.Endpoint, whole bool)
	HandleTimer(now float64, token uint64)
	HandlePeerMessage(now float64, from int, data []byte)
	HandleHealthCheck(now float64, p policy.HealthCheckResult)
}

// Ingress is one gateway on real sockets. Its loop alone owns the gateway and all that is not said
// to belong to another goroutine.
type Proxy struct {
	cfg    config.Config
	log    *slog.Logger
	clock  clock
	events chan event
	done   chan struct{} // closed when the loop has ended

	decider       decider
	now           float64 // what the module was last told; never goes back
	timers        timerHeap
	wake          *time.Timer
	wakeAt        float64
	loopLag       loopLag
	deferred      []func() // outcomes that an action yielded, for when its event method has returned
	logLimit      logLimiter
	commandBuffer []byte          // of the command that is being written
	inputBudget   *readbuf.Budget // what clients and backends have sent and nobody has used up yet; of all goroutines

	acceptFor       time.Duration     // how long after the signal new connections are taken
	drainFor        time.Duration     // and when all is answered at the latest
	discovery       discovery.Options // but for what followDiscovery adds
	calls           *netcalls.Calls
	turn            func()       // lets readers run
	probeDescriptor func() error // tells whether a descriptor is to be had
	starts          discovery.StartTimes
	listener        *net.TCPListener
	clients         clientSet
	requests        map[string]*request
	endpoints       endpointSet
	peers           *peerlink.Link
	leaving         bool    // connections close between requests
	accepted        bool    // the listener is closed, all that came there was accepted
	stopped         bool    // what comes now is refused at once
	readyAt         float64 // when it is ready without a backend
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each
// configuration that comes on reread, which may be nil, the address of discovery is taken over.
func Run(ctx context.Context, cfg config.Config, reread <-chan config.Config, log *slog.Logger) error {
	p, err := open(ctx, cfg, log, netcalls.System())
	if err != nil {
		return err
	}
	gate, err := policy.New(cfg.Settings.Settings, cfg.Seed, p.now, p)
	if err != nil {
		p.close()
		return fmt.Errorf("settings: %w", err)
	}
	p.serve(ctx, reread, gate)
	return nil
}

// open makes an ingress and its sockets; nothing is read from them yet.
func open(ctx context.Context, cfg config.Config, log *slog.Logger, calls *netcalls.Calls) (*Proxy, error) {
	p := &Proxy{
		cfg: cfg, log: log, clock: newClock(), events: make(chan event, eventQueue),
		done: make(chan struct{}), requests: map[string]*request{}, wake: time.NewTimer(time.Hour),
		acceptFor: acceptAfterTerm, drainFor: drainTimeout(cfg.Settings.Classes),
		discovery: discovery.DefaultOptions(cfg.Settings.DrainNotice),
		calls:     calls,
		turn:      func() { time.Sleep(readersTurn) }, probeDescriptor: probeDescriptor,
	}
	p.now = p.clock.now()
	p.starts.Sample(p.now, p.clock.wall())
	p.readyAt = p.now + readyTimeout.Seconds()
	input := int64(float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20) * inputShare)
	p.inputBudget = readbuf.NewBudget(input, int64(float64(input)*readAheadBudgetShare))
	p.clients.init(p, cfg.Sockets)
	p.endpoints.init(cfg, calls)
	addr, err := net.ResolveTCPAddr("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p.listener, err = netcalls.RetryAtStart(ctx, calls.Sleep, func() (*net.TCPListener, error) { return calls.Listen(addr) })
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if cfg.Settings.PeerMessages {
		if p.peers, err = p.openPeerLink(ctx); err != nil {
			p.listener.Close()
			return nil, err
		}
	}
	return p, nil
}

func (p *Proxy) close() {
	p.listener.Close()
	if p.peers != nil {
		p.peers.Close()
	}
}

// serve starts the readers and runs the loop to the end of the drain.
func (p *Proxy) serve(ctx context.Context, reread <-chan config.Config, gate decider) {
	defer p.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.decider = gate
	p.applyList(p.cfg.Known)
	go p.followDiscovery(background, reread)
	go p.acceptClients(p.listener)
	if p.peers != nil {
		go p.receivePeerMessages()
	}
	p.every(sweepEvery, func() {
		p.starts.Sample(p.clock.now(), p.clock.wall())
		p.endpoints.sweep(p)
		p.clients.sweep()
		p.checkDescriptors()
	})
	p.loop(ctx)
}

// loop handles events one at a time until the drain is complete.
func (p *Proxy) loop(ctx context.Context) {
	defer close(p.done)
	term := ctx.Done()
	for !p.leaving || !p.accepted || p.clients.open() > 0 {
		p.arm()
		select {
		case e := <-p.events:
			p.handle(e)
		case <-p.wake.C:
			p.wakeAt = 0
			p.fire()
		case <-term:
			term = nil
			p.log.Info("draining")
			p.after(p.acceptFor.Seconds(), p.leave)
			p.after(p.drainFor.Seconds(), p.stop)
		}
	}
}

// post hands the loop an event of another goroutine.
func (p *Proxy) post(at float64, do func()) {
	select {
	case p.events <- event{at, do}:
	case <-p.done:
	}
}

// handle runs one event and what it left to do. A panic costs the event, not the process.
func (p *Proxy) handle(e event) {
	p.now = max(p.now, e.at)
	p.guard(e.do)
	for len(p.deferred) > 0 {
		do := p.deferred[0]
		p.deferred = p.deferred[1:]
		p.guard(do)
	}
	p.deferred = nil
}

func (p *Proxy) guard(do func()) {
	defer func() {
		if cause := recover(); cause != nil {
			p.warn("event failed", "panic", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	do()
}

// leave ends the time in which new connections are taken. From here on all that is open has time until
// stop: clients go on sending on connections that stay open.
func (p *Proxy) leave() {
	p.leaving = true
	p.listener.SetDeadline(time.Now())
	p.clients.closeIdle()
}

// drainTimeout is how long after the signal a drain may take.
func drainTimeout(classes []policy.Class) time.Duration {
	longest := 0.0
	for _, c := range classes {
		longest = max(longest, c.Timeout)
	}
	return min(time.Duration(longest*float64(time.Second)), killCap) + killAfter - drainSpare
}

// ---- Timers ----

// timer runs do on the loop at a time, unless it is stopped before. The heap is bounded by what is
// open: a request and an attempt hold one timer each until they end, the module and the loop a few.
type timer struct {
	at    float64
	do    func()
	index int // in the heap, -1 outside
}

type timerHeap []*timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

// after runs do on the loop, delay seconds from now.
func (p *Proxy) after(delay float64, do func()) *timer {
	t := &timer{at: p.now + delay, do: do}
	heap.Push(&p.timers, t)
	return t
}

// stopTimer lets go of a timer and all that it holds; nil and one that has run are fine.
func (p *Proxy) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&p.timers, t.index)
	}
}

func (p *Proxy) every(d time.Duration, do func()) {
	p.after(d.Seconds(), func() {
		p.every(d, do)
		do()
	})
}

// arm sets the one system timer to the earliest of the heap, unless it rings before that anyway.
func (p *Proxy) arm() {
	if len(p.timers) == 0 || p.wakeAt != 0 && p.wakeAt <= p.timers[0].at {
		return
	}
	p.wakeAt = p.timers[0].at
	p.loopLag.nextTimerDue.store(p.wakeAt)
	p.wake.Reset(max(0, time.Duration((p.wakeAt-p.clock.now())*float64(time.Second))))
}

// fire runs the timers that are due. What has come goes first, an answer, a hang-up or a list: else a copy
// would be sent beside the answer, or an attempt timed out that is done.
func (p *Proxy) fire() {
	now := p.clock.now()
	if p.stoodStill(now) {
		p.loopLag.recordStall(p.timers[0].at, now)
		for n := range readersTurns {
			if p.turn(); len(p.events) == 0 && n > 0 {
				break
			}
			p.takeIn()
		}
	}
	for {
		p.takeIn()
		if len(p.timers) == 0 || p.timers[0].at > now {
			return
		}
		p.handle(event{now, heap.Pop(&p.timers).(*timer).do})
	}
}

// stoodStill tells by an overdue timer that this process did.
func (p *Proxy) stoodStill(now float64) bool {
	return len(p.timers) > 0 && now-p.timers[0].at > lateS
}

// takeIn handles what is in the queue by now.
func (p *Proxy) takeIn() {
	for range len(p.events) {
		p.handle(<-p.events)
	}
}

// ---- policy.Actions, but for those of requests and attempts ----

// SetTimer implements policy.Actions.
func (p *Proxy) SetTimer(token uint64, delayS float64) {
	p.after(max(delayS, 0), func() { p.decider.HandleTimer(p.now, token) })
}

// Log implements policy.Actions.
func (p *Proxy) Log(text string) { p.log.Info(text) }

// logLimiter bounds how often faults of others are logged.
type logLimiter struct {
	second int64
	n      int
}

const maxWarningsPerSecond = 5

// warn logs a fault of somebody else, unless there were many within this second. Loop only.
func (p *Proxy) warn(what string, args ...any) {
	if second := int64(p.now); second != p.logLimit.second {
		p.logLimit = logLimiter{second: second}
	}
	if p.logLimit.n++; p.logLimit.n <= maxWarningsPerSecond {
		p.log.Warn(what, args...)
	}
}
