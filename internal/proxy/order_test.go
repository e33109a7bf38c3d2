package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"reedlead/internal/discovery"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// still has the loop stand still while meanwhile runs, and then until holds: what comes meanwhile is not
// handled before then runs on the loop.
func (r *rig) still(meanwhile func(), holds func() bool, then func()) {
	r.t.Helper()
	in, out, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
	failed := false
	r.in.post(0, func() {
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
	get(r.t, in)
	meanwhile()
	close(out)
	<-done // nothing else is posted before
	if failed {
		r.t.Fatal("what was to come while the loop stood still has not come")
	}
}

// queued tells that events wait; on the loop.
func (r *rig) queued(n int) func() bool { return func() bool { return len(r.in.events) >= n } }

// Guards against timers that overtake what has come while the process stood still: an attempt that was
// answered would be timed out, and a drain that was told be passed by a send.
func TestWhatHasComeGoesBeforeTimers(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	r.until("it is out", func() bool { return r.in.requests["a"].attempts[0].conn != nil })
	stands, come := make(chan struct{}), make(chan struct{})
	r.do(func() {
		a := r.in.requests["a"].attempts[0]
		r.in.after(0, func() { // the first late timer; the next one is due as well
			close(stands)
			<-come
			for !r.queued(1)() {
				time.Sleep(time.Millisecond)
			}
		})
		r.in.after(0, func() { r.in.expire(a) })
	})
	get(t, stands)
	io.WriteString(b, value)
	close(come)
	if o := get(t, r.mod.outcomes); o.Status != policy.OK {
		t.Errorf("got %+v", o)
	}
	c.served("the answer that had come")
}

// Guards against the same where the answer lies in the socket still: no timer of a process that stood
// still runs before the readers had their turn.
func TestReadersGoBeforeLateTimers(t *testing.T) {
	addr, conns := listen(t)
	r := start(t, testConfig(addr), sendTo(0))
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	var a *attempt
	r.until("it is out", func() bool { a = r.in.requests["a"].attempts[0]; return a.conn != nil })
	a.conn.writing.Lock() // its reader reports the end of the connection once it has this
	b.Close()
	r.until("the reader stands", a.conn.dead.Load)
	r.do(func() {
		turns := 0
		r.in.turn = func() {
			if turns++; turns == 2 { // it needs no more than that
				a.conn.writing.Unlock()
			}
			for end := time.Now().Add(patience); turns == 2 && len(r.in.events) == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
		}
		r.in.after(-1, func() { r.in.expire(a) }) // long overdue
	})
	if o := get(t, r.mod.outcomes); o.Status != policy.Reset {
		t.Errorf("got %+v, want what the reader had to tell", o)
	}
}

// Guards against a copy or another try beside an answer that has come, be it in the queue or still in the
// socket: the request would be sent on after its final answer.
func TestNoSendBesideAnAnswerThatHasCome(t *testing.T) {
	for _, where := range []string{"queue", "socket"} {
		t.Run(where, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			var b *wire
			if where == "socket" { // a connection that nobody reads
				mine, err := net.Dial("tcp", addr)
				if err != nil {
					t.Fatal(err)
				}
				b = get(t, conns)
				r.do(func() {
					be := r.in.backends.byID["s0"]
					c := &backConn{be: be, at: be.Endpoint, conn: mine.(*net.TCPConn), idleAt: r.in.now}
					c.raw, _ = c.conn.SyscallConn()
					be.idle = append(be.idle, c)
					r.in.backends.open++
				})
			}
			c := r.client()
			c.send(look("a")...)
			if where == "queue" {
				b = get(t, conns)
			}
			b.command()
			come := func() bool { return !r.in.requests["a"].attempts[0].conn.busy.Load() }
			if where == "socket" {
				come = func() bool { return !silent(r.in.requests["a"].attempts[0].conn.raw) }
			}
			r.still(func() { io.WriteString(b, value) }, come, func() { r.in.Send("a", "s0", 0, 0) })
			for {
				o := get(t, r.mod.outcomes)
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
	addr, conns := listen(t)
	other, others := listen(t)
	free := make(chan struct{})
	r := start(t, testConfig(addr, other), func(r *rig) {
		sendTo(0)(r)
		dial := r.in.backends.dial
		r.in.backends.dial = func(to string) (net.Conn, error) {
			if to == other {
				<-free
			}
			return dial(to)
		}
	})
	c := r.client()
	c.send(look("a")...)
	b := get(t, conns)
	b.command()
	var first *attempt
	r.do(func() {
		first = r.in.requests["a"].attempts[0]
		r.in.Send("a", "s1", 0, 0)
	})
	first.conn.writing.Lock() // its reader tells of the end once it has this
	b.Close()
	r.until("the reader stands", first.conn.dead.Load)
	close(free)
	if o := get(t, r.mod.outcomes); o.Attempt != 1 || o.Status != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	first.conn.writing.Unlock()
	r.do(func() { r.in.applyList(discovery.List{Full: true}) }) // closes the pool
	if got := get(t, others).command(); got != nil {
		t.Errorf("the copy was sent: %q", got)
	}
}

// leave ends a client's connection, with a FIN or with a reset.
func (w *wire) leave(how string) {
	if how == "reset" {
		w.Conn.(*net.TCPConn).SetLinger(0)
	}
	w.Close()
}

// Guards against requests that are sent on long after their client has left while they waited. The loop
// stands still from before the hang-up until after the send, wherever the request waits.
func TestNothingIsSentForAClientThatHasLeft(t *testing.T) {
	for _, how := range []string{"closed", "reset"} {
		gone := func(r *rig, id string) func() bool {
			q := (*request)(nil)
			r.do(func() { q = r.in.requests[id] })
			return func() bool { return closedByPeer(q.client.raw) }
		}
		nothing := func(t *testing.T, r *rig, conns chan *wire, id string) {
			t.Helper()
			if o := get(t, r.mod.outcomes); o.Status != policy.NotSent || o.RequestID != id || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if got := get(t, r.mod.gone); got != id {
				t.Errorf("gone: %q", got)
			}
			r.do(func() {
				if len(conns) != 0 || r.in.backends.open != 0 || len(r.in.requests) != 0 {
					t.Errorf("%d connections, %d open, %d requests", len(conns), r.in.backends.open, len(r.in.requests))
				}
			})
		}
		t.Run("parked in the module, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), nil)
			c := r.client()
			c.send(look("a")...)
			get(t, r.mod.requests)
			left := gone(r, "a")
			r.still(func() { c.leave(how) }, left, func() {
				r.in.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("only just read, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send("PING")
			c.line()
			var raw *client
			r.do(func() {
				for raw = range r.in.clients.all {
				}
			})
			var args [][]byte
			for _, arg := range look("a") {
				args = append(args, []byte(arg))
			}
			r.still(func() { c.leave(how) }, func() bool { return closedByPeer(raw.raw) }, func() {
				call, err := newVocabulary(r.in.cfg.Settings.Settings).parseCall(args)
				if err != nil {
					t.Error(err)
				}
				r.in.input.take(call.size)
				r.in.take(raw, call, r.in.clock.now())
			})
			nothing(t, r, conns, "a")
		})
		t.Run("in the socket of a process that stood still, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), nil)
			c := r.client()
			c.send(look("a")...)
			get(t, r.mod.requests)
			left := gone(r, "a")
			r.still(func() { c.leave(how) }, left, func() {
				r.in.requests["a"].cameAt = r.in.clock.now() // it was only read now
				r.in.after(-1, func() {})
				r.in.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("between tries, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send(look("a")...)
			b := get(t, conns)
			b.command()
			left := gone(r, "a")
			io.WriteString(b, "-ERR failed\r\n")
			get(t, r.mod.outcomes)
			r.still(func() { c.leave(how) }, left, func() {
				r.in.applyList(discovery.List{Full: true, Endpoints: []discovery.Endpoint{{ID: "s0", Addr: addr, State: "in_service", StartedMS: 1}}})
				r.in.Send("a", "s0", 0, 0)
			})
			nothing(t, r, conns, "a")
		})
		t.Run("in the loop's queue, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), sendTo(0))
			c := r.client()
			c.send("PING")
			c.line()
			var raw *client
			r.do(func() {
				for raw = range r.in.clients.all {
				}
			})
			r.still(func() { c.send(look("a")...) }, r.queued(1), func() {
				c.leave(how)
				for end := time.Now().Add(patience); !closedByPeer(raw.raw) && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
				for at := r.in.clock.now(); r.in.clock.now()-at <= lateS; { // the command has waited for longer than that
					time.Sleep(time.Millisecond)
				}
			})
			nothing(t, r, conns, "a")
		})
		t.Run("waiting for a dial, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			free := make(chan struct{})
			r := start(t, testConfig(addr), func(r *rig) {
				sendTo(0)(r)
				dial := r.in.backends.dial
				r.in.backends.dial = func(addr string) (net.Conn, error) {
					<-free
					return dial(addr)
				}
			})
			c := r.client()
			c.send(look("a")...)
			get(t, r.mod.requests)
			left := gone(r, "a")
			r.still(func() { close(free) }, r.queued(1), func() {
				c.leave(how)
				for end := time.Now().Add(patience); !left() && time.Now().Before(end); {
					time.Sleep(time.Millisecond)
				}
			})
			if o := get(t, r.mod.outcomes); o.Status != policy.NotSent || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			b := get(t, conns)
			r.do(func() { r.in.applyList(discovery.List{Full: true}) }) // closes the pool
			if got := b.command(); got != nil {
				t.Errorf("the backend got %q", got)
			}
		})
		t.Run("in the socket behind others, "+how, func(t *testing.T) {
			addr, conns := listen(t)
			r := start(t, testConfig(addr), nil)
			c := r.client()
			var all strings.Builder
			for i := range maxPipelined + 3 {
				all.WriteString(command(look(fmt.Sprint("r", i))...))
			}
			io.WriteString(c, all.String())
			for range maxPipelined {
				get(t, r.mod.requests)
			}
			left := gone(r, "r0")
			r.do(func() { r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0, 0) } })
			if how == "reset" {
				c.leave(how)
			} else { // what was sent before a FIN stays readable
				c.Conn.(*net.TCPConn).CloseWrite()
			}
			r.still(func() {}, left, func() { r.in.Fail("r0", policy.DeadlineTooClose) }) // the next command has its permit
			for end := false; !end; {
				select {
				case <-conns:
					t.Error("a command was sent on")
					end = true
				case id := <-r.mod.gone:
					end = id == fmt.Sprint("r", maxPipelined-1)
				case <-time.After(patience):
					t.Fatal("the module never heard of it")
				}
			}
			r.until("all is let go", func() bool { return len(r.in.requests) == 0 && r.in.clients.open() == 0 })
			if len(conns) != 0 || r.in.backends.open != 0 {
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
			addr, conns := listen(t)
			mine, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { mine.Close() })
			raw, err := mine.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			other := get(t, conns)
			io.WriteString(other, unread)
			if closedByPeer(raw) {
				t.Errorf("%d bytes unread: gone before it has left", len(unread))
			}
			if how == "half closed" {
				other.Conn.(*net.TCPConn).CloseWrite()
			} else {
				other.leave(how)
			}
			for end := time.Now().Add(patience); !closedByPeer(raw); time.Sleep(time.Millisecond) {
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
	for name, end := range map[string]func(r *rig, c *wire){
		"the client leaves": func(_ *rig, c *wire) { c.Close() },
		"it is refused":     func(r *rig, _ *wire) { r.do(func() { r.in.Reject("a", 1, policy.DeadlineTooClose) }) },
	} {
		t.Run(name, func(t *testing.T) {
			l, r := smallSockets(t, nil)
			c := r.client()
			c.send("CALL.POST", customer, "a", "c=bill,t=basic,d=600000,units=2,spread=2,first=1", strings.Repeat("x", resp.MaxValue))
			b, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			r.untilPartIsWritten("a")
			end(r, c)
			if o := get(t, r.mod.outcomes); o.Status != policy.NotSent || !o.RequestDone {
				t.Errorf("got %+v", o)
			}
			if got := newWire(t, b).command(); got != nil {
				t.Errorf("the backend got %d words", len(got))
			}
		})
	}
}

// TestAClientThatLeavesBehindMuchIsSeen guards against a client whose end does not come, as commands that are unread
// behind open ones fill its socket.
func TestAClientThatLeavesBehindMuchIsSeen(t *testing.T) {
	r := start(t, testConfig(noDiscovery), nil)
	_, left := r.base()
	c := r.client()
	var all strings.Builder
	for i := range maxPipelined + 1000 { // some times what a socket takes at first
		all.WriteString(command(look(fmt.Sprintf("r%0100d", i))...))
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		io.WriteString(c, all.String())
		c.Conn.(*net.TCPConn).CloseWrite()
	}()
	for range maxPipelined {
		get(t, r.mod.requests)
	}
	get(t, written)
	for range maxPipelined {
		get(t, r.mod.gone)
	}
	r.until("all is let go", func() bool { return len(r.in.requests) == 0 && r.in.clients.open() == 0 })
	if len(r.mod.requests) != 0 {
		t.Error("more of its commands were taken")
	}
	r.until("the budget is given back", func() bool { return r.in.input.left.Load() == left })
}
