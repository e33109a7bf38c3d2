package main

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/config"
)

// Guards against a start that hangs or panics on a configuration that can't be used: the error must be
// one plain line.
func TestInvalidConfigurationGivesOneLineError(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "EDGE_CONFIG names no configuration file",
		"{":                            "unexpected end of JSON input",
		`{"listen":"127.0.0.1:0"}`:     "discovery: ",
		`{"listen":"a","discovery":1}`: "cannot unmarshal",
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"balancers":1,` +
			`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`: "no classes given",
	} {
		path := ""
		if text != "" {
			path = filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("EDGE_CONFIG", path)
		err := run()
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("EDGE_CONFIG", filepath.Join(t.TempDir(), "none"))
	if err := run(); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("a missing file: got %v", err)
	}
}

// Guards against a malformed file that is applied, or that ends the reloading.
func TestMalformedFileIsNotApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	signals, done, reloads := make(chan os.Signal), make(chan struct{}), make(chan config.Config, 2)
	defer close(done)
	logged, w := io.Pipe()
	go reloadOnSignal(signals, done, path, config.Config{}, reloads, slog.New(slog.NewTextHandler(w, nil)))
	lines := bufio.NewReader(logged)
	write(`{"listen":`)
	signals <- syscall.SIGHUP
	if got, _ := lines.ReadString('\n'); !strings.Contains(got, "level=ERROR") || !strings.Contains(got, "unexpected end") {
		t.Errorf("logged %q", got)
	}
	write(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"balancers":1,` +
		`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`)
	signals <- syscall.SIGHUP
	if got, _ := lines.ReadString('\n'); !strings.Contains(got, "only the address of discovery") {
		t.Errorf("logged %q", got)
	}
	if cfg := <-reloads; cfg.DiscoveryAddress != "127.0.0.1:2" || len(reloads) > 0 {
		t.Errorf("applied %+v and %d more", cfg, len(reloads))
	}
}

const testTimeout = 20 * time.Second // when a test gives up on what must come

// Guards against a reload that ends the process: two SIGHUPs, between them one with a file that can't
// be read, each followed by the watch at the address that holds, while a client is served throughout.
func TestReloadsWhileClientsAreServed(t *testing.T) {
	fallback := make(chan os.Signal, 8) // SIGHUP must not end the test if the program doesn't take it
	signal.Notify(fallback, syscall.SIGHUP)
	defer signal.Stop(fallback)

	agents := startWatchedAgents(t, 3)
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(agent int) {
		t.Helper()
		replaceFile(t, path, programConfig{discovery: agents.addrs[agent]}.text(listen))
	}
	writeConfig(0)
	t.Setenv("EDGE_CONFIG", path)
	ended := make(chan error, 1)
	go func() { ended <- run() }()
	agents.expectWatch(t, 0)

	stop, served := make(chan struct{}), make(chan error, 1)
	go func() { served <- requestUntil(stop, listen) }()
	writeConfig(1)
	signalSelf(t, syscall.SIGHUP)
	agents.expectWatch(t, 1)
	if err := os.WriteFile(path, []byte(`{"listen":`), 0o600); err != nil {
		t.Fatal(err)
	}
	signalSelf(t, syscall.SIGHUP)
	writeConfig(2) // whichever of the last two files the second signal finds
	signalSelf(t, syscall.SIGHUP)
	agents.expectWatch(t, 2)
	close(stop)
	if err := <-served; err != nil {
		t.Error(err)
	}
	signalSelf(t, syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("the program ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the program did not end after SIGTERM")
	}
}

// watchedAgents are discovery agents that list one endpoint, each in an older version than the one before.
type watchedAgents struct {
	addrs   []string
	watched chan int // the number of the agent at which a watch was opened
}

func startWatchedAgents(t *testing.T, count int) *watchedAgents {
	t.Helper()
	endpoint := serveEndpoint(t)
	agents := &watchedAgents{watched: make(chan int, 16)}
	for number := range count {
		end := make(chan struct{})
		list := fmt.Sprintf(`{"version":%d,"full":true,"servers":[{"id":"s","addr":"%s","zone":"a","state":"in_service"}]}`+"\n",
			10-number, endpoint)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			writeText(w, list)
			w.(http.Flusher).Flush()
			if r.URL.Query().Get("watch") == "" {
				return
			}
			agents.watched <- number
			select {
			case <-end:
			case <-r.Context().Done():
			}
		}))
		t.Cleanup(server.Close)
		t.Cleanup(func() { close(end) })
		agents.addrs = append(agents.addrs, strings.TrimPrefix(server.URL, "http://"))
	}
	return agents
}

// expectWatch waits for the next watch, which must be at the agent.
func (a *watchedAgents) expectWatch(t *testing.T, want int) {
	t.Helper()
	select {
	case got := <-a.watched:
		if got != want {
			t.Fatalf("agent %d is watched, want %d", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("agent %d is not watched", want)
	}
}

// replaceFile replaces a file at once, so that no part of it is read.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), signal); err != nil {
		t.Fatal(err)
	}
}

// requestUntil sends one request after the other on one connection until stop is closed, each of which must be served.
func requestUntil(stop <-chan struct{}, addr string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer closeQuietly(conn)
	setTimeout(conn, 3*testTimeout)
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		writeText(conn, requestCommand(fmt.Sprint("q", n), 20_000))
		for _, want := range []string{"$1\r\n", "v\r\n"} {
			got, err := r.ReadString('\n')
			if err != nil {
				return fmt.Errorf("request %d: got %q: %w", n, got, err)
			}
			if got != want {
				return fmt.Errorf("request %d: got %q, want %q", n, got, want)
			}
		}
		select {
		case <-stop:
			return nil
		default:
		}
	}
}

// Guards against a level of the log that is taken for another one.
func TestUnknownLogLevelGivesOneLineError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{"balancers":1,` +
		`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_LOG", "loud")
	if err := run(); err == nil || !strings.HasPrefix(err.Error(), "EDGE_LOG: ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got %v, want one line that names EDGE_LOG", err)
	}
}
