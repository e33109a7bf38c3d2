package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"reedlead/internal/netcalls"

	"reedlead/internal/command"
	"reedlead/internal/discovery"
	"reedlead/internal/resp"
	"reedlead/policy"
)

// still has the loop stand still while meanwhile runs, and then until holds: what comes meanwhile is not
// handled before then runs on the loop.
func (r *harness) whileLoopWaits(meanwhile func(), holds func() bool, then func()) {
	r.t.Helper()
	in, out, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	failed := false
	r.proxy.post(0, func() {
		defer close(done)
		close(in)
		<-out
		end := time.Now().Add(patience)
		for !holds() {
			if failed = time.Now().After(end); failed {
				break
			}
			time.Sleep(time.Millisecond)
		}
		then()
	})
	receive(r.t, in)
	meanwhile()
	close(out)
	<-done // nothing else is posted before
	if failed {
		r.t.Fatal("what was to come while the loop stood still has not come")
	}
}

// queued tells that events wait; on the loop.
func (r *harness) queued(n int) func() bool { return func() bool { return len(r.proxy.events) >= n } }

// Guards against timers that overtake what has come while the process stood still: an attempt that was
// answered would be timed out, and a drain that was told be passed by a send.
func TestWhatHasComeGoesBeforeTimers(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	r.eventually("it is out", func() bool { return r.proxy.requests["a"].attempts[0].conn != nil })
	stands, come := make(chan struct{}), make(chan struct{})
	r.onLoop(func() {
		a := r.proxy.requests["a"].attempts[0]
		r.proxy.after(0, func() { // the first late timer; the next one is due as well
			close(stands)
			<-come
			for !r.queued(1)() {
				time.Sleep(time.Millisecond)
			}
		})
		r.proxy.after(0, func() { r.proxy.expireAttempt(a) })
	})
	receive(t, stands)
	io.WriteString(b, valueReply)
	close(come)
	if o := receive(t, r.decider.outcomes); o.Status != policy.OK {
		t.Errorf("got %+v", o)
	}
	c.wantValue("the answer that had come")
}

// Guards against the same where the answer lies in the socket still: no timer of a process that stood
// still runs before the readers had their turn.
func TestReadersGoBeforeLateTimers(t *testing.T) {
	addr, conns := listenBackend(t)
	r := startProxy(t, testConfig(addr), sendEachRequest(0))
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	var a *attempt
	r.eventually("it is out", func() bool { a = r.proxy.requests["a"].attempts[0]; return a.conn != nil })
	a.conn.writeMu.Lock() // its reader reports the end of the connection once it has this
	b.Close()
	r.eventually("the reader stands", a.conn.unusable.Load)
	r.onLoop(func() {
		turns := 0
		r.proxy.turn = func() {
			if turns++; turns == 2 { // it needs no more than that
				a.conn.writeMu.Unlock()
			}
			for end := time.Now().Add(patience); turns == 2 && len(r.proxy.events) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		r.proxy.after(-1, func() { r.proxy.expireAttempt(a) }) // long overdue
	})
	if o := receive(t, r.decider.outcomes); o.Status != policy.Reset {
		t.Errorf("got %+v, want what the reader had to tell", o)
	}
}

// Guards against a copy or another try beside an answer that has come, be it in the queue or still in the
// socket: the request would be sent on after its final answer.
func TestNoSendBesideAnAnswerThatHasCome(t *testing.T) {
	for _, where := range []string{"queue", "socket"} {
		t.Run(where, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			var b *testConn
			if where == "socket" { // a connection that nobody reads
				mine, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				b = receive(t, conns)
				r.onLoop(func() {
					be := r.proxy.endpoints.byID["s0"]
					c := &backendConn{endpoint: be, dialedAs: be.Endpoint, conn: mine.(*net.TCPConn), idleSince: r.proxy.now}
					c.raw, _ = c.conn.SyscallConn()
					be.idle = append(be.idle, c)
					r.proxy.endpoints.openConns++
				})
			}
			c := r.client()
			c.send(lookCommand("a")...)
			if where == "queue" {
				b = receive(t, conns)
			}
			b.readCommand()
			come := func() bool { return !r.proxy.requests["a"].attempts[0].conn.awaitingReply.Load() }
			if where == "socket" {
				come = func() bool { return !netcalls.NoDataPending(r.proxy.requests["a"].attempts[0].conn.raw) }
			}
			r.whileLoopWaits(func() { io.WriteString(b, valueReply) }, come, func() { r.proxy.Send("a", "s0", 0, 0) })
			for {
				o := receive(t, r.decider.outcomes)
				if o.Attempt == 0 {
					continue
				}
				if o.Status != policy.NotSent {
					t.Errorf("the copy ended as %+v", o)
				}
				break
			}
			if n := len(conns); n != 0 {
				t.Errorf("%d more connections were made", n)
			}
		})
	}
}

