package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Class is a class of requests, in the words of the settings.
type Class struct {
	Name, Effect, Scope string
	Aim, Deadline, TTL  float64
	Worth, LateWorth    float64
}

// Plan is a plan, in the words of the settings.
type Plan struct {
	Name                                   string
	Rate, Peak, Pays, HardRate, Cap, Slack float64
	Parallel                               int
}

// Classes of the deployment cuota-main, within the ranges of the brief.
var Classes = []Class{
	{Name: "quote", Effect: "retryable", Scope: "all", Aim: 0.25, Deadline: 0.6, TTL: 5, Worth: 1},
	{Name: "save-sim", Effect: "dedup", Scope: "cell", Aim: 0.75, Deadline: 3, TTL: 3, Worth: 5, LateWorth: 0.2},
	{Name: "preapproval", Effect: "fragile", Scope: "all", Aim: 0.8, Deadline: 2, TTL: 5, Worth: 5},
}

// Options describe a small deployment.
type Options struct {
	Gateways          int
	MemoryMB, Sockets int
	Classes           []Class
	Plans             []Plan
	MaxUnits          int
	Limits            map[string]any // replaces entries of limits
	Rules             map[string]any // replaces entries of rules
}

// Settings returns the settings of gateway me.
func (o Options) Settings(me int) map[string]any {
	var profiles, packages []map[string]any
	for _, c := range o.Classes {
		profiles = append(profiles, map[string]any{
			"aimS": c.Aim, "deadlineS": c.Deadline, "effect": c.Effect, "keyScope": c.Scope, "keyTtlS": c.TTL,
			"lateWorth": c.LateWorth, "name": c.Name, "stream": false, "worth": c.Worth,
		})
	}
	for _, p := range o.Plans {
		packages = append(packages, map[string]any{
			"capDepth": p.Cap, "ceilingSlack": p.Slack, "excessCost": 0.5, "extraWorth": 0.0, "hardRate": p.HardRate,
			"name": p.Name, "parallel": p.Parallel, "pays": p.Pays, "peakUnits": p.Peak, "unitsPerS": p.Rate,
		})
	}
	limits := map[string]any{
		"cancel": true, "connIdleS": 30.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutS": 0.25, "maxAttempts": 4,
		"maxRetryAfterS": 1.0, "mostHeld": 20000, "multiplex": 32, "parallelTries": true, "peerMessages": o.Gateways > 1,
		"probes": true, "retryAfter": true,
	}
	for k, v := range o.Limits {
		limits[k] = v
	}
	rules := map[string]any{
		"answerSlackS": 0.008, "askWithinS": 10.0, "coldFrom": 0.15, "coldS": 14.0, "fallMultiple": 2.5, "fallS": 1.0,
		"stopSendingWithinS": 0.25,
	}
	for k, v := range o.Rules {
		rules[k] = v
	}
	return map[string]any{
		"balancers": o.Gateways, "clientHabits": map[string]any{"marksRetry": false}, "discovery": "pushed",
		"failureDomains": []string{"floor-1", "floor-2", "floor-3"}, "family": "gate",
		"familyInfo": map[string]any{
			"counterPrice": 0.0, "counterTimeoutS": 0.0, "maxUnits": o.MaxUnits, "meterPeriodS": 0.0, "peerIntake": 40.0,
			"sharedCounter": false, "truedUp": false,
		},
		"feedback": map[string]any{"fields": []string{}, "how": "none"}, "kinds": []string{"c2-full", "c2-lite"},
		"limits": limits, "me": me, "myZone": "floor-1", "packages": packages, "profiles": profiles, "rules": rules,
		"prices": map[string]any{
			"connection": 0.0, "crossZone": 0.005, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.021, "moves": 0.0,
			"origin": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.097,
		},
		"scoreParts": map[string]any{"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1},
		"stages":     []string{"calc-fleet"}, "tickS": 0.002, "tier": 0, "weights": "none",
	}
}

// Platform starts gateways with the command of the deploy file.
type Platform struct {
	Root, Temp string
	Run        string
	Record     *Record
	mu         sync.Mutex
	gateways   []*Gateway
}

// NewPlatform reads the deploy file of the repository.
func NewPlatform(root string, record *Record) (*Platform, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	p := &Platform{Root: root, Record: record}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			p.Run = strings.TrimSuffix(rest, "\"")
		}
	}
	if p.Run == "" {
		return nil, errors.New("no run command in the deploy file")
	}
	p.Temp, err = os.MkdirTemp("", "review-2-")
	return p, err
}

