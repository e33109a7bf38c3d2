package proxy

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"reedlead/policy"
)

const (
	// A watch sends a line every 2 s. Soon after one that is missing the connection is taken for broken;
	// the agent answers at once, so a needless question costs little.
	watchSilence = 2500 * time.Millisecond
	// What the agent has counts as told, whether or not a watch is open, and sends to a draining backend
	// must end within a grace of that. So an agent that was down is found again within this share of it:
	// it is asked again after so long, be it that it refuses or that it is silent.
	askAgainShare = 0.3
	graceDefault  = 0.25 // where the settings name none
	// A long grace puts nothing off for longer than this: at most 6 s after discovery has a change and can be
	// reached it must have come, whatever was before. docs/endings.md adds the waits up.
	maxAskAgain      = 500 * time.Millisecond
	maxOpenQuestions = 3 // unanswered ones to an agent, beside the first
	maxPause         = 50 * time.Millisecond
	minUselessPause  = 50 * time.Millisecond
	maxUselessPause  = time.Second // whole lists cost; one that can't be read is not asked for more often
	maxListValue     = 4 << 20
)

var (
	errListTooLong = errors.New("the list is too long")
	errWasted      = errors.New("a list came that is of no use")
)

// targets is a list of backends, or a change of it, as discovery words it.
type targets struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []target `json:"servers"`
}

type target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var targetStates = map[string]policy.EndpointState{
	"in_service": policy.InService, "terminating": policy.Draining,
	"terminated": policy.Removed,
}

func (t targets) check() error {
	for _, s := range t.Servers {
		if err := s.check(); err != nil {
			return err
		}
	}
	return nil
}

func (s target) check() error {
	state, known := targetStates[s.State]
	if s.ID == "" || !known {
		return fmt.Errorf("entry %q: unknown state %q", s.ID, s.State)
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil && state != policy.Removed {
		return fmt.Errorf("entry %q: %w", s.ID, err)
	}
	return nil
}

// takeList applies a list to the pools and tells the module.
func (p *Proxy) takeList(t targets) {
	p.starts.sample(p.clock.now(), p.clock.wall())
	list := make([]policy.Endpoint, 0, len(t.Servers))
	for _, s := range t.Servers {
		list = append(list, policy.Endpoint{
			ID: s.ID, Zone: s.Zone, Cell: s.Cell, State: targetStates[s.State],
			Weight: s.Weight, StartedAt: p.starts.of(s.ID, s.StartedMS),
		})
	}
	p.endpoints.apply(p, t)
	p.starts.forget(func(id string) bool { return p.endpoints.byID[id] != nil })
	p.decider.HandleEndpoints(p.now, list, t.Full)
}

// watcher follows discovery. One goroutine owns it at a time.
type watcher struct {
	in      *Proxy
	http    *http.Client
	addr    string
	version int64 // the last that was taken in
	whole   bool  // changes may be missing: only the whole list tells
}

// askAgainAfter is how long an agent that does not answer, or refuses, is left alone, by the grace for sends
// to draining backends.
func askAgainAfter(graceS float64) time.Duration {
	return min(time.Duration(cmp.Or(graceS, graceDefault)*askAgainShare*float64(time.Second)), maxAskAgain)
}

// watchDiscovery keeps a watch open for as long as ctx lasts, and moves it at once when the
// configuration was read again. An agent at another address may count its versions in its own way,
// so the whole list is asked for there. What is known stays until that has come.
func (p *Proxy) watchDiscovery(ctx context.Context, reread <-chan Config) {
	w := &watcher{
		in: p, addr: p.cfg.Discovery, version: p.cfg.Known.Version,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: p.calls.dialAgent,
		}},
	}
	bad := minUselessPause
	for ctx.Err() == nil {
		round, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		before := w.version
		go func() { ended <- w.watch(round) }()
		select {
		case err := <-ended:
			stop()
			if ctx.Err() != nil {
				return
			}
			seen, addr := w.version, w.addr
			p.post(p.clock.now(), func() {
				p.warn("watch ended", "error", err, "address", addr, "version", seen)
				p.freeDescriptorsAfter(err)
			})
			pause := min(p.askAgain, maxPause)
			if seen != before || !errors.Is(err, errWasted) {
				bad = minUselessPause
			} else { // an agent that refuses or is silent is asked soon, but lists cost
				pause, bad = max(pause, bad), min(2*bad, maxUselessPause)
			}
			select {
			case <-ctx.Done():
			case cfg := <-reread:
				w.move(cfg)
				bad = minUselessPause
			case <-p.pause(pause):
			}
		case cfg := <-reread:
			stop()
			<-ended
			w.move(cfg)
			bad = minUselessPause
		}
		stop()
	}
}

// move goes on at the address of a configuration that was read anew.
func (w *watcher) move(cfg Config) {
	w.addr, w.whole = cfg.Discovery, true
	w.in.log.Info("configuration read again", "discovery", cfg.Discovery)
}

// get asks discovery once; the answer's body is the caller's to close.
func (w *watcher) get(ctx context.Context, addr, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/api/targets"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp.Body, nil
}

