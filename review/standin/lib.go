package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes lines to the record of the case, each with the time since its start.
type record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{w: bufio.NewWriter(file), file: file, begun: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// target is an entry of the list that discovery gives.
type target struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is the list of discovery.
type list struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []target `json:"servers"`
}

// agent is a stand-in for the discovery agent. Its list never changes.
type agent struct {
	addr string
	list list
}

func startAgent(l list) (*agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: listener.Addr().String(), list: l}
	go func() { _ = http.Serve(listener, a) }()
	return a, nil
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	text, _ := json.Marshal(a.list)
	if r.URL.Query().Get("watch") == "" {
		_, _ = w.Write(append(text, '\n'))
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if after < a.list.Version {
		_, _ = w.Write(append(text, '\n'))
	}
	w.(http.Flusher).Flush()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			if _, err := io.WriteString(w, "\n"); err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	}
}

// gateway is a process of the project.
type gateway struct {
	cmd    *exec.Cmd
	addr   string
	log    string
	ended  chan struct{}
	exited atomic.Bool
}

// root returns the folder of the repository: the case is started with its own folder, review/N, as argument.
func root(caseDir string) string { return filepath.Dir(filepath.Dir(caseDir)) }

// deployCommand returns a command of the deploy file.
func deployCommand(caseDir, name string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root(caseDir), "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" = "); ok {
			return strconv.Unquote(strings.TrimSpace(rest))
		}
	}
	return "", fmt.Errorf("no %s in the deploy file", name)
}

// startGateway starts the program with the command of the deploy file and waits until it is ready.
func startGateway(caseDir, dir string, config map[string]any) (*gateway, error) {
	run, err := deployCommand(caseDir, "run")
	if err != nil {
		return nil, err
	}
	name := config["name"].(string)
	path := filepath.Join(dir, name+".json")
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	logPath := filepath.Join(dir, name+".log")
	logFile, err := os.Create(logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root(caseDir)
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "EDGE_NAME="+name, "EDGE_LOG="+os.Getenv("CASE_LOG"))
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	g := &gateway{cmd: cmd, addr: config["listen"].(string), log: logPath, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		g.exited.Store(true)
		close(g.ended)
	}()
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit) && !g.exited.Load(); time.Sleep(50 * time.Millisecond) {
		c, err := dialClient(g.addr)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(c.conn, "*1\r\n$4\r\nPING\r\n")
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
		answer, err := c.readAnswer()
		_ = c.conn.Close()
		if err == nil && answer.text == "+PONG" {
			return g, nil
		}
	}
	g.kill()
	return nil, errors.New("the gateway did not get ready")
}

func (g *gateway) kill() {
	_ = g.cmd.Process.Kill()
	<-g.ended
}

// anonymousMB returns the resident memory of the process.
func (g *gateway) anonymousMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// client is a connection of a client.
type client struct {
	conn *net.TCPConn
	in   *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn.(*net.TCPConn), in: bufio.NewReaderSize(conn, 64<<10)}, nil
}

// answer is one answer of a gateway.
type answer struct {
	text  string // the line, for anything but a value
	value []byte // the value, if served
	ok    bool   // served
}

// kind tells what an answer means to its client.
func (a answer) kind() string {
	switch {
	case a.ok:
		return "served"
	case strings.HasPrefix(a.text, "-BUSY"):
		return "refused"
	}
	return "failed"
}

// readAnswer reads the next answer.
func (c *client) readAnswer() (answer, error) {
	line, err := c.in.ReadString('\n')
	if err != nil {
		return answer{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil {
			return answer{}, err
		}
		value := make([]byte, n+2)
		if _, err := io.ReadFull(c.in, value); err != nil {
			return answer{}, err
		}
		return answer{value: value[:n], ok: true}, nil
	case strings.HasPrefix(line, "*"):
		return answer{}, errors.New("array")
	}
	return answer{text: line}, nil
}

// command encodes a command as an array of bulk strings.
func command(words ...string) []byte {
	var b []byte
	b = fmt.Appendf(b, "*%d\r\n", len(words))
	for _, word := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b
}

var idCount atomic.Int64

// newID returns an id that no other request has.
func newID(prefix string) string {
	return fmt.Sprintf("%s%014x", prefix, idCount.Add(1))
}

// call is a command that has reached a backend.
type call struct {
	id      string
	words   []string
	at      time.Time
	backend string
}

// backend is a stand-in for a backend: it begins each command once its last byte has come, answers after service, and
// answers in order.
type backend struct {
	name     string
	addr     string
	listener net.Listener
	rec      *record
	// serve returns the time until the answer and the size of the value; hang is set if there is no answer.
	serve func(c call) (service time.Duration, size int, hang bool)
	onRun func(c call)
}

func startBackend(name string, rec *record, serve func(call) (time.Duration, int, bool), onRun func(call)) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{name: name, addr: listener.Addr().String(), listener: listener, rec: rec, serve: serve, onRun: onRun}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.handle(conn)
		}
	}()
	return b, nil
}

func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "*"), "\r\n"))
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimRight(strings.TrimPrefix(line, "$"), "\r\n"))
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

func (b *backend) handle(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 64<<10)
	for {
		words, err := readCommand(in)
		if err != nil {
			return
		}
		switch strings.ToUpper(words[0]) {
		case "CALL.GET", "CALL.POST":
		case "PING":
			_, _ = io.WriteString(conn, "+PONG\r\n")
			continue
		case "INFO":
			_, _ = io.WriteString(conn, "-NOPERM\r\n")
			continue
		default:
			_, _ = io.WriteString(conn, "-ERR\r\n")
			continue
		}
		c := call{id: words[2], words: words, at: time.Now(), backend: b.name}
		b.onRun(c)
		service, size, hang := b.serve(c)
		if hang {
			_, _ = io.Copy(io.Discard, in) // until the gateway gives the attempt up
			return
		}
		time.Sleep(service)
		if _, err := conn.Write(reply(c.id, size)); err != nil {
			return
		}
	}
}

// valueOf returns the value that backends make for a request: its id, padded to the size.
func valueOf(id string, size int) string {
	return id + strings.Repeat("v", max(0, size-len(id)))
}

// reply returns an answer with a value, and with neither figures on use nor a load report.
func reply(id string, size int) []byte {
	value := valueOf(id, size)
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
}
