package proxy

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
)

// fakeTime stands in for the waits between questions to discovery. It moves only when the test says so, to
// the next wait that ends.
type fakeTime struct {
	mu    sync.Mutex
	now   time.Duration
	waits []*fakeAlarm
}

type fakeAlarm struct {
	t  *fakeTime
	at time.Duration
	do func()
}

func (f *fakeTime) alarm(d time.Duration, do func()) alarm {
	a := &fakeAlarm{t: f, do: do}
	a.Reset(d)
	return a
}

func (f *fakeTime) pause(d time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	f.alarm(d, func() { c <- time.Time{} })
	return c
}

func (a *fakeAlarm) Reset(d time.Duration) bool {
	was := a.Stop()
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	a.at = a.t.now + d
	a.t.waits = append(a.t.waits, a)
	return was
}

func (a *fakeAlarm) Stop() bool {
	a.t.mu.Lock()
	defer a.t.mu.Unlock()
	n := len(a.t.waits)
	a.t.waits = slices.DeleteFunc(a.t.waits, func(w *fakeAlarm) bool { return w == a })
	return len(a.t.waits) < n
}

// step ends the wait that ends first, or has a second pass if that is less.
func (f *fakeTime) step() {
	f.mu.Lock()
	var first *fakeAlarm
	for _, w := range f.waits {
		if first == nil || w.at < first.at {
			first = w
		}
	}
	if first == nil {
		f.mu.Unlock()
		return
	}
	if first.at > f.now+time.Second {
		f.now += time.Second
		f.mu.Unlock()
		return
	}
	f.now = first.at
	f.mu.Unlock()
	first.Stop()
	go first.do()
}

func (f *fakeTime) time() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// brokenAgent fails in one way until it is healthy; what was asked before stays as it is.
type brokenAgent struct {
	mu      sync.Mutex
	healthy bool
	fail    func(w io.Writer, c *net.TCPConn)
	trickle []net.Conn // each gets a byte more with each step
	asked   int
}

const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func (a *brokenAgent) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				a.mu.Lock()
				defer a.mu.Unlock()
				if a.asked++; a.healthy {
					io.WriteString(c, chunked+chunk(listed(7, true, "x", "terminating")+"\n"))
					return
				}
				a.fail(c, c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func (a *brokenAgent) step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.trickle {
		io.WriteString(c, chunk("1"))
	}
}

