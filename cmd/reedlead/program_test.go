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

// program is an ingress that runs in a process of its own.
type program struct {
	t      *testing.T
	cmd    *exec.Cmd
	listen string
	log    *output
	ended  chan error
}

// programConfig is what a test may set of the configuration of a program; the rest is fixed.
type programConfig struct {
	discovery string // by default an address that refuses
	backends  []string
	classes   string // profiles as JSON; by default one class that may be repeated
	limits    string // as JSON, without braces
	sockets   int
}

const defaultClasses = `[{"name":"look","aimS":10,"deadlineS":20,"effect":"retryable","worth":1}]`

// freeAddress is an address on loopback that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// listen listens on loopback to the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// serveEach serves each connection that comes, until the listener ends.
func serveEach(l net.Listener, serve func(net.Conn)) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// programCommand is the command that runs the program with a configuration, so many descriptors and a log.
func programCommand(config string, descriptors int, log io.Writer) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%d", asProgram, descriptors), "EDGE_CONFIG="+config)
	cmd.Stderr = log
	return cmd
}

// text is the configuration file.
func (c programConfig) text(listen string) string {
	var known []string
	for i, addr := range c.backends {
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
	return fmt.Sprintf(`{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
		"limits":{"sockets":%d,"memory_mb":128},"known":{"version":1,"servers":[%s]},
		"settings":{"balancers":1,"limits":{%s},"profiles":%s,
		"packages":[{"name":"basic","unitsPerS":1000000,"peakUnits":1000000,"pays":1}]}}`,
		listen, c.discovery, c.sockets, strings.Join(known, ","), c.limits, c.classes)
}

// startProgram starts the program and waits until it answers. It is killed with the end of the test, and its
// log is shown if that has failed.
func startProgram(t *testing.T, c programConfig) *program {
	t.Helper()
	p := &program{t: t, listen: freeAddress(t), log: &output{}, ended: make(chan error, 1)}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(c.text(p.listen)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = programCommand(path, 1024, p.log)
	p.cmd.Env = append(p.cmd.Env, "EDGE_LOG=DEBUG")
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.cmd.Wait() }()
	t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Log(p.log.tail())
		}
	})
	eventually(t, "the program answers", func() bool {
		conn, err := net.Dial("tcp", p.listen)
		if err != nil {
			return false
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		line, _ := bufio.NewReader(conn).ReadString('\n')
		return line == "+PONG\r\n"
	})
	return p
}

// stop has the process stand still, and waits until all of it does. SIGCONT ends that.
func (p *program) stop() {
	p.t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		p.t.Fatal(err)
	}
	tasks := fmt.Sprintf("/proc/%d/task", p.cmd.Process.Pid)
	eventually(p.t, "the process stands still", func() bool {
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

// dial connects as a client.
func (p *program) dial() *net.TCPConn {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.listen)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(3 * patience))
	return conn.(*net.TCPConn)
}

// call is the command for one request of the class look.
func call(id string, deadlineMS int) string {
	fields := fmt.Sprintf("c=look,t=basic,d=%d,units=1,spread=1,first=0", deadlineMS)
	return fmt.Sprintf("*4\r\n$8\r\nCALL.GET\r\n$16\r\n00000000b4d65521\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
		len(id), id, len(fields), fields)
}

// readAnswer reads one answer: a line, and the value behind it where it announces one.
func readAnswer(r *bufio.Reader) (line string, size int, err error) {
	if line, err = r.ReadString('\n'); err != nil {
		return line, 0, err
	}
	if n, _ := fmt.Sscanf(line, "$%d\r\n", &size); n == 1 {
		_, err = io.CopyN(io.Discard, r, int64(size+len("\r\n")))
	}
	return strings.TrimRight(line, "\r\n"), size, err
}

// serveValues is a backend that answers each read with a value of a size.
func serveValues(t *testing.T, size int) (addr string) {
	t.Helper()
	l := listen(t)
	value := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", size, strings.Repeat("v", size))
	go serveEach(l, func(conn net.Conn) { answerReads(conn, value) })
	return l.Addr().String()
}

// answerReads answers each read on one connection until it ends. The id of the request leads the value, as two
// equal answers on one connection may be copies of each other.
func answerReads(conn net.Conn, value string) {
	defer conn.Close()
	id := ""
	for r := bufio.NewReader(conn); ; {
		line, err := r.ReadString('\n')
		switch {
		case err != nil:
			return
		case strings.HasPrefix(line, "q"):
			id = strings.TrimSpace(line)
		case strings.HasPrefix(line, "c="): // the last argument of a read
			head, body, _ := strings.Cut(value, "\r\n$-1")
			io.WriteString(conn, head[:len(head)-len(id)]+id+"\r\n$-1"+body)
		}
	}
}