// Guards against the same where the copy waited for a dial when the answer came.
func TestNoSendFromADialBesideAnAnswerThatHasCome(t *testing.T) {
	addr, conns := listenBackend(t)
	other, others := listenBackend(t)
	free := make(chan struct{})
	r := startProxy(t, testConfig(addr, other), func(r *harness) {
		sendEachRequest(0)(r)
		dial := r.proxy.endpoints.dial
		r.proxy.endpoints.dial = func(to string) (net.Conn, error) {
			if to == other {
				<-free
			}
			return dial(to)
		}
	})
	c := r.client()
	c.send(lookCommand("a")...)
	b := receive(t, conns)
	b.readCommand()
	var first *attempt
	r.onLoop(func() {
		first = r.proxy.requests["a"].attempts[0]
		r.proxy.Send("a", "s1", 0, 0)
	})
	first.conn.writeMu.Lock() // its reader tells of the end once it has this
	b.Close()
	r.eventually("the reader stands", first.conn.unusable.Load)
	close(free)
	if o := receive(t, r.decider.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	first.conn.writeMu.Unlock()
	r.onLoop(func() { r.proxy.applyList(discovery.List{Full: true}) }) // closes the pool
	if got := receive(t, others).readCommand(); got != nil {
		t.Errorf("the copy was sent: %q", got)
	}
}

// leave ends a client's connection, with a FIN or with a reset.
func (w *testConn) disconnect(how string) {
	if how == "reset" {
		w.Conn.(*net.TCPConn).SetLinger(0)
	}
	w.Close()
}

// Guards against requests that are sent on long after their client has left while they waited. The loop
// stands still from before the hang-up until after the send, wherever the request waits.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	for _, how := range []string{"closed", "reset"} {
		gone := func(r *harness, id string) func() bool {
			q := (*request)(nil)
			r.onLoop(func() { q = r.proxy.requests[id] })
			return func() bool { return netcalls.ClosedByPeer(q.client.rawConn) }
		}
		nothing := func(t *testing.T, r *harness, conns chan *testConn, id string) {
			t.Helper()
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || o.RequestID != id || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if got := receive(t, r.decider.gone); got != id {
				t.Errorf("gone: %q", got)
			}
			r.onLoop(func() {
				if len(conns) != 0 || r.proxy.endpoints.openConns != 0 || len(r.proxy.requests) != 0 {
					t.Errorf("%d connections, %d open, %d requests", len(conns), r.proxy.endpoints.openConns, len(r.proxy.requests))
				}
			})
		}
		t.Run("parked in the module, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), nil)
			c := r.client()
			c.send(lookCommand("a")...)
			receive(t, r.decider.requests)
			left := gone(r, "a")
			r.whileLoopWaits(func() { c.disconnect(how) }, left, func() {
				r.proxy.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("only just read, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			c := r.client()
			c.send("PING")
			c.readLine()
			var raw *clientConn
			r.onLoop(func() {
				for raw = range r.proxy.clients.conns {
				}
			})
			var args [][]byte
			for _, arg := range lookCommand("a") {
				args = append(args, []byte(arg))
			}
			r.whileLoopWaits(func() { c.disconnect(how) }, func() bool { return netcalls.ClosedByPeer(raw.rawConn) }, func() {
				request, err := command.NewParser(r.proxy.cfg.Settings.Settings).Parse(args)
				if err != nil {
					t.Error(err)
				}
				r.proxy.inputBudget.Reserve(request.Size)
				r.proxy.take(raw, request, r.proxy.clock.now())
			})
			nothing(t, r, conns, "a")
		})
		t.Run("in the socket of a process that stood still, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), nil)
			c := r.client()
			c.send(lookCommand("a")...)
			receive(t, r.decider.requests)
			left := gone(r, "a")
			r.whileLoopWaits(func() { c.disconnect(how) }, left, func() {
				r.proxy.requests["a"].cameAt = r.proxy.clock.now() // it was only read now
				r.proxy.after(-1, func() {})
				r.proxy.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("between tries, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			c := r.client()
			c.send(lookCommand("a")...)
			b := receive(t, conns)
			b.readCommand()
			left := gone(r, "a")
			io.WriteString(b, "-ERR failed\r\n")
			receive(t, r.decider.outcomes)
			r.whileLoopWaits(func() { c.disconnect(how) }, left, func() {
				r.proxy.applyList(discovery.List{Full: true, Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "in_service", StartedMS: 1}}})
				r.proxy.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("in the loop's queue, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), sendEachRequest(0))
			c := r.client()
			c.send("PING")
			c.readLine()
			var raw *clientConn
			r.onLoop(func() {
				for raw = range r.proxy.clients.conns {
				}
			})
			r.whileLoopWaits(func() { c.send(lookCommand("a")...) }, r.queued(1), func() {
				c.disconnect(how)
				for end := time.Now().Add(patience); !netcalls.ClosedByPeer(raw.rawConn) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				for at := r.proxy.clock.now(); r.proxy.clock.now()-at <= lateS; { // the command has waited for longer than that
					time.Sleep(time.Millisecond)
				}
			})
			nothing(t, r, conns, "a")
		})
		t.Run("waiting for a dial, "+how, func(t *testing.T) {
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
			c := r.client()
			c.send(lookCommand("a")...)
			receive(t, r.decider.requests)
			left := gone(r, "a")
			r.whileLoopWaits(func() { close(free) }, r.queued(1), func() {
				c.disconnect(how)
				for end := time.Now().Add(patience); !left() && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			})
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			b := receive(t, conns)
			r.onLoop(func() { r.proxy.applyList(discovery.List{Full: true}) }) // closes the pool
			if got := b.readCommand(); got != nil {
				t.Errorf("the backend got %q", got)
			}
		})
		t.Run("in the socket behind others, "+how, func(t *testing.T) {
			addr, conns := listenBackend(t)
			r := startProxy(t, testConfig(addr), nil)
			c := r.client()
			var all strings.Builder
			for i := range maxPipelined + 3 {
				all.WriteString(encodeCommand(lookCommand(fmt.Sprint("r", i))...))
			}
			io.WriteString(c, all.String())
			for range maxPipelined {
				receive(t, r.decider.requests)
			}
			left := gone(r, "r0")
			r.onLoop(func() { r.decider.onRequest = func(q policy.Request) { r.proxy.Send(q.ID, "s0", 0, 0) } })
			if how == "reset" {
				c.disconnect(how)
			} else { // what was sent before a FIN stays readable
				c.Conn.(*net.TCPConn).CloseWrite()
			}
			r.whileLoopWaits(func() {}, left, func() { r.proxy.Fail("r0", policy.DeadlineTooClose) }) // the next command has its permit
			for end := false; !end; {
				select {
				case <-conns:
					t.Error("a command was sent on")
					end = true
				case id := <-r.decider.gone:
					end = id == fmt.Sprint("r", maxPipelined-1)
				case <-time.After(patience):
					t.Fatal("the module never heard of it")
				}
			}
			r.eventually("all is let go", func() bool { return len(r.proxy.requests) == 0 && r.proxy.clients.open() == 0 })
			if len(conns) != 0 || r.proxy.endpoints.openConns != 0 {
				t.Error("a command was sent on")
			}
		})
	}
}

// Guards against a client that has left and is taken for one that is still there, for the commands of it that
// are unread, as where its reader waits behind open ones.
func TestAClientThatHasLeftIsSeenBehindUnreadCommands(t *testing.T) {
	for _, unread := range []string{"", "*1\r\n$4\r\nPING\r\n", strings.Repeat("*1\r\n$4\r\nPING\r\n", 200)} {
		for _, how := range []string{"closed", "reset", "half closed"} {
			addr, conns := listenBackend(t)
			mine, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { mine.Close() })
			raw, err := mine.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			other := receive(t, conns)
			io.WriteString(other, unread)
			if netcalls.ClosedByPeer(raw) {
				t.Errorf("%d bytes unread: gone before it has left", len(unread))
			}
			if how == "half closed" {
				other.Conn.(*net.TCPConn).CloseWrite()
			} else {
				other.disconnect(how)
			}
			for end := time.Now().Add(patience); !netcalls.ClosedByPeer(raw); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%s behind %d bytes: not seen", how, len(unread))
				}
			}
		}
	}
}

// TestHalfWrittenAttemptsEndWithTheirRequest guards against an attempt that begins after its request's end, as the
// rest of its command is written: it is cut off as its client leaves, or as the request is answered otherwise.
func TestHalfWrittenAttemptsEndWithTheirRequest(t *testing.T) {
	for name, end := range map[string]func(r *harness, c *testConn){
		"the client leaves": func(_ *harness, c *testConn) { c.Close() },
		"it is refused":     func(r *harness, _ *testConn) { r.onLoop(func() { r.proxy.Reject("a", 1, policy.DeadlineTooClose) }) },
	} {
		t.Run(name, func(t *testing.T) {
			l, r := startWithSmallSockets(t, nil)
			c := r.client()
			c.send("CALL.POST", testCustomer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", resp.MaxValue))
			b, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			r.untilPartIsWritten("a")
			end(r, c)
			if o := receive(t, r.decider.outcomes); o.Status != policy.NotSent || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if got := newTestConn(t, b).readCommand(); got != nil {
				t.Errorf("the backend got %d words", len(got))
			}
		})
	}
}

// TestAClientThatLeavesBehindMuchIsSeen guards against a client whose end does not come, as commands that are unread
// behind open ones fill its socket.
func TestAClientThatLeavesBehindMuchIsSeen(t *testing.T) {
	r := startProxy(t, testConfig(unreachableAgent), nil)
	_, left := r.idleUsage()
	c := r.client()
	var all strings.Builder
	for i := range maxPipelined + 1000 { // some times what a socket takes at first
		all.WriteString(encodeCommand(lookCommand(fmt.Sprintf("r%0100d", i))...))
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		io.WriteString(c, all.String())
		c.Conn.(*net.TCPConn).CloseWrite()
	}()
	for range maxPipelined {
		receive(t, r.decider.requests)
	}
	receive(t, written)
	for range maxPipelined {
		receive(t, r.decider.gone)
	}
	r.eventually("all is let go", func() bool { return len(r.proxy.requests) == 0 && r.proxy.clients.open() == 0 })
	if len(r.decider.requests) != 0 {
		t.Error("more of its commands were taken")
	}
	r.eventually("the budget is given back", func() bool { return r.proxy.inputBudget.Available() == left })
}
