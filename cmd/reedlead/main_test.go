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

// TestInvalidConfigurationGivesOneLineError checks that run returns an error for an invalid configuration, and does not
// hang or panic. The error must be a single line that says what is wrong.
func TestInvalidConfigurationGivesOneLineError(t *testing.T) {
	for text, want := range map[string]string{
		"":                             "EDGE_CONFIG is not set",
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
			t.Errorf("configuration %q: got error %v, want one line with %q", text, err, want)
		}
	}
	t.Setenv("EDGE_CONFIG", filepath.Join(t.TempDir(), "none"))
	if err := run(); err == nil || !strings.Contains(err.Error(), "no such file") {
		t.Errorf("missing file: got error %v, want one with \"no such file\"", err)
	}
}

// TestMalformedFileIsNotApplied checks that a reload of a malformed file logs an error and applies nothing, and that the
// next reload works.
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
		t.Errorf("malformed file: got log line %q, want an error", got)
	}
	write(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1","settings":{"balancers":1,` +
		`"limits":{"dialTimeoutS":0.25,"connIdleS":15}}}`)
	signals <- syscall.SIGHUP
	if got, _ := lines.ReadString('\n'); !strings.Contains(got, "a reload applies only the discovery address") {
		t.Errorf("valid file: got log line %q, want a warning about the restart", got)
	}
	if cfg := <-reloads; cfg.DiscoveryAddress != "127.0.0.1:2" || len(reloads) > 0 {
		t.Errorf("got reload %+v and %d more, want one with discovery address 127.0.0.1:2", cfg, len(reloads))
	}
}

// testTimeout is the time after which a test stops waiting for something that must happen.
const testTimeout = 20 * time.Second

// TestReloadsWhileClientsAreServed checks that reloads do not end the process or interrupt a client. It sends three
// SIGHUPs, the second after it has written a malformed file. After each of the other two, the gateway must open a watch
// at the newly configured agent.
func TestReloadsWhileClientsAreServed(t *testing.T) {
	fallback := make(chan os.Signal, 8) // keeps SIGHUP from ending the test binary if run does not handle it
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
	writeConfig(2) // the previous signal may be handled before or after this write; agent 2 is watched either way
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
			t.Errorf("run returned %v after SIGTERM", err)
		}
	case <-time.After(testTimeout):
		t.Error("run did not return after SIGTERM")
	}
}

// watchedAgents are discovery agents that list the same endpoint. Each agent has an older version of the list than the
// agent before it, so the gateway must accept an older version when it switches to the next agent.
type watchedAgents struct {
	addrs   []string
	watched chan int // receives the index of the agent for each watch that is opened
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

// expectWatch waits for the next watch, and fails the test if it is not opened at agent want.
func (a *watchedAgents) expectWatch(t *testing.T, want int) {
	t.Helper()
	select {
	case got := <-a.watched:
		if got != want {
			t.Fatalf("a watch was opened at agent %d, want %d", got, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no watch was opened at agent %d", want)
	}
}

// replaceFile replaces a file atomically, so that no reader sees a part of it.
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

// requestUntil sends requests on one connection until stop is closed. It waits for each reply before the next request,
// and returns an error if a request is not served.
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

// TestUnknownLogLevelGivesOneLineError checks that run returns an error for an unknown log level and does not fall back
// to another level.
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
		t.Errorf("got error %v, want one line that names EDGE_LOG", err)
	}
}