// Guards the time within which a change of the list is acted on, whatever was before: 6 s after discovery has
// it and can be reached, here with a third of that to spare. Each way of failing goes on until the pauses
// between questions have grown as far as they do, and the change comes right after one more of them.
func TestAChangeIsActedOnInTimeWhateverWasBefore(t *testing.T) {
	const most = 4 * time.Second
	a := func(fail func(w io.Writer, c *net.TCPConn)) func(*brokenAgent) {
		return func(b *brokenAgent) { b.fail = fail }
	}
	half := chunk(listed(6, true, "x", "in_service")[:30])
	for name, change := range map[string]func(*brokenAgent){
		"reset":                  a(func(_ io.Writer, c *net.TCPConn) { c.SetLinger(0); c.Close() }),
		"closed":                 a(func(_ io.Writer, c *net.TCPConn) { c.Close() }),
		"hung":                   a(func(io.Writer, *net.TCPConn) {}),
		"hung with headers":      a(func(w io.Writer, _ *net.TCPConn) { io.WriteString(w, chunked) }),
		"hung in a body":         a(func(w io.Writer, _ *net.TCPConn) { io.WriteString(w, chunked+half) }),
		"a body that breaks off": a(func(w io.Writer, c *net.TCPConn) { io.WriteString(w, chunked+half); c.Close() }),
		"an HTTP error": a(func(w io.Writer, c *net.TCPConn) {
			io.WriteString(w, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			c.Close()
		}),
		"no HTTP":            a(func(w io.Writer, c *net.TCPConn) { io.WriteString(w, "nonsense\r\n\r\n"); c.Close() }),
		"an unreadable list": a(func(w io.Writer, c *net.TCPConn) { io.WriteString(w, chunked+chunk("nonsense")) }),
		"an unknown state": a(func(w io.Writer, c *net.TCPConn) {
			io.WriteString(w, chunked+chunk(listed(6, false, "x", "asleep")))
		}),
		"a version that goes back": a(func(w io.Writer, c *net.TCPConn) {
			io.WriteString(w, chunked+chunk(listed(3, false, "x", "in_service")))
		}),
		"a watch that falls silent": a(func(w io.Writer, c *net.TCPConn) {
			io.WriteString(w, chunked+chunk(listed(4, false, "x", "in_service")+"\n"))
		}),
		"a list that trickles": func(b *brokenAgent) {
			b.fail = func(w io.Writer, c *net.TCPConn) {
				io.WriteString(w, chunked+chunk(`{"version":1`))
				b.trickle = append(b.trickle, c)
			}
		},
		"refused":       nil,
		"no connection": nil,
	} {
		for parity, how := range []string{"the agent recovers", "the agent recovers, a wait later", "SIGHUP", "SIGHUP, a wait later"} {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				broken, clock := &brokenAgent{}, &fakeTime{}
				if change != nil {
					change(broken)
				}
				cfg := testConfig()
				first := broken.serve(t)
				cfg.Discovery, cfg.Known.Version = first, 4
				dials, healthy := make(chan struct{}, 1024), make(chan struct{})
				r := startProxy(t, cfg, func(r *harness) {
					r.proxy.pause, r.proxy.alarm, r.proxy.askAgain = clock.pause, clock.alarm, askAgainAfter(0)
					dial := r.proxy.calls.dialAgent
					r.proxy.calls.dialAgent = func(ctx context.Context, network, addr string) (net.Conn, error) {
						dials <- struct{}{}
						select {
						case <-healthy:
							return dial(ctx, network, addr)
						default:
						}
						switch {
						case addr != first || change != nil:
							return dial(ctx, network, addr)
						case name == "refused":
							return dial(ctx, network, unreachableAgent)
						}
						<-ctx.Done()
						return nil, ctx.Err()
					}
				})
				r.nextEndpoints() // the known list
				if name == "a watch that falls silent" {
					r.nextEndpoints()
				}
				quiet := 10 * time.Millisecond // after which most has come that comes without a step of time
				for range 21 + parity%2 {
					broken.step()
					clock.step()
					time.Sleep(quiet)
				}
				from := clock.time()
				if parity >= 2 {
					other := &brokenAgent{healthy: true}
					cfg.Discovery = other.serve(t)
					r.reread <- cfg
				} else {
					close(healthy)
					broken.mu.Lock()
					broken.healthy = true
					broken.mu.Unlock()
				}
				for steps := 0; ; steps++ {
					select {
					case list := <-r.decider.lists:
						if len(list) == 1 && list[0].State == 1 {
							took := clock.time() - from
							if took > most {
								t.Errorf("the change came after %v", took)
							}
							broken.mu.Lock()
							defer broken.mu.Unlock()
							if n := len(dials); n > 50 {
								t.Errorf("%d connections were made in %v", n, clock.time())
							}
							return
						}
					case <-time.After(20 * quiet):
						if steps > 200 {
							t.Fatal("the change never came")
						}
						broken.step()
						clock.step()
					}
				}
			})
		}
	}
}

// Guards against a long grace for drains that puts off the next question.
func TestQuestionsFollowEachOtherWhateverTheGrace(t *testing.T) {
	for grace, want := range map[float64]time.Duration{
		0: 75 * time.Millisecond, 0.25: 75 * time.Millisecond,
		0.05: 15 * time.Millisecond, 1: 300 * time.Millisecond, 60: 500 * time.Millisecond,
	} {
		if got := askAgainAfter(grace).Round(time.Microsecond); got != want {
			t.Errorf("grace %v: asked again after %v, want %v", grace, got, want)
		}
	}
}
