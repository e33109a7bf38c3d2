package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/internal/discovery"

	"reedlead/internal/resp"
	"reedlead/policy"
)

const valueReply = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"

func (w *testConn) wantValue(what string) {
	w.t.Helper()
	if a, b := w.readLine(), w.readLine(); a != "$1" || b != "v" {
		w.t.Errorf("%s: got %q, %q", what, a, b)
	}
}

// Guards against the second copy of an answer that is taken for the answer to the next command: a
// connection on which bytes wait, or that has ended, gets none, also before its reader has come to it.
func TestNothingIsWrittenBehindStrayBytes(t *testing.T) {
	for name, stray := range map[string]string{"a copy": valueReply, "noise": "x", "the end": ""} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			mine, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			old := receive(t, conns)
			if io.WriteString(old, stray); stray == "" {
				old.Close()
			}
			var c *backendConn
			r.onLoop(func() { // a pooled connection whose reader has not run yet
				be := r.proxy.endpoints.byID["s0"]
				c = &backendConn{endpoint: be, dialedAs: be.Endpoint, conn: mine.(*net.TCPConn)}
				c.raw, _ = c.conn.SyscallConn()
				c.idleSince = r.proxy.now
				be.idle = append(be.idle, c)
				r.proxy.endpoints.openConns++
			})
			r.eventually("it has come", func() bool { return !netcalls.NoDataPending(c.raw) })
			client := r.client()
			client.send(lookCommand("a")...)
			b := receive(t, conns)
			if got := b.readCommand(); len(got) != 4 {
				t.Fatalf("the new connection got %q", got)
			}
			io.WriteString(b, valueReply)
			client.wantValue("on a new connection")
			if stray != "" && old.readCommand() != nil {
				t.Error("a command was written behind the stray bytes")
			}
		})
	}
}

// Guards against the same where the copy comes once the next command is written: no client must be served
// with it, and no work that runs be sent again for it, as it would be after a copied word that it was turned
// away. The next command's request has failed, as its own answer can't be told any more.
func TestCopyBehindTheNextCommand(t *testing.T) {
	other := strings.Replace(valueReply, "v", "w", 1)
	for name, tc := range map[string]struct{ first, between, copy string }{
		"a value":                     {valueReply, "", valueReply},
		"a value of two before":       {valueReply, other, valueReply},
		"turned away":                 {"-BUSY\r\n", "", "-BUSY\r\n"},
		"turned away with a report":   {"-BUSY cpu_share=0.5\r\n", "", "-BUSY cpu_share=0.5\r\n"},
		"turned away, another report": {"-BUSY cpu_share=0.5\r\n", "", "-BUSY cpu_share=0.6\r\n"},
		"an error":                    {"-ERR failed\r\n", "", "-ERR failed\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), func(r *harness) {
				sendEachRequest(0)(r)
				r.proxy.endpoints.duplicateWindowS = 3600
			})
			c := r.client()
			send := func(id string) {
				c.send("CALL.POST", testCustomer, id, "c=bill,t=basic,d=600000,units=2,spread=2,first=1", "body")
			}
			send("a")
			b := receive(t, conns)
			b.readCommand()
			io.WriteString(b, tc.first)
			receive(t, r.decider.outcomes)
			if tc.between != "" {
				send("between")
				b.readCommand()
				io.WriteString(b, tc.between)
				receive(t, r.decider.outcomes)
			}
			send("b")
			if got := b.readCommand(); len(got) != 5 || got[2] != "b" {
				t.Fatalf("the connection got %q", got)
			}
			io.WriteString(b, tc.copy)
			if o := receive(t, r.decider.outcomes); o.RequestID != "b" || o.Status != policy.Error || o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if b.readCommand() != nil {
				t.Error("the connection is used on")
			}
		})
	}
}

// Guards against an answer thrown away for one like it that came long before: its connection had rested, so
// that a copy would have been seen.
func TestAnEqualAnswerAfterARestIsGood(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		r.proxy.endpoints.duplicateWindowS = 0.001
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	io.WriteString(b, valueReply)
	c.wantValue("the first")
	receive(t, r.decider.outcomes)
	waitForClock(r.proxy, r.proxy.clock.now()+0.002)
	c.send(lookCommand("b")...)
	b.readCommand()
	io.WriteString(b, valueReply)
	c.wantValue("the second")
}

// Guards against an answer from what stands now where a backend has been: a connection that was in use
// while its backend moved, or started anew, is not pooled.
func TestMovedBackendsConnectionsAreNotPooled(t *testing.T) {
	from, old := listenBackend(t)
	to, moved := listenBackend(t)
	for name, change := range map[string]func(*discovery.Endpoint){
		"moved":     func(e *discovery.Endpoint) { e.Addr = to },
		"restarted": func(e *discovery.Endpoint) { e.StartedMS = 5 },
	} {
		t.Run(name, func(t *testing.T) {
			r := startProxy(t, testConfig(from), sendEachRequest(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, old)
			b.readCommand()
			r.onLoop(func() {
				e := r.proxy.endpoints.byID["s0"].Endpoint
				change(&e)
				r.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{e}})
			})
			io.WriteString(b, valueReply)
			c.wantValue("the answer that was out")
			c.send(lookCommand("b")...)
			next := moved
			if name == "restarted" {
				next = old
			}
			b = receive(t, next)
			if b.readCommand() == nil {
				t.Fatal("the next command did not come")
			}
			io.WriteString(b, valueReply)
			c.wantValue("the next one")
		})
	}
}

