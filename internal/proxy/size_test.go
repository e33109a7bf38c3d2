package proxy

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"reedlead/internal/config"
	"reedlead/internal/peerlink"

	"reedlead/internal/discovery"
	"reedlead/internal/discovery/discoverytest"

	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// leastCap is the number of gateways and of backends below which nothing may be capped.
const leastCap = 1024

// manyConfig is that of gateway number me of so many, with as many backends, none of which answers.
func manyConfig(t *testing.T, me int, peers []netip.AddrPort) config.Config {
	c := testConfig()
	c.MemoryMB, c.Sockets = 192, 1024
	c.Settings.GatewayCount, c.Settings.Self, c.Settings.Settings.PeerMessages = leastCap, me, true
	c.Peers, c.PeerListen = peers, peers[me]
	for i := range leastCap {
		c.Known.Endpoints = append(c.Known.Endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("s-%08x", i), Zone: "z",
			Addr: fmt.Sprintf("127.9.%d.%d:6379", i>>8, i&255), State: "in_service",
		})
	}
	return c
}

func manyPeers(t *testing.T) (peers []netip.AddrPort) {
	for i := range leastCap {
		peers = append(peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(i >> 8), byte(i)}), 7946))
	}
	for _, i := range []int{0, leastCap - 1} { // the two that run get ports of their own
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(peers[i].Addr(), 0)))
		if err != nil {
			t.Fatal(err)
		}
		peers[i] = c.LocalAddr().(*net.UDPAddr).AddrPort()
		c.Close()
	}
	return peers
}

// Guards against caps on lists: with 1,024 gateways and as many backends the list that a process starts with,
// a whole list and a change are taken in, indented too; messages go both ways between the first gateway and
// the last, one to each without a loss on this side; it is ready at once, and the memory stays far below its limit.
func TestAThousandGatewaysAndBackends(t *testing.T) {
	peers := manyPeers(t)
	address, polls := discoverytest.NewManualAgent(t)
	cfg := manyConfig(t, 0, peers)
	cfg.Discovery = address
	first := startProxy(t, cfg, nil)
	last := startProxy(t, manyConfig(t, leastCap-1, peers), nil)
	if n := len(receive(t, first.decider.lists)); n != leastCap {
		t.Fatalf("the module got %d backends", n)
	}
	c := first.client()
	if c.send("PING"); c.readLine() != "+PONG" {
		t.Error("not ready, with a list and a silent agent")
	}
	list := discovery.List{Version: 7, Full: true}
	for i := range leastCap {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{ID: fmt.Sprintf("new-%08x", i), Addr: "127.0.0.1:1", Zone: "z", State: "in_service"})
	}
	text, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	watch := receive(t, polls)
	watch.Write(string(text) + "\n")
	if n := len(receive(t, first.decider.lists)); n != leastCap {
		t.Errorf("the module got %d backends", n)
	}
	watch.Write(discoverytest.ListJSON(8, false, fmt.Sprintf("new-%08x", leastCap-1), "terminating"))
	if got := fmt.Sprint(first.nextEndpoints()); got != fmt.Sprintf("[new-%08x draining]", leastCap-1) {
		t.Errorf("the module got %s", got)
	}
	first.onLoop(func() {
		if n := len(first.proxy.endpoints.byID); n != leastCap {
			t.Errorf("%d backends are kept", n)
		}
		first.proxy.SendToPeer(leastCap-1, []byte("there"))
	})
	if m := receive(t, last.decider.messages); m.from != 0 || m.data != "there" {
		t.Errorf("the last gateway got %+v", m)
	}
	last.onLoop(func() { last.proxy.SendToPeer(0, []byte(strings.Repeat("x", peerlink.MaxDatagramSize))) })
	if m := receive(t, first.decider.messages); m.from != leastCap-1 || len(m.data) != peerlink.MaxDatagramSize {
		t.Errorf("the first gateway got %d bytes of %d", len(m.data), m.from)
	}
	first.onLoop(func() {
		before := first.proxy.logLimit
		for i := 1; i < leastCap; i++ { // all in one event: nothing may be lost before the socket
			first.proxy.SendToPeer(i, []byte("all"))
		}
		if first.proxy.logLimit != before {
			t.Error("datagrams were lost in the queue")
		}
	})
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=600000,units=2,spread=1024,first=1023")
	if q := receive(t, first.decider.requests); q.GatewayCount != leastCap || q.FirstGateway != leastCap-1 {
		t.Errorf("the module got %+v", q)
	}
	runtime.GC()
	var m runtime.MemStats
	if runtime.ReadMemStats(&m); m.HeapAlloc > 2*64<<20 { // both, and the test's own
		t.Errorf("%d MB are in use", m.HeapAlloc>>20)
	}
}

