package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// descriptorLimitEnv is the name of an environment variable. If it is set, the test binary runs as a gateway, and the
// value is the limit of its open file descriptors.
const descriptorLimitEnv = "REEDLEAD_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if text := os.Getenv(descriptorLimitEnv); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err == nil {
			err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// logBuffer collects the log of a program. It is safe for concurrent use.
type logBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *logBuffer) has(text string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Contains(b.content.String(), text)
}

// count returns the number of times that a text was logged.
func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Count(b.content.Bytes(), []byte(text))
}

// tail returns at most the last 4000 bytes of the log.
func (b *logBuffer) tail() string {
	const maxTailBytes = 4000
	b.mu.Lock()
	defer b.mu.Unlock()
	content := b.content.Bytes()
	return string(content[max(0, len(content)-maxTailBytes):])
}

// eventually waits until a condition holds, and fails the test if it does not hold within testTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

const (
	descriptorLimit = 72                   // file descriptors that the gateway process may open
	idleClientCount = 150                  // more than descriptorLimit
	reconnectPause  = 5 * time.Millisecond // from the end of an idle client's connection to its next one
)

// TestIdleClientsLeaveDescriptors checks that the gateway can connect to discovery and to endpoints, and can reload its
// configuration, while idle clients use up its file descriptors. There are more idle clients than descriptors, and each
// reconnects whenever it is disconnected. The process may open as many descriptors as configured in one case, and far
// fewer in the other.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	for _, configured := range []int{descriptorLimit, 1024} {
		t.Run(fmt.Sprintf("limit %d, configured %d", descriptorLimit, configured), func(t *testing.T) {
			checkIdleClientsLeaveDescriptors(t, configured)
		})
	}
}

func checkIdleClientsLeaveDescriptors(t *testing.T, configured int) {
	t.Helper()
	agents := newHangingAgents(t, serveEndpoint(t))
	first, second := agents.start("first"), agents.start("second")
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(discovery string) {
		t.Helper()
		config := programConfig{
			discovery: discovery, endpoints: []string{"127.0.0.1:1"}, sockets: configured,
		}
		if err := os.WriteFile(path, []byte(config.text(listen)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(first)
	p := launch(t, path, descriptorLimit)
	idle := startIdleClients(t, listen)
	eventually(t, "idle clients get more replies than there are descriptors", func() bool { return len(idle) > descriptorLimit })
	if configured > descriptorLimit {
		eventually(t, "no descriptor is left", func() bool { return p.log.has("no descriptor left") })
	}
	close(agents.released)
	eventually(t, "the agent is polled", func() bool { return len(agents.polled) > 0 })
	eventually(t, "a request is served", func() bool { return requestOnce(listen) == "$1\r\n" })
	writeConfig(second)
	p.signal(syscall.SIGHUP)
	eventually(t, "the second agent is polled", func() bool {
		for len(agents.polled) > 0 {
			if <-agents.polled == "second" {
				return true
			}
		}
		return false
	})
	eventually(t, "a request is served after the reload", func() bool { return requestOnce(listen) == "$1\r\n" })
	select {
	case err := <-p.ended:
		t.Errorf("the gateway process ended: %v", err)
		p.ended <- err
	default:
	}
}

// hangingAgents are discovery agents that do not respond until released is closed. Then they list one endpoint.
type hangingAgents struct {
	t        *testing.T
	endpoint string
	released chan struct{}
	polled   chan string // receives the agent's name before each response
}

func newHangingAgents(t *testing.T, endpoint string) *hangingAgents {
	return &hangingAgents{t: t, endpoint: endpoint, released: make(chan struct{}), polled: make(chan string, 4096)}
}

// start starts an agent and returns its address.
func (a *hangingAgents) start(name string) (addr string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-a.released:
		case <-r.Context().Done():
			return
		}
		a.polled <- name
		writeText(w, fmt.Sprintf(`{"version":9,"full":true,"servers":[{"id":"new","addr":"%s","state":"in_service"}]}`+"\n",
			a.endpoint))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	a.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// startIdleClients starts idleClientCount clients. Each repeatedly connects, sends a PING, and idles until its connection
// is closed. The channel receives a value for each reply, unless it is full.
func startIdleClients(t *testing.T, addr string) <-chan struct{} {
	idle := make(chan struct{}, 4096)
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	for range idleClientCount {
		go func() {
			for {
				connectAndIdle(addr, idle, stop)
				select {
				case <-stop:
					return
				case <-time.After(reconnectPause):
				}
			}
		}()
	}
	return idle
}

// connectAndIdle connects once, sends a PING, and idles until the connection or stop is closed. When a reply arrives, it
// sends to idle, unless that channel is full.
func connectAndIdle(addr string, idle chan<- struct{}, stop <-chan struct{}) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer closeQuietly(conn)
	writeText(conn, pingCommand)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-stop:
			closeQuietly(conn)
		case <-ended:
		}
	}()
	r := bufio.NewReader(conn)
	if line, _ := r.ReadString('\n'); line != "" {
		select {
		case idle <- struct{}{}:
		default:
		}
	}
	_, _ = r.ReadString('\n') // blocks until the connection is closed
}

var requestCount int

// requestOnce sends one request on a new connection. It returns the first line of the reply, or "" if there is none.
func requestOnce(addr string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer closeQuietly(conn)
	setTimeout(conn, testTimeout/4)
	requestCount++
	writeText(conn, requestCommand(fmt.Sprintf("q%07d", requestCount), 20_000))
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line
}

// serveEndpoint starts an endpoint that replies to each CALL.GET with the value v.
func serveEndpoint(t *testing.T) (addr string) {
	t.Helper()
	l := listen(t)
	go serveEach(l, func(conn net.Conn) {
		defer closeQuietly(conn)
		for r := bufio.NewReader(conn); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "c=") { // the last argument of a CALL.GET
				writeText(conn, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
		}
	})
	return l.Addr().String()
}
