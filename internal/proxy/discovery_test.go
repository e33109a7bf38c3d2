package proxy

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"reedlead/internal/readbuf"
)

// asking is a question to an agent that the test answers by hand.
type asking struct {
	query string
	text  chan string     // to be written
	left  <-chan struct{} // closed when the asker has given it up
	done  chan struct{}   // the test closes it to end the answer
}

// tell writes a part of the answer, unless the asker has left.
func (a asking) tell(text string) {
	select {
	case a.text <- text:
	case <-a.left:
	}
}

// manualAgent hands each question to the test.
func manualAgent(t *testing.T) (addr string, asked chan asking) {
	asked = make(chan asking, 256)
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a := asking{q.URL.RequestURI(), make(chan string), q.Context().Done(), make(chan struct{})}
		asked <- a
		for {
			select {
			case text := <-a.text:
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-a.done:
				return
			case <-a.left:
				return
			case <-end:
				return
			}
		}
	}))
	t.Cleanup(func() { close(end); s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://"), asked
}

func discovering(t *testing.T, addr string, change func(*harness)) *harness {
	cfg := testConfig()
	cfg.Discovery = addr
	cfg.Known.Version = 4
	r := startProxy(t, cfg, change)
	r.nextEndpoints() // the known list
	return r
}

// Guards against a list that comes late after an outage: what an agent was asked while it was down it may
// never answer, so it is asked again beside that, and the answer to any of the questions is read.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	for _, which := range []string{"a later question", "the first question"} {
		t.Run(which, func(t *testing.T) {
			addr, asked := manualAgent(t)
			r := discovering(t, addr, func(r *harness) { r.proxy.askAgain = 75 * time.Millisecond })
			first, second := receive(t, asked), receive(t, asked)
			select {
			case <-first.left:
				t.Fatal("the first question was given up before the second one")
			default:
			}
			other, list := second, listed(7, false, "x", "in_service")
			if which == "the first question" {
				for range maxOpenQuestions { // it outlasts those that came right after it
					receive(t, asked)
				}
				first.tell(list)
			} else {
				other = first
				go second.tell(list)
				go func() { // however late this test runs, one of them is answered in time
					for {
						select {
						case a := <-asked:
							go a.tell(list)
						case <-first.left:
							return
						}
					}
				}()
			}
			if got := fmt.Sprint(r.nextEndpoints()); got != "[x in_service]" {
				t.Errorf("the module got %s", got)
			}
			receive(t, other.left) // and is given up now
		})
	}
}

// Guards against a watch that has fallen silent: it is broken, and opened anew from where it stood. So is a
// whole list that breaks off.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	addr, asked := manualAgent(t)
	r := discovering(t, addr, func(r *harness) { r.proxy.silence = 200 * time.Millisecond })
	for version := range 3 {
		a := receive(t, asked)
		if want := fmt.Sprintf("/api/targets?watch=1&after=%d", version+4); a.query != want {
			t.Fatalf("asked %q, want %q", a.query, want)
		}
		a.tell(listed(version+5, false, "x", "in_service"))
		r.nextEndpoints()
		receive(t, a.left) // though the test never ends it
	}
	receive(t, asked).tell("nonsense ")
	for range 2 {
		a := receive(t, asked)
		if a.query != "/api/targets" {
			t.Fatalf("asked %q", a.query)
		}
		a.tell(`{"version":9,`)
		receive(t, a.left)
	}
}

// Guards against a watch that is opened later and later: watches that end while the list is quiet, and an
// agent that refuses for long, must not put the next question off beyond the grace for draining backends.
func TestQuietWatchesThatEndAreOpenedAgainSoon(t *testing.T) {
	pauses, free := make(chan time.Duration, 64), make(chan time.Time)
	a := newAgent(t, func(string) []string { return nil }) // an empty line, and the end
	for name, addr := range map[string]string{"quiet": a.addr(), "refusing": "127.0.0.1:2", "new, refusing": "127.0.0.1:2"} {
		t.Run(name, func(t *testing.T) {
			r := discovering(t, addr, func(r *harness) {
				r.proxy.askAgain = askAgainAfter(0.2)
				r.proxy.pause = func(d time.Duration) <-chan time.Time { pauses <- d; return free }
			})
			if strings.HasPrefix(name, "new") { // a new configuration wants the whole list
				receive(t, pauses)
				cfg := testConfig()
				cfg.Discovery = "127.0.0.1:3"
				r.reread <- cfg
			}
			for range 12 {
				if d := receive(t, pauses); d > 100*time.Millisecond {
					t.Errorf("a pause of %v, half of the grace at most is wanted", d)
				}
				free <- time.Time{}
			}
			receive(t, pauses) // it waits for good
		})
	}
}

