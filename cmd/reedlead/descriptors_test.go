package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
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

// asProgram is the environment that has the test's own program run as an ingress, with so many descriptors.
const asProgram = "REEDLEAD_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if text := os.Getenv(asProgram); text != "" {
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

// output keeps what a program logs.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) has(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.b.String(), text)
}

// count is how often a text was logged.
func (o *output) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.b.Bytes(), []byte(text))
}

// tail is the end of what was logged.
func (o *output) tail() string {
	const most = 4000
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.b.Bytes()
	return string(b[max(0, len(b)-most):])
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came to: " + what)
		}
	}
}

// Guards against idle clients that take all descriptors while discovery is down, and keep the ingress from
// discovery, backends, peers and its configuration when they are back: with as many descriptors as it was told
// of, and with far fewer. Meanwhile they come again as soon as they are closed.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	for _, told := range []int{72, 1024} {
		t.Run(fmt.Sprintf("72 of %d", told), func(t *testing.T) {
			backend := serveBackend(t)
			up, asked := make(chan struct{}), make(chan string, 4096)
			agent := func(name string) string {
				srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
					select {
					case <-up:
					case <-q.Context().Done(): // silent, as while it is down
						return
					}
					asked <- name
					fmt.Fprintf(w, `{"version":9,"full":true,"servers":[{"id":"new","addr":"%s","state":"in_service"}]}`+"\n", backend)
					w.(http.Flusher).Flush()
					<-q.Context().Done()
				}))
				t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
				return strings.TrimPrefix(srv.URL, "http://")
			}
			first, second := agent("first"), agent("second")
			listen := freeAddress(t)
			path := filepath.Join(t.TempDir(), "config.json")
			write := func(discovery string) {
				text := fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"1","limits":{"sockets":%d,"memory_mb":128},
					"known":{"version":1,"servers":[{"id":"old","addr":"127.0.0.1:1","state":"in_service"}]},
					"settings":{"balancers":1,"limits":{"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3},
					"profiles":[{"name":"look","aimS":10,"deadlineS":20,"effect":"retryable","worth":1}],
					"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`, listen, discovery, told)
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			write(first)
			var log output
			program := programCommand(path, 72, &log)
			if err := program.Start(); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- program.Wait() }()
			t.Cleanup(func() { program.Process.Kill(); <-ended })
			t.Cleanup(func() {
				if t.Failed() {
					log.mu.Lock()
					t.Log(log.b.String())
					log.mu.Unlock()
				}
			})
			idle := make(chan struct{}, 4096) // a word for each client that was answered and idles
			stop := make(chan struct{})
			defer close(stop)
			for range 150 {
				go func() {
					for {
						if c, err := net.Dial("tcp", listen); err == nil {
							io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
							go func() { <-stop; c.Close() }()
							r := bufio.NewReader(c)
							if line, _ := r.ReadString('\n'); line != "" {
								select {
								case idle <- struct{}{}:
								default:
								}
							}
							r.ReadString('\n') // until it is closed
							c.Close()
						}
						select {
						case <-stop:
							return
						case <-time.After(5 * time.Millisecond):
						}
					}
				}()
			}
			eventually(t, "clients fill what they may", func() bool { return len(idle) > 72 })
			if told > 72 {
				eventually(t, "no descriptor is left", func() bool { return log.has("no descriptor left") })
			}
			close(up)
			eventually(t, "the agent is asked", func() bool { return len(asked) > 0 })
			eventually(t, "a request is served", func() bool { return get(listen) == "$1\r\n" })
			write(second)
			if err := program.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the second agent is asked", func() bool {
				for len(asked) > 0 {
					if <-asked == "second" {
						return true
					}
				}
				return false
			})
			eventually(t, "a request is served by the new list", func() bool { return get(listen) == "$1\r\n" })
			select {
			case err := <-ended:
				t.Errorf("the program ended: %v", err)
				ended <- err
			default:
			}
		})
	}
}

var asks int

// get asks for something once, and returns the first line of the answer.
func get(addr string) string {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience / 4))
	asks++
	io.WriteString(c, call(fmt.Sprintf("q%07d", asks), 20_000))
	line, _ := bufio.NewReader(c).ReadString('\n')
	return line
}

// serveBackend answers each read.
func serveBackend(t *testing.T) (addr string) {
	l := listen(t)
	go serveEach(l, func(c net.Conn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if strings.HasPrefix(line, "c=") { // the last argument of a read
				io.WriteString(c, "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n")
			}
		}
	})
	return l.Addr().String()
}
