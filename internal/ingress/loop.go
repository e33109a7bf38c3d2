// Package ingress carries out on real sockets what the decision module asks for, and reports to it
// what came of it. It decides nothing about quotas, backends or further attempts.
package ingress

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"time"

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
	killAfter  = 700 * time.Millisecond
	killCap    = 3 * time.Second
	drainSpare = 150 * time.Millisecond
	sweepEvery = time.Second
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

// alarm runs a function once, on a goroutine of its own, after a time that can be set anew; a *time.Timer.
type alarm interface {
	Reset(time.Duration) bool
	Stop() bool
}

// Ingress is one gateway on real sockets. Its loop alone owns the gateway and all that is not said
// to belong to another goroutine.
type Ingress struct {
	cfg    Config
	log    *slog.Logger
	clock  clock
	events chan event
	done   chan struct{} // closed when the loop has ended

	decider  decider
	now      float64 // what the module was last told; never goes back
	timers   timerHeap
	wake     *time.Timer
	wakeAt   float64
	pace     pace
	deferred []func() // outcomes that an action yielded, for when its event method has returned
	logLimit logLimiter
	bytes    []byte // of the command that is being written
	input    budget // what clients and backends have sent and nobody has used up yet; of all goroutines

	acceptFor time.Duration                        // how long after the signal new connections are taken
	drainFor  time.Duration                        // and when all is answered at the latest
	pause     func(time.Duration) <-chan time.Time // between questions to discovery
	silence   time.Duration                        // of discovery, that tells that an answer has broken off
	askAgain  time.Duration                        // until an agent that does not answer is asked again
	alarm     func(time.Duration, func()) alarm    // of discovery
	calls     systemCalls
	turn      func()       // lets readers run
	spare     func() error // tells whether a descriptor is to be had
	starts    startTimes
	listener  *net.TCPListener
	clients   clientSet
	requests  map[string]*request
	backends  backendSet
	peers     *peerLink
	leaving   bool    // connections close between requests
	accepted  bool    // the listener is closed, all that came there was accepted
	stopped   bool    // what comes now is refused at once
	readyAt   float64 // when it is ready without a backend
}

// Run serves until ctx ends and then drains. It returns nil after a complete drain. Of each
// configuration that comes on reread, which may be nil, the address of discovery is taken over.
func Run(ctx context.Context, cfg Config, reread <-chan Config, log *slog.Logger) error {
	in, err := open(ctx, cfg, log, realCalls())
	if err != nil {
		return err
	}
	gate, err := policy.New(cfg.Settings.Settings, cfg.Seed, in.now, in)
	if err != nil {
		in.close()
		return fmt.Errorf("settings: %w", err)
	}
	in.serve(ctx, reread, gate)
	return nil
}

// open makes an ingress and its sockets; nothing is read from them yet.
func open(ctx context.Context, cfg Config, log *slog.Logger, calls systemCalls) (*Ingress, error) {
	in := &Ingress{
		cfg: cfg, log: log, clock: newClock(), events: make(chan event, eventQueue),
		done: make(chan struct{}), requests: map[string]*request{}, wake: time.NewTimer(time.Hour),
		acceptFor: acceptAfterTerm, drainFor: drainTimeout(cfg.Settings.Classes), pause: time.After, silence: watchSilence,
		askAgain: askAgainAfter(cfg.Settings.StopSendingS),
		alarm:    func(d time.Duration, do func()) alarm { return time.AfterFunc(d, do) },
		calls:    calls,
		turn:     func() { time.Sleep(readersTurn) }, spare: spareDescriptor,
	}
	in.now = in.clock.now()
	in.starts.sample(in.now, in.clock.wall())
	in.readyAt = in.now + readyTimeout.Seconds()
	in.input.left.Store(int64(float64(cmp.Or(cfg.MemoryMB, defaultMemoryMB)<<20) * inputShare))
	in.input.readAheadLeft = int64(float64(in.input.left.Load()) * readAheadBudgetShare)
	in.clients.init(cfg.Sockets)
	in.backends.init(cfg, calls)
	addr, err := net.ResolveTCPAddr("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	in.listener, err = retryAtStart(ctx, func() (*net.TCPListener, error) { return calls.listen(addr) }, calls.wait, time.Now)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if cfg.Settings.PeerMessages {
		if in.peers, err = in.openPeers(ctx); err != nil {
			in.listener.Close()
			return nil, err
		}
	}
	return in, nil
}

func (in *Ingress) close() {
	in.listener.Close()
	if in.peers != nil {
		in.peers.close()
	}
}

// serve starts the readers and runs the loop to the end of the drain.
func (in *Ingress) serve(ctx context.Context, reread <-chan Config, gate decider) {
	defer in.close()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	in.decider = gate
	in.takeList(in.cfg.Known)
	go in.watchDiscovery(background, reread)
	go in.accept(in.listener)
	if in.peers != nil {
		go in.peers.receive()
	}
	in.every(sweepEvery, func() {
		in.starts.sample(in.clock.now(), in.clock.wall())
		in.backends.sweep(in)
		in.clients.sweep(in)
		in.checkDescriptors()
	})
	in.loop(ctx)
}

