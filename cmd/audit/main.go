// Command audit reads the logs that ingresses of one fleet wrote at debug level and replays what must
// hold of their sends: that work which may not run again is not sent again, and that nothing is sent for a
// client that has left. It prints what it counted, and each break with the request's id.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: audit LOG...")
		os.Exit(2)
	}
	a := newAudit()
	for _, path := range os.Args[1:] {
		f, err := os.Open(path)
		if err == nil {
			err = a.read(path, f)
			f.Close()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "audit:", err)
			os.Exit(2)
		}
	}
	a.report(os.Stdout)
	if len(a.breaks) > 0 {
		os.Exit(1)
	}
}

// attempt is one that was written whole.
type attempt struct {
	try                 int
	effect, scope       string
	ttl                 float64
	backend, zone, cell string
	read, from, at      float64
	left                bool
	ended               bool
	status              string
	endedAt             float64
}

// never tells that the attempt is known at a time not to have run.
func (a *attempt) never(at float64) bool { return a.ended && a.endedAt <= at && a.status == "full" }

// audit is what was counted of all logs.
type audit struct {
	sends, again, keyedAgain int
	left                     int
	leftMost                 float64 // longest wait of a request that was sent after its client had left
	closest                  float64 // least time that was left of a key's window at a further send
	breaks                   []string
}

func newAudit() *audit { return &audit{closest: 1e9} }

// way is what became of one request at one ingress.
type way struct {
	attempts []*attempt
	over     bool
}

// read takes in one ingress's log, in its order.
func (a *audit) read(name string, r io.Reader) error {
	open := map[string]*way{}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		f := fields(lines.Text())
		if f["level"] != "DEBUG" || f["id"] == "" {
			continue
		}
		w := open[f["id"]]
		if w == nil {
			w = &way{}
			open[f["id"]] = w
		}
		switch f["msg"] {
		case "sent":
			a.sent(name, f, w)
		case "ended":
			for _, t := range w.attempts {
				if strconv.Itoa(t.try) == f["try"] && !t.ended {
					t.ended, t.status, t.endedAt = true, f["status"], number(f["at"])
				}
			}
		case "answered":
			w.over = true
			if f["word"] == "BUS" {
				a.refused(name, f, w)
			}
		case "gone":
			w.over = true
		}
	}
	return lines.Err()
}

// sent takes in an attempt and looks at all before it.
func (a *audit) sent(name string, f map[string]string, w *way) {
	t := &attempt{
		effect: f["effect"], scope: f["scope"], ttl: number(f["ttl"]), backend: f["backend"],
		zone: f["zone"], cell: f["cell"], read: number(f["read"]), from: number(f["from"]), at: number(f["at"]),
		left: f["left"] == "true",
	}
	t.try, _ = strconv.Atoi(f["try"])
	a.sends++
	if t.left {
		a.left++
		a.leftMost = max(a.leftMost, t.from-t.read)
	}
	if w.over {
		a.breaks = append(a.breaks, fmt.Sprintf("%s %s: try %d was sent after the final answer", name, f["id"], t.try))
	}
	if len(w.attempts) > 0 {
		a.again++
	}
	i := slices.IndexFunc(w.attempts, func(e *attempt) bool { return !e.never(t.from) })
	w.attempts = append(w.attempts, t)
	if i < 0 || t.effect == "safe" {
		return
	}
	first := w.attempts[i]
	why := ""
	switch left := first.at + first.ttl - t.at; {
	case t.effect == "unsafe":
		why = "it must not run twice"
	case !first.sameGroup(t):
		why = "another group"
	default:
		a.keyedAgain++
		if a.closest = min(a.closest, left); left < 0 {
			why = fmt.Sprintf("%.3f s after the key's window", -left)
		}
	}
	if why != "" {
		a.breaks = append(a.breaks, fmt.Sprintf("%s %s: try %d at %.3f to %s behind try %d at %.3f to %s: %s",
			name, f["id"], t.try, t.at, t.backend, first.try, first.at, first.backend, why))
	}
}

// refused takes in a refusal: it promises that nothing has run, or that running again does no harm.
func (a *audit) refused(name string, f map[string]string, w *way) {
	at := number(f["at"])
	for _, t := range w.attempts {
		if t.never(at) || t.effect == "safe" || t.effect == "keyed" && t.scope == "all" {
			continue
		}
		a.breaks = append(a.breaks, fmt.Sprintf("%s %s: refused at %.3f, though try %d may have run", name, f["id"], at, t.try))
		return
	}
}

func (a *attempt) sameGroup(b *attempt) bool {
	switch a.scope {
	case "zone":
		return a.zone == b.zone
	case "cell":
		return a.zone == b.zone && a.cell == b.cell
	}
	return true
}

// report prints the counts, and then the breaks.
func (a *audit) report(w io.Writer) {
	fmt.Fprintf(w, "sends %d, of them again %d, again under a key %d\n", a.sends, a.again, a.keyedAgain)
	if a.keyedAgain > 0 {
		fmt.Fprintf(w, "least that was left of a key's window: %.3f s\n", a.closest)
	}
	fmt.Fprintf(w, "sends for clients that had left: %d, %.3f s after the request was read at most\n", a.left, a.leftMost)
	fmt.Fprintf(w, "breaks: %d\n", len(a.breaks))
	for _, b := range a.breaks {
		fmt.Fprintln(w, b)
	}
}

// fields reads the names and values of a line of log; quoted values keep their quotes.
func fields(line string) map[string]string {
	f := map[string]string{}
	for part := range strings.FieldsSeq(line) {
		if name, value, ok := strings.Cut(part, "="); ok {
			f[name] = value
		}
	}
	return f
}

func number(text string) float64 {
	x, _ := strconv.ParseFloat(text, 64)
	return x
}
