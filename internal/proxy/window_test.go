package proxy

import (
	"net"
	"strings"
	"testing"
	"time"

	"reedlead/internal/discovery"

	"reedlead/internal/resp"
	"reedlead/policy"
)

// passes waits until the clock has passed a time.
func passes(p *Proxy, at float64) {
	for p.clock.now() < at {
		time.Sleep(time.Millisecond)
	}
}

// Guards against work that may run only once and is sent again: a further attempt of a keyed request whose
// window ends while it waits for a dial is not written, though the module let it go in time.
func TestTheWindowEndsWhileADialIsWaitedFor(t *testing.T) {
	addr, conns := listen(t)
	free := make(chan struct{})
	r := start(t, testConfig(addr), func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0, 0.01) }
		dial := r.in.backends.dial
		r.in.backends.dial = func(addr string) (net.Conn, error) {
			<-free
			return dial(addr)
		}
	})
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", "body")
	get(t, r.mod.requests)
	whole := 0.0
	r.do(func() { whole = r.in.requests["a"].attempts[0].writeDeadline })
	passes(r.in, whole)
	close(free)
	if o := get(t, r.mod.outcomes); o.Status != policy.NotSent {
		t.Errorf("got %+v", o)
	}
	b := get(t, conns)
	r.until("the connection rests", func() bool { return len(r.in.backends.byID["s0"].idle) == 1 })
	r.do(func() { r.in.applyList(discovery.List{Full: true}) }) // closes the pool
	if got := b.command(); got != nil {
		t.Errorf("the backend got %q", got)
	}
}

// Guards against the same where the loop is behind: its time is that of the event that it handles, and the
// window is over by the clock.
func TestTheWindowIsKeptByTheClock(t *testing.T) {
	r, c, b := withRestingConnection(t)
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1", "body")
	get(t, r.mod.requests)
	r.do(func() {
		passes(r.in, r.in.now+0.02)
		r.in.Send("a", "s0", 0, 0.01)
	})
	r.wantNotSent(b)
}

// Guards against the same where a backend reads slowly: the last byte does not follow once the window is
// over, and the attempt has not run.
func TestTheWindowEndsWhileACommandIsWritten(t *testing.T) {
	l, r := smallSockets(t, func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0, 0.05) }
	})
	c := r.client()
	c.send("CALL.POST", customer, "a", "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1",
		strings.Repeat("x", resp.MaxValue))
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	o := get(t, r.mod.outcomes) // the backend has read nothing
	if o.Status != policy.ConnectFailed {
		t.Errorf("got %+v", o)
	}
	if got := newWire(t, b).command(); got != nil {
		t.Errorf("the backend got %d words", len(got))
	}
}

// Guards against a time to write by that outlives its command: the connection serves the next one.
func TestTheWindowOfOneCommandBindsNoOther(t *testing.T) {
	writeWithinS := 0.1
	l, r := smallSockets(t, func(r *rig) {
		r.mod.onRequest = func(q policy.Request) { r.in.Send(q.ID, "s0", 0, writeWithinS) }
	})
	c := r.client()
	post := func(id string) {
		c.send("CALL.POST", customer, id, "c=hold,t=basic,k=5c0f,d=600000,units=2,spread=2,first=1",
			strings.Repeat("x", resp.MaxValue))
	}
	var b *wire
	var used *attempt
	for b == nil { // until this machine is fast enough for it
		post("a")
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		b = newWire(t, conn)
		r.until("it is out", func() bool {
			q := r.in.requests["a"]
			if q != nil {
				used = q.attempts[0]
			}
			return q != nil && (used.conn != nil || used.done)
		})
		if b.command() != nil {
			break
		}
		b = nil
		get(t, r.mod.outcomes)
		r.do(func() { r.in.fail(r.in.requests["a"], policy.DeadlineTooClose); writeWithinS *= 2 })
		c.line()
	}
	r.until("it is noted", func() bool { return used.conn.written.Load() })
	b.Write([]byte(value))
	c.served("the first")
	passes(r.in, used.writeDeadline+0.1) // a runtime timer that is late as well
	r.do(func() { writeWithinS = 0 })
	post("b")
	if got := b.command(); len(got) != 5 || got[2] != "b" {
		t.Errorf("the backend got %d words", len(got))
	}
}