// Close kills what still runs, and removes the temporary folder.
func (p *Platform) Close() {
	p.mu.Lock()
	all := p.gateways
	p.mu.Unlock()
	for _, g := range all {
		g.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.Temp)
	}
}

// FreeTCP and FreeUDP return free addresses on loopback.
func FreeTCP() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func FreeUDP() string {
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.LocalAddr().String()
}

// Gateway is one ingress.
type Gateway struct {
	Name, Addr string
	platform   *Platform
	config     string
	cmd        *exec.Cmd
	done       chan struct{}
	exit       error
	Pid        int
	Log        string
	starts     int
}

// NewGateway writes the configuration of a gateway; Start starts it.
func (p *Platform) NewGateway(name, addr, agent, seed string, o Options, me int, peers []string, known map[string]any) (*Gateway, error) {
	g := &Gateway{Name: name, Addr: addr, platform: p, config: filepath.Join(p.Temp, name+".json")}
	p.mu.Lock()
	p.gateways = append(p.gateways, g)
	p.mu.Unlock()
	return g, g.Configure(agent, seed, o, me, peers, known)
}

// Configure replaces the configuration file.
func (g *Gateway) Configure(agent, seed string, o Options, me int, peers []string, known map[string]any) error {
	cfg := map[string]any{
		"name": g.Name, "listen": g.Addr, "discovery": agent, "seed": seed,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.MemoryMB, "sockets": o.Sockets},
		"known":    known,
		"settings": o.Settings(me),
	}
	if len(peers) > 0 {
		cfg["peer_listen"], cfg["peers"] = peers[me], peers
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.config+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(g.config+".new", g.config)
}

// Start starts the process and waits until PING gets +PONG.
func (g *Gateway) Start() error {
	g.starts++
	g.Log = filepath.Join(g.platform.Temp, fmt.Sprintf("%s-%d.log", g.Name, g.starts))
	log, err := os.Create(g.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command("/bin/sh", "-c", g.platform.Run)
	g.cmd.Dir = g.platform.Root
	g.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+g.config, "EDGE_NAME="+g.Name, "EDGE_LISTEN="+g.Addr)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.Pid = g.cmd.Process.Pid
	g.done = make(chan struct{})
	cmd, done := g.cmd, g.done
	go func() {
		g.exit = cmd.Wait()
		close(done)
	}()
	g.platform.Record.Log("platform starts %s pid %d at %s", g.Name, g.Pid, g.Addr)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.Exited() {
			return fmt.Errorf("%s ended at its start: %w", g.Name, g.exit)
		}
		c, err := Dial(g.Addr)
		if err != nil {
			continue
		}
		_, _ = c.Conn.Write(Command("PING"))
		_ = c.Conn.SetReadDeadline(time.Now().Add(time.Second))
		reply, err := ReadReply(c.R)
		_ = c.Conn.Close()
		if err == nil && reply.Text == "PONG" {
			g.platform.Record.Log("%s is ready", g.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 30 s", g.Name)
}

// Exited reports whether the process has ended.
func (g *Gateway) Exited() bool {
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.platform.Record.Log("platform sends %v to %s", s, g.Name)
	_ = g.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.done
}

// Client is a connection of a client.
type Client struct {
	Conn *net.TCPConn
	R    *bufio.Reader
}

// Dial connects a client to an ingress.
func Dial(addr string) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{c.(*net.TCPConn), bufio.NewReaderSize(c, 1<<16)}, nil
}
