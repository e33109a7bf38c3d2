package kit

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is an entry of the list of endpoints.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Agent is a discovery agent.
type Agent struct {
	Addr    string
	server  *http.Server
	mu      sync.Mutex
	version int
	entries map[string]Entry
	changed map[string]int
	order   []string
	signal  chan struct{}
}

// NewAgent starts an agent with a list.
func NewAgent(entries []Entry) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{
		Addr: l.Addr().String(), version: 1, entries: map[string]Entry{}, changed: map[string]int{}, signal: make(chan struct{}),
	}
	for _, e := range entries {
		a.entries[e.ID], a.changed[e.ID] = e, 1
		a.order = append(a.order, e.ID)
	}
	a.server = &http.Server{Handler: http.HandlerFunc(a.handle)}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// Close ends the agent.
func (a *Agent) Close() { _ = a.server.Close() }

// Version returns the version of the list.
func (a *Agent) Version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.version
}

// Known returns the list as a configuration has it.
func (a *Agent) Known() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	return map[string]any{"version": a.version, "full": true, "servers": a.since(0)}
}

// Set changes entries of the list.
func (a *Agent) Set(entries ...Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	for _, e := range entries {
		if _, ok := a.entries[e.ID]; !ok {
			a.order = append(a.order, e.ID)
		}
		a.entries[e.ID], a.changed[e.ID] = e, a.version
	}
	close(a.signal)
	a.signal = make(chan struct{})
}

// since returns the entries changed after a version; for 0 the whole list without those that are gone.
func (a *Agent) since(version int) []Entry {
	entries := []Entry{}
	for _, id := range a.order {
		if a.changed[id] > version && (version > 0 || a.entries[id].State != "terminated") {
			entries = append(entries, a.entries[id])
		}
	}
	return entries
}

func (a *Agent) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	flusher, _ := w.(http.Flusher)
	if r.URL.Query().Get("watch") == "" {
		a.mu.Lock()
		b, _ := json.Marshal(list{a.version, true, a.since(0)})
		a.mu.Unlock()
		fmt.Fprintf(w, "%s\n", b)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		a.mu.Lock()
		var b []byte
		if a.version > after {
			b, _ = json.Marshal(list{a.version, false, a.since(after)})
			after = a.version
		}
		signal := a.signal
		a.mu.Unlock()
		if b != nil {
			fmt.Fprintf(w, "%s\n", b)
			flusher.Flush()
			continue
		}
		select {
		case <-signal:
		case <-time.After(2 * time.Second):
			fmt.Fprint(w, "\n")
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}