// loop handles events one at a time until the drain is complete.
func (in *Ingress) loop(ctx context.Context) {
	defer close(in.done)
	term := ctx.Done()
	for !in.leaving || !in.accepted || in.clients.open() > 0 {
		in.arm()
		select {
		case e := <-in.events:
			in.handle(e)
		case <-in.wake.C:
			in.wakeAt = 0
			in.fire()
		case <-term:
			term = nil
			in.log.Info("draining")
			in.after(in.acceptFor.Seconds(), in.leave)
			in.after(in.drainFor.Seconds(), in.stop)
		}
	}
}

// post hands the loop an event of another goroutine.
func (in *Ingress) post(at float64, do func()) {
	select {
	case in.events <- event{at, do}:
	case <-in.done:
	}
}

// handle runs one event and what it left to do. A panic costs the event, not the process.
func (in *Ingress) handle(e event) {
	in.now = max(in.now, e.at)
	in.guard(e.do)
	for len(in.deferred) > 0 {
		do := in.deferred[0]
		in.deferred = in.deferred[1:]
		in.guard(do)
	}
	in.deferred = nil
}

func (in *Ingress) guard(do func()) {
	defer func() {
		if p := recover(); p != nil {
			in.warn("event failed", "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	do()
}

// leave ends the time in which new connections are taken. From here on all that is open has time until
// stop: clients go on sending on connections that stay open.
func (in *Ingress) leave() {
	in.leaving = true
	in.listener.SetDeadline(time.Now())
	in.clients.closeIdle(in)
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
func (in *Ingress) after(delay float64, do func()) *timer {
	t := &timer{at: in.now + delay, do: do}
	heap.Push(&in.timers, t)
	return t
}

// stopTimer lets go of a timer and all that it holds; nil and one that has run are fine.
func (in *Ingress) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&in.timers, t.index)
	}
}

func (in *Ingress) every(d time.Duration, do func()) {
	in.after(d.Seconds(), func() {
		in.every(d, do)
		do()
	})
}

// arm sets the one system timer to the earliest of the heap, unless it rings before that anyway.
func (in *Ingress) arm() {
	if len(in.timers) == 0 || in.wakeAt != 0 && in.wakeAt <= in.timers[0].at {
		return
	}
	in.wakeAt = in.timers[0].at
	in.pace.dueAt.set(in.wakeAt)
	in.wake.Reset(max(0, time.Duration((in.wakeAt-in.clock.now())*float64(time.Second))))
}

// fire runs the timers that are due. What has come goes first, an answer, a hang-up or a list: else a copy
// would be sent beside the answer, or an attempt timed out that is done.
func (in *Ingress) fire() {
	now := in.clock.now()
	if in.stoodStill(now) {
		in.pace.noteStandstill(in.timers[0].at, now)
		for n := range readersTurns {
			if in.turn(); len(in.events) == 0 && n > 0 {
				break
			}
			in.takeIn()
		}
	}
	for {
		in.takeIn()
		if len(in.timers) == 0 || in.timers[0].at > now {
			return
		}
		in.handle(event{now, heap.Pop(&in.timers).(*timer).do})
	}
}

// stoodStill tells by an overdue timer that this process did.
func (in *Ingress) stoodStill(now float64) bool {
	return len(in.timers) > 0 && now-in.timers[0].at > lateS
}

// takeIn handles what is in the queue by now.
func (in *Ingress) takeIn() {
	for range len(in.events) {
		in.handle(<-in.events)
	}
}

// ---- policy.Actions, but for those of requests and attempts ----

// SetTimer implements policy.Actions.
func (in *Ingress) SetTimer(token uint64, delayS float64) {
	in.after(max(delayS, 0), func() { in.decider.HandleTimer(in.now, token) })
}

// Tell implements policy.Actions.
func (in *Ingress) SendToPeer(gateway int, data []byte) {
	if in.peers != nil {
		in.peers.tell(gateway, data)
	}
}

// Log implements policy.Actions.
func (in *Ingress) Log(text string) { in.log.Info(text) }

// logLimiter bounds how often faults of others are logged.
type logLimiter struct {
	second int64
	n      int
}

const maxWarningsPerSecond = 5

// warn logs a fault of somebody else, unless there were many within this second. Loop only.
func (in *Ingress) warn(what string, args ...any) {
	if second := int64(in.now); second != in.logLimit.second {
		in.logLimit = logLimiter{second: second}
	}
	if in.logLimit.n++; in.logLimit.n <= maxWarningsPerSecond {
		in.log.Warn(what, args...)
	}
}