// ask asks discovery until it answers. An agent that is down is silent, and what it was asked meanwhile
// it may never answer: it is asked again and again, and the first answer is the one that is read. The
// first question stays open beside the later ones, for an agent that is only slow. It returns an error
// when all that was asked has failed, or ctx has ended, which also ends the answer.
func (w *watcher) ask(ctx context.Context, query string) (io.ReadCloser, error) {
	type answer struct {
		body io.ReadCloser
		err  error
		n    int
	}
	var (
		answers = make(chan answer)
		done    = make(chan struct{}) // nobody reads answers any more
		stops   []context.CancelFunc  // of the questions, in their order
		open    = map[int]bool{}      // those that are unanswered
		addr    = w.addr              // a question that was given up must not look at the watcher
		next    = make(chan struct{}, 1)
	)
	defer close(done)
	next <- struct{}{}
	again := w.in.alarm(w.in.askAgain, func() {
		select {
		case next <- struct{}{}:
		default:
		}
	})
	defer again.Stop()
	for {
		select {
		case <-next:
			again.Reset(w.in.askAgain)
			n := len(stops)
			if old := n - maxOpenQuestions; old > 0 {
				stops[old]()
			}
			one, stop := context.WithCancel(ctx)
			stops, open[n] = append(stops, stop), true
			go func() {
				body, err := w.get(one, addr, query)
				select {
				case answers <- answer{body, err, n}:
				case <-done:
					stop()
					if body != nil {
						body.Close()
					}
				}
			}()
		case a := <-answers:
			delete(open, a.n)
			if a.err != nil {
				stops[a.n]()
				if len(open) > 0 {
					continue
				}
				return nil, a.err
			}
			for n, stop := range stops {
				if n != a.n {
					stop()
				}
			}
			return answerBody{a.body, stops[a.n]}, nil
		case <-ctx.Done():
			for _, stop := range stops {
				stop()
			}
			return nil, ctx.Err()
		}
	}
}

// answerBody lets go of its question when it is closed.
type answerBody struct {
	io.ReadCloser
	stop context.CancelFunc
}

func (b answerBody) Close() error {
	defer b.stop()
	return b.ReadCloser.Close()
}

// listReader puts off the end of a watch while empty lines come, and bounds what a value of the stream may
// take, in bytes and in time: one that trickles in would keep the next change from being asked for.
type listReader struct {
	from    io.Reader
	silence alarm         // ends the answer
	most    time.Duration // after so much of it, or of one value
	left    int
	within  bool // a value has begun to come
}

func (r *listReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && !r.within {
		r.silence.Reset(r.most)
		r.within = len(bytes.TrimSpace(p[:n])) > 0
	}
	if r.left -= n; r.left < 0 {
		return 0, errListTooLong
	}
	return n, err
}

// next has the following value come: the start of it may have been read behind the one before.
func (r *listReader) next(read io.Reader) {
	r.silence.Reset(r.most)
	r.left = maxListValue
	rest, _ := io.ReadAll(read)
	r.within = len(bytes.TrimSpace(rest)) > 0
}

// watch reads one watch to its end, ahead of it the whole list if changes may be missing.
func (w *watcher) watch(ctx context.Context) error {
	if w.whole {
		if err := w.list(ctx); err != nil {
			return fmt.Errorf("whole list: %w", err)
		}
	}
	return w.read(ctx, fmt.Sprintf("?watch=1&after=%d", w.version), func(values *json.Decoder, r *listReader) error {
		for {
			var t targets
			err := values.Decode(&t)
			if err == nil {
				err = t.check()
				if err == nil && !t.Full && t.Version < w.version {
					err = fmt.Errorf("version %d comes after %d", t.Version, w.version)
				}
			} else if !unreadable(err) {
				return err
			}
			if err != nil { // what it told is lost
				w.whole = true
				return err
			}
			r.next(values.Buffered())
			w.take(t)
		}
	})
}

// unreadable tells what came and can't be used from the end of the connection.
func unreadable(err error) bool {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	return errors.As(err, &syntax) || errors.As(err, &kind) || errors.Is(err, errListTooLong)
}

// read asks discovery and hands on the JSON values of the answer. Blank lines may come between them, and
// they may be indented. A silent answer ends.
func (w *watcher) read(ctx context.Context, query string, use func(*json.Decoder, *listReader) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := w.ask(ctx, query)
	if err != nil {
		return err
	}
	defer body.Close()
	silence := w.in.alarm(w.in.silence, cancel)
	defer silence.Stop()
	r := &listReader{from: body, silence: silence, most: w.in.silence, left: maxListValue}
	if err = use(json.NewDecoder(r), r); err != nil && r.within {
		return fmt.Errorf("%w: %w", errWasted, err)
	}
	return err
}

// list takes in the whole list. An entry that can't be used is left out: the rest must not wait for it.
func (w *watcher) list(ctx context.Context) error {
	var t targets
	err := w.read(ctx, "", func(values *json.Decoder, _ *listReader) error { return values.Decode(&t) })
	if err != nil {
		return err
	}
	t.Full = true
	t.Servers = slices.DeleteFunc(t.Servers, func(e target) bool {
		err := e.check()
		if err != nil {
			w.in.post(w.in.clock.now(), func() { w.in.warn("entry of the list left out", "error", err) })
		}
		return err != nil
	})
	w.whole = false
	w.take(t)
	return nil
}

func (w *watcher) take(t targets) {
	w.version = t.Version
	w.in.post(w.in.clock.now(), func() { w.in.takeList(t) })
}