// Guards against whole lists that are asked for at full speed while none of them can be read.
func TestUnreadableListsAreAskedForLessOften(t *testing.T) {
	var pauses []time.Duration
	took, free := make(chan time.Duration), make(chan time.Time)
	a := newAgent(t, func(string) []string { return []string{"nonsense"} })
	discovering(t, a.addr(), func(r *harness) {
		r.proxy.pause = func(d time.Duration) <-chan time.Time { took <- d; return free }
	})
	for range 10 {
		pauses = append(pauses, receive(t, took))
		free <- time.Time{}
	}
	receive(t, took)
	if !slices.IsSorted(pauses) || pauses[9] != maxUselessPause {
		t.Errorf("pauses of %v", pauses)
	}
}

// Guards against lists that are indented, or come in pieces, being taken for noise: each is one value,
// wherever its lines end, and blank lines may come between two.
func TestIndentedLists(t *testing.T) {
	indent := func(list string) string {
		var v any
		json.Unmarshal([]byte(list), &v)
		b, _ := json.MarshalIndent(v, "", "  ")
		return string(b)
	}
	addr, asked := manualAgent(t)
	r := discovering(t, addr, nil)
	a := receive(t, asked)
	whole, change := indent(listed(5, true, "x", "in_service", "y", "in_service")), indent(listed(6, false, "x", "terminating"))
	a.tell(whole + "\n\n\n" + change[:40])
	if got := fmt.Sprint(r.nextEndpoints()); got != "[x in_service y in_service]" {
		t.Errorf("the module got %s", got)
	}
	a.tell(change[40:] + "\n" + listed(7, false, "y", "terminating"))
	for _, want := range []string{"[x draining]", "[y draining]"} {
		if got := fmt.Sprint(r.nextEndpoints()); got != want {
			t.Errorf("the module got %s, want %s", got, want)
		}
	}
	close(a.done)
	if next := receive(t, asked); next.query != "/api/targets?watch=1&after=7" {
		t.Errorf("then %q was asked", next.query)
	}
}

// Guards the memory against a value without end; what it told is lost, so the whole list is asked for.
func TestEndlessListIsBounded(t *testing.T) {
	addr, asked := manualAgent(t)
	r := discovering(t, addr, nil)
	a := receive(t, asked)
	a.tell(`{"version":5,"full":false,"servers":[`)
	go func() {
		for range maxListValue/readbuf.Size + 1 {
			a.tell(strings.Repeat(" ", readbuf.Size))
		}
	}()
	if a = receive(t, asked); a.query != "/api/targets" {
		t.Fatalf("asked %q", a.query)
	}
	a.tell(listed(8, true, "z", "in_service"))
	close(a.done)
	if got := fmt.Sprint(r.nextEndpoints()); got != "[z in_service]" {
		t.Errorf("the module got %s", got)
	}
}

// Guards against a new configuration that waits for what is under way at the old address: a pause between
// questions, a whole list that hangs, or a watch.
func TestNewAddressIsAskedAtOnce(t *testing.T) {
	for _, during := range []string{"a pause", "a question", "a whole list", "a watch"} {
		t.Run(during, func(t *testing.T) {
			old, asked := manualAgent(t)
			addr, next := manualAgent(t)
			cfg, pausing := testConfig(), make(chan struct{}, 1)
			if cfg.Discovery = old; during == "a pause" {
				cfg.Discovery = "127.0.0.1:2" // refuses
			}
			r := startProxy(t, cfg, func(r *harness) {
				r.proxy.pause = func(d time.Duration) <-chan time.Time {
					if pausing <- struct{}{}; during != "a pause" {
						return time.After(d)
					}
					return nil // for good
				}
			})
			r.nextEndpoints() // the known list
			switch during {
			case "a pause":
				receive(t, pausing)
			case "a question":
				receive(t, asked)
			case "a whole list":
				a := receive(t, asked)
				a.tell("nonsense ")
				if a = receive(t, asked); a.query != "/api/targets" {
					t.Fatalf("asked %q", a.query)
				}
				a.tell(`{"version":9,`)
			case "a watch":
				receive(t, asked).tell(listed(9, true, "x", "in_service"))
				r.nextEndpoints()
			}
			cfg.Discovery = addr
			r.reread <- cfg
			a := receive(t, next)
			if a.query != "/api/targets" {
				t.Errorf("the new address was asked %q", a.query)
			}
			a.tell(listed(2, true, "y", "in_service"))
			if got := fmt.Sprint(r.nextEndpoints()); got != "[y in_service]" {
				t.Errorf("the module got %s", got)
			}
		})
	}
}
