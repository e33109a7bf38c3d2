package policy

// Attempts: their start and end, further tries, and copies beside an attempt in doubt.

import (
	"math"
	"slices"
)

// Times are in seconds.
const (
	hedgeX     = 4.0   // and others after so many mean latencies
	silentX    = 6.0   // a server that answers nothing for so many mean latencies is in doubt
	hedgeShare = 0.4   // of the aim: an attempt in doubt this old is tried elsewhere
	guardS     = 0.004 // margin on deadlines
)

type attempt struct {
	srv    *server
	in     group // of the server as it was sent there
	sentAt float64
	done   bool
	called bool // cancelled by us
	seen   bool // its silence was taken in
}

// group is where a server stands among those that drop the repeats of the same key.
type group struct {
	zone string
	cell int
}

func (s *server) group() group { return group{s.Zone, s.Cell} }

// sameGroup tells whether the servers of two groups drop the repeats of the same key.
func sameGroup(scope DedupScope, a, b group) bool {
	return scope == DedupFleet || a.zone == b.zone && (scope == DedupZone || a.cell == b.cell)
}

// mayHaveRun notes the first attempt that may have run.
func (r *request) mayHaveRun(a *attempt) {
	if r.ran == nil {
		r.ran, r.ranIn, r.ranAt = a.srv, a.in, a.sentAt
	}
}

// drops tells whether a server drops the request if it has run already. The group of the one where it may
// have counts as it was then, and as it is by now: a list may change it.
func (r *request) drops(s *server) bool {
	return r.ran == nil || r.cls.Idempotency != IdempotencyKey ||
		sameGroup(r.cls.DedupScope, r.ranIn, s.group()) && sameGroup(r.cls.DedupScope, r.ran.group(), s.group())
}

// begin counts an attempt as out.
func (g *Gateway) begin(r *request, s *server) {
	if g.now-s.sentAt > connShare*g.s.ConnectionIdleTimeout {
		s.conns = s.inflight
	}
	s.inflight++
	s.conns = max(s.conns, s.inflight)
	g.out++
	r.out++
	g.sentAt, s.sentAt = g.now, g.now
	g.outBy(r, 1)
	r.attempts = append(r.attempts, attempt{srv: s, in: s.group(), sentAt: g.now})
}

// ended finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) ended(o Outcome) (*request, *attempt) {
	r := g.reqs[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.srv.inflight--
	if o.Status != OK && o.Status != Error && o.Status != Rejected {
		a.srv.conns = max(a.srv.conns-1, 0) // what is given up takes its connection with it
	}
	g.out--
	r.out--
	g.outBy(r, -1)
	return r, a
}

func (g *Gateway) send(r *request, s *server) {
	s.busy = s.busy*math.Exp((s.sentAt-g.now)/busyTauS) + min(s.speed*r.cls.lat/busyTauS, 1)
	g.begin(r, s)
	if g.coldShare(s) < 1 {
		s.slowStartTurn -= g.inMeans(r)
	}
	whole := 0.0
	if r.ran != nil && r.cls.Idempotency == IdempotencyKey {
		whole = max(r.windowEnd()-g.now, guardS) // what is sent once a dial is up must keep the window too
	}
	g.act.Send(r.ID, s.ID, max(r.endAt()-g.now, guardS), whole)
}

// Outcome takes the end of an attempt.
func (g *Gateway) HandleOutcome(now float64, o Outcome) {
	g.clock(now)
	r, a := g.ended(o)
	if r == nil {
		return
	}
	g.report(a.srv, o.Load)
	g.learn(r, a, o)
	r.written = r.written || o.Status != ConnectFailed && o.Status != NotSent
	if o.Status != Rejected && o.Status != ConnectFailed && o.Status != NotSent {
		r.mayHaveRun(a)
	}
	if o.Status == OK && g.s.ActualUnitsInReply && r.taken && o.ActualUnits > 0 {
		g.charge(r.cust, o.ActualUnits-r.Units)
	}
	if r.over || o.RequestDone || o.Status == OK {
		g.over(r)
	} else if r.out == 0 && !r.stream {
		g.place(r)
	}
	g.drain()
	g.slots()
}

// endAt is when an answer is no longer worth the servers' work: after the aim, for
// the share of the time left in which it still earns something.
func (r *request) endAt() float64 {
	return r.aimAt + r.cls.LateWeightFraction*max(r.Deadline-r.aimAt, 0)
}

// mayRetry tells whether another attempt is allowed and worth it.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= max(1, g.s.MaxAttempts) || g.now+r.cls.lat > r.endAt() ||
		!r.written && g.now > r.halfAt {
		return false
	}
	return r.ran == nil || r.cls.Idempotency == Idempotent || r.cls.Idempotency == IdempotencyKey && g.now <= r.windowEnd()
}

// whyNoRetry tells why mayRetry does not hold.
func (g *Gateway) whyNoRetry(r *request) Reason {
	if len(r.attempts) > 0 && g.now+r.cls.lat <= r.endAt() {
		return AttemptsExhausted
	}
	return DeadlineTooClose
}

// windowEnd is when the servers that may have run a keyed request cease to drop its repeats.
func (r *request) windowEnd() float64 { return r.ranAt + r.cls.IdempotencyWindow - lagS }

// watch looks at the attempts that are out: a server that leaves a class unanswered for long is sick
// for it, and what waits is tried elsewhere where allowed.
func (g *Gateway) watch() {
	g.live = slices.DeleteFunc(g.live, func(r *request) bool { return r.over && r.out == 0 })
	for _, r := range g.live {
		if r.asking && g.now+tickS > min(r.endAt()-r.cls.lat, r.halfAt) {
			g.refuse(r, OwnerUnreachable)
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.done && !a.seen && g.now-max(a.sentAt, g.gapAt) > max(silentX*r.cls.lat, newsStepS) &&
				a.srv.okAt[r.cls.index] < a.sentAt {
				a.seen = true
				g.fails(a.srv, r.cls, 1)
			}
		}
		if r.over || r.stream || r.out != 1 || r.cls.Idempotency == NonIdempotent {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		age, ill := g.now-max(a.sentAt, g.gapAt), g.sickness(a.srv, r.cls) > hedgeSick
		early := !ill && (!g.s.Hedging || age < hedgeX*r.cls.lat || len(g.queue) > 0)
		if early || a.done || a.called || age < hedgeShare*r.cls.LatencyObjective {
			continue
		}
		ran := r.ran
		r.mayHaveRun(a)
		s := (*server)(nil)
		if g.mayRetry(r) {
			s = g.choose(r)
		}
		switch {
		case s == nil || s == a.srv:
			r.ran = ran
		case g.s.Hedging:
			g.send(r, s)
		case g.s.Cancellation:
			a.called = true
			g.act.Cancel(r.ID, len(r.attempts)-1)
		}
	}
	g.weigh()
}
