package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// program is a gateway that runs as a separate process.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen string // address for clients
	log    *logBuffer
	ended  chan error // receives the result of cmd.Wait
}

// programConfig holds the part of a program's configuration that tests set. Zero values stand for defaults.
type programConfig struct {
	discovery string   // address; by default one that refuses connections
	endpoints []string // addresses of the initial endpoint list
	classes   string   // profiles setting as JSON; by default one idempotent class
	limits    string   // limits setting as JSON, without braces
	sockets   int
}

const defaultClasses = `[{"name":"look","aimS":10,"deadlineS":20,"effect":"retryable","worth":1}]`

// closeQuietly closes c and ignores the error: c may already be closed.
func closeQuietly(c io.Closer) { _ = c.Close() }

// writeText writes text to w and ignores the error, because some tests break connections on purpose.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// setTimeout makes reads and writes of a connection fail after timeout, so that a test does not hang.
func setTimeout(conn net.Conn, timeout time.Duration) { _ = conn.SetDeadline(time.Now().Add(timeout)) }

// freeAddress returns an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer closeQuietly(l)
	return l.Addr().String()
}

// listen returns a listener on a free loopback port. It is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(l) })
	return l
}

// serveEach serves each accepted connection in its own goroutine, until the listener is closed.
func serveEach(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// programCommand returns a command that runs the gateway. config is the path of the configuration file, descriptors the
// limit of open file descriptors, and log receives standard error.
func programCommand(config string, descriptors int, log io.Writer) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", descriptorLimitEnv, descriptors), "EDGE_CONFIG="+config)
	cmd.Stderr = log
	return cmd
}

// text returns the text of the configuration file for a gateway that listens on the given address.
func (c programConfig) text(listen string) string {
	var known []string
	for i, addr := range c.endpoints {
		known = append(known, fmt.Sprintf(`{"id":"s%d","addr":"%s","state":"in_service"}`, i, addr))
	}
	if c.discovery == "" {
		c.discovery = "127.0.0.1:1"
	}
	if c.classes == "" {
		c.classes = defaultClasses
	}
	if c.limits == "" {
		c.limits = `"dialTimeoutS":1,"connIdleS":15,"maxAttempts":3`
	}
	if c.sockets == 0 {
		c.sockets = 1024
	}
	list := ""
	if len(known) > 0 {
		list = fmt.Sprintf(`"known":{"version":1,"servers":[%s]},`, strings.Join(known, ","))
	}
	return fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
		"limits":{"sockets":%d,"memory_mb":128},%s
		"settings":{"balancers":1,"limits":{%s},"profiles":%s,
		"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`,
		listen, c.discovery, c.sockets, list, c.limits, c.classes)
}

const pingCommand = "*1\r\n$4\r\nPING\r\n"

// startProgram starts the gateway with debug logs, and waits until it replies to PING.
func startProgram(t *testing.T, c programConfig) *program {
	t.Helper()
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(c.text(listen)), 0o600); err != nil {
		t.Fatal(err)
	}
	p := launch(t, path, 1024, "EDGE_LOG=DEBUG")
	p.listen = listen
	eventually(t, "the gateway is ready", func() bool {
		conn, err := net.Dial("tcp", p.listen)
		if err != nil {
			return false
		}
		defer closeQuietly(conn)
		setTimeout(conn, testTimeout)
		writeText(conn, pingCommand)
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "+PONG\r\n"
	})
	return p
}

// launch starts the gateway with a configuration file, a limit of file descriptors and additional environment variables.
// At the end of the test, the process is killed, and the end of its log is printed if the test has failed.
func launch(t *testing.T, path string, descriptors int, environment ...string) *program {
	t.Helper()
	p := &program{t: t, log: &logBuffer{}, ended: make(chan error, 1)}
	p.cmd = programCommand(path, descriptors, p.log)
	p.cmd.Env = append(p.cmd.Env, environment...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // the process may have ended
		if err := <-p.ended; t.Failed() {
			t.Log(err, p.log.tail())
		}
	})
	return p
}

// suspend stops the process and waits until all of its threads are stopped. SIGCONT resumes them.
func (p *program) suspend() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	eventually(p.t, "the process is suspended", func() bool {
		threads, err := os.ReadDir(tasks)
		for _, thread := range threads {
			text, _ := os.ReadFile(filepath.Join(tasks, thread.Name(), "stat"))
			_, state, _ := strings.Cut(string(text), ") ")
			if !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return err == nil && len(threads) > 0
	})
}

// signal sends a signal to the process, and fails the test if the process has ended.
func (p *program) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(signal); err != nil {
		p.t.Fatal(err)
	}
}

// dial connects to the gateway as a client. The connection is closed at the end of the test.
func (p *program) dial() *net.TCPConn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { closeQuietly(conn) })
	setTimeout(conn, 3*testTimeout)
	return conn.(*net.TCPConn)
}

// requestCommand returns the command for a request of the class look.
func requestCommand(id string, deadlineMS int) string {
	fields := fmt.Sprintf("c=look,t=basic,d=%d,units=1,spread=1,first=0", deadlineMS)
	return fmt.Sprintf("*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(id), id, len(fields), fields)
}

// readReply reads one reply. It returns the first line without its line end. If that line is the header of a value, it
// also discards the value and returns its size.
func readReply(r *bufio.Reader) (line string, size int, err error) {
	if line, err = r.ReadString('\n'); err != nil {
		return line, 0, err
	}
	if n, _ := fmt.Sscanf(line, "$%d\r\n", &size); n == 1 {
		_, err = io.CopyN(io.Discard, r, int64(size+len("\r\n")))
	}
	return strings.TrimRight(line, "\r\n"), size, err
}

// serveValues starts an endpoint that replies to each CALL.GET with a value of the given size.
func serveValues(t *testing.T, size int) (addr string) {
	t.Helper()
	l := listen(t)
	value := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, strings.Repeat("v", size))
	go serveEach(l, func(conn net.Conn) { replyToGets(conn, value) })
	return l.Addr().String()
}

// replyToGets replies to each CALL.GET on one connection. It puts the request's id at the end of each value, because the
// gateway may take two equal replies on one connection for duplicates.
func replyToGets(conn net.Conn, value string) {
	defer closeQuietly(conn)
	id := ""
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return
		case strings.HasPrefix(line, "q"):
			id = strings.TrimSpace(line)
		case strings.HasPrefix(line, "c="): // the last argument of a CALL.GET
			head, body, _ := strings.Cut(value, "\r\n$-1")
			writeText(conn, head[:len(head)-len(id)]+id+"\r\n$-1"+body)
		}
	}
}