// Guards against a repeat that reaches another group than the one for which it was chosen: a list changes
// the group of its backend while it waits for a dial.
func TestNoSendFromADialToAnotherGroup(t *testing.T) {
	for name, change := range map[string]func(*discovery.Endpoint){
		"zone": func(e *discovery.Endpoint) { e.Zone = "b" },
		"cell": func(e *discovery.Endpoint) { e.Cell = 7 },
	} {
		t.Run(name, func(t *testing.T) {
			addr, conns := listenBackend(t)
			free := make(chan struct{})
			r := startProxy(t, testConfig(addr), func(r *harness) {
				sendEachRequest(0)(r)
				dial := r.proxy.endpoints.dial
				r.proxy.endpoints.dial = func(addr string) (net.Conn, error) {
					<-free
					return dial(addr)
				}
			})
			r.client().send(lookCommand("a")...)
			receive(t, r.decider.requests)
			r.onLoop(func() {
				e := r.proxy.endpoints.byID["s0"].Endpoint
				change(&e)
				r.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{e}})
			})
			close(free)
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent {
				t.Errorf("got %+v", o)
			}
			if got := receive(t, conns).readCommand(); got != nil {
				t.Errorf("the backend got %q", got)
			}
		})
	}
}

// Guards against a backend taken for down, and a request for failed, where a dial fails while another
// connection has become free.
func TestFailedDialLeavesTheFreeConnection(t *testing.T) {
	addr, conns := listenBackend(t)
	fail, dialled := make(chan struct{}), make(chan struct{}, 2)
	r := startProxy(t, testConfig(addr), func(r *harness) {
		sendEachRequest(0)(r)
		dial, n := r.proxy.endpoints.dial, 0
		r.proxy.endpoints.dial = func(addr string) (net.Conn, error) { // one after another in this test
			n++
			dialled <- struct{}{}
			if n == 1 {
				return dial(addr)
			}
			<-fail
			return nil, io.ErrUnexpectedEOF
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	receive(t, dialled)
	c.send(lookCommand("b")...)
	receive(t, dialled)
	io.WriteString(b, valueReply)
	c.wantValue("the first")
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Fatalf("got %+v", o)
	}
	close(fail)
	if got := b.readCommand(); len(got) != 4 || got[2] != "b" {
		t.Fatalf("the free connection got %q", got)
	}
	io.WriteString(b, valueReply)
	c.wantValue("the second")
}

// Guards against a request that runs twice: one whose last byte was just written when its time was up, before
// the loop knew, may have run and must not be told as one that never did.
func TestTimeOutAsTheLastByteIsWritten(t *testing.T) {
	l, r := startWithSmallSockets(t, func(r *harness) {
		r.proxy.endpoints.afterWrite = func(c *backendConn) { // all is written; nobody is told before the time-out
			for end := time.Now().Add(patience); c.raw.Control(func(uintptr) {}) == nil && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
	})
	c := r.client()
	c.send("CALL.POST", testCustomer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", resp.MaxValue))
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got := newTestConn(t, b).readCommand(); len(got) != 5 {
		t.Fatalf("the backend got %q", got)
	}
	r.onLoop(func() { r.proxy.expireAttempt(r.proxy.requests["a"].attempts[0]) })
	if o := receive(t, r.decider.outcomes); o.Status != policy.Timeout {
		t.Errorf("got %+v", o)
	}
}

// Guards against a request written to a connection that its backend has closed while it idled,
// which would end as a reset that may have run.
func TestPooledConnections(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := r.client()
	serve := func(id string, b *testConn) {
		t.Helper()
		b.readCommand()
		io.WriteString(b, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
		if c.readLine() != "$1" || c.readLine() != "v" {
			t.Fatal("not served: " + id)
		}
		receive(t, r.decider.outcomes)
	}
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	serve("a", b)
	c.send(lookCommand("b")...)
	serve("b", b) // the same connection
	b.Close()
	r.eventually("the pool notices the close", func() bool { return r.proxy.endpoints.openConns == 0 })
	c.send(lookCommand("c")...)
	b = receive(t, conns)
	serve("c", b)
	r.onLoop(func() { r.proxy.now += r.proxy.endpoints.idleTimeoutS + 1; r.proxy.endpoints.sweep(r.proxy) })
	if b.readCommand() != nil {
		t.Error("a connection that idled for long was used")
	}
}