// Guards against a process that is never ready while discovery is down and its list names no backend of use,
// or is empty; and against one that is ready before it could have heard of any.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, servers := range map[string][]discovery.Endpoint{
		"no list":       nil,
		"an old list":   {{ID: "s0", Addr: "127.0.0.1:1", State: "terminating"}},
		"a list of use": {{ID: "s0", Addr: "127.0.0.1:1", State: "in_service"}},
	} {
		t.Run(name, func(t *testing.T) {
			address, polls := discoverytest.NewManualAgent(t) // silent
			cfg := testConfig()
			cfg.Discovery, cfg.Known.Endpoints = address, servers
			r := startProxy(t, cfg, func(r *harness) { r.proxy.readyAt = r.proxy.now + 3600 })
			receive(t, polls)
			c := r.client()
			want := "-LOADING no backends known yet"
			if name == "a list of use" {
				want = "+PONG"
			}
			if c.send("PING"); want != "" {
				if got := c.readLine(); got != want {
					t.Errorf("at the start: got %q, want %q", got, want)
				}
			}
			r.onLoop(func() { r.proxy.readyAt = r.proxy.now })
			c.send("PING")
			if got := c.readLine(); got != "+PONG" {
				t.Errorf("a moment later: got %q", got)
			}
			c.send(lookCommand("a")...)
			receive(t, r.decider.requests)
			r.onLoop(func() { r.proxy.answer(r.proxy.requests["a"], redcon.AppendError(nil, "BUSY"), policy.QuotaExceeded) })
			if got := c.readLine(); got != "-BUSY" {
				t.Errorf("a request got %q", got)
			}
		})
	}
}

// Guards the messages of the module in the largest fleets: a member and an owner with the largest numbers
// agree on a testCustomer, and news of any of so many backends is told.
func TestMessagesOfAThousandGateways(t *testing.T) {
	type told struct {
		to   int
		data []byte
	}
	gates, sent := map[int]*policy.Gateway{}, map[int]*[]told{}
	s := manyConfig(t, 0, manyPeers(t)).Settings.Settings
	s.PeerMessageRate = 40
	for _, me := range []int{0, leastCap - 1} {
		s.Self = me
		list := new([]told)
		g, err := policy.New(s, 7, 100, &quiet{tell: func(to int, b []byte) { *list = append(*list, told{to, b}) }})
		if err != nil {
			t.Fatal(err)
		}
		var servers []policy.Endpoint
		for i := range leastCap {
			servers = append(servers, policy.Endpoint{ID: fmt.Sprint("s", i), Zone: "z"})
		}
		g.HandleEndpoints(100, servers, true)
		gates[me], sent[me] = g, list
	}
	for i := range 40 { // customers of both; each of them owns some
		for me, g := range gates {
			g.HandleRequest(100, policy.Request{
				ID: fmt.Sprint(me, "-", i), Class: "look", Plan: "basic", Customer: fmt.Sprintf("%016x", i),
				Deadline: 102, FirstGateway: leastCap - 1, GatewayCount: 2, Units: 1,
			})
		}
	}
	for _, g := range gates {
		g.HandleTimer(100.2, 1)
	}
	for me, other := range map[int]int{0: leastCap - 1, leastCap - 1: 0} {
		if len(*sent[me]) == 0 {
			t.Fatalf("gateway %d told nothing", me)
		}
		if len(*sent[me]) > 0 {
			m := (*sent[me])[0]
			if m.to != other || len(m.data) > peerlink.MaxDatagramSize {
				t.Fatalf("gateway %d told %d bytes to %d", me, len(m.data), m.to)
			}
			before := len(*sent[other])
			gates[other].HandlePeerMessage(100.21, me, m.data)
			if len(*sent[other]) == before {
				t.Errorf("gateway %d did not answer", other)
			}
		}
	}
}

// quiet takes what a module does, and passes on what it tells.
type quiet struct{ tell func(int, []byte) }

func (q *quiet) Send(string, string, float64, float64) {}
func (q *quiet) Reject(string, float64, policy.Reason) {}
func (q *quiet) Fail(string, policy.Reason)            {}
func (q *quiet) Cancel(string, int)                    {}
func (q *quiet) SetTimer(uint64, float64)              {}
func (q *quiet) HealthCheck(string)                    {}
func (q *quiet) SendToPeer(to int, b []byte)           { q.tell(to, append([]byte(nil), b...)) }
func (q *quiet) Log(string)                            {}
