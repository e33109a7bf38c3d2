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
	"reedlead/internal/discovery"
	"reedlead/internal/discovery/discoverytest"
	"reedlead/internal/peerlink"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// largeFleetSize is the number of gateways, and also of endpoints, that must be supported.
const largeFleetSize = 1024

// largeFleetConfig returns the configuration of a gateway in a fleet of largeFleetSize gateways with as many endpoints.
func largeFleetConfig(self int, peers []netip.AddrPort) config.Config {
	c := testConfig()
	c.MemoryMB, c.MaxDescriptors = 192, 1024
	c.Settings.GatewayCount, c.Settings.Self, c.Settings.PeerMessages = largeFleetSize, self, true
	c.PeerAddresses, c.PeerListenAddress = peers, peers[self]
	for i := range largeFleetSize {
		c.InitialEndpoints.Endpoints = append(c.InitialEndpoints.Endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("s-%08x", i), Zone: "z",
			Addr: fmt.Sprintf("127.9.%d.%d:6379", i>>8, i&255), State: discovery.StateInService,
		})
	}
	return c
}

// largeFleetPeers returns the peer addresses of a large fleet. The ports of the first and the last address are free, so
// that a test can start these gateways.
func largeFleetPeers(t *testing.T) (peers []netip.AddrPort) {
	t.Helper()
	for i := range largeFleetSize {
		peers = append(peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(i >> 8), byte(i)}), 7946))
	}
	for _, i := range []int{0, largeFleetSize - 1} {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(peers[i].Addr(), 0)))
		if err != nil {
			t.Fatal(err)
		}
		peers[i] = c.LocalAddr().(*net.UDPAddr).AddrPort()
		_ = c.Close() // nothing was sent on it
	}
	return peers
}

// TestThousandGatewaysAndEndpoints checks that a proxy supports 1,024 gateways and as many endpoints:
//   - The initial list, a complete list with indentation and a change are applied, and the proxy is ready before
//     discovery replies.
//   - Messages pass in both directions between the first gateway and the last, and a single event can send one
//     message to every other gateway without losing any in the send queue.
//   - A request may be spread over all gateways.
//   - The heap of both gateways and the test takes at most 128 MB.
func TestThousandGatewaysAndEndpoints(t *testing.T) {
	peers := largeFleetPeers(t)
	address, polls := discoverytest.NewManualAgent(t)
	cfg := largeFleetConfig(0, peers)
	cfg.DiscoveryAddress = address
	first := startProxy(t, cfg, nil)
	last := startProxy(t, largeFleetConfig(largeFleetSize-1, peers), nil)
	if n := len(receive(t, first.decider.lists)); n != largeFleetSize {
		t.Fatalf("the decision module got %d endpoints, want 1024", n)
	}
	c := first.client()
	if c.send("PING"); c.readLine() != "+PONG" {
		t.Error("not ready with an initial list and a discovery agent that does not reply")
	}
	first.wantLargeLists(receive(t, polls))
	wantMessagesBetween(t, first, last)
	first.wantNoDatagramLost()
	c.send("CALL.GET", testCustomer, "a", "c=look,t=basic,d=600000,units=2,spread=1024,first=1023")
	if q := receive(t, first.decider.requests); q.GatewayCount != largeFleetSize || q.FirstGateway != largeFleetSize-1 {
		t.Errorf("the decision module got %+v, want 1024 gateways, the first of them 1023", q)
	}
	runtime.GC()
	var m runtime.MemStats
	if runtime.ReadMemStats(&m); m.HeapAlloc > 2*64<<20 { // both gateways and the test itself
		t.Errorf("%d MB of heap are in use, want at most 128", m.HeapAlloc>>20)
	}
}

// wantLargeLists checks that a complete list and a change to it are applied when the discovery agent sends them.
func (h *harness) wantLargeLists(watch discoverytest.Poll) {
	h.t.Helper()
	list := discovery.List{Version: 7, Full: true}
	for i := range largeFleetSize {
		entry := inService(fmt.Sprintf("new-%08x", i), "127.0.0.1:1")
		entry.Zone = "z"
		list.Endpoints = append(list.Endpoints, entry)
	}
	text, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		h.t.Fatal(err)
	}
	watch.Write(string(text) + "\n")
	if n := len(receive(h.t, h.decider.lists)); n != largeFleetSize {
		h.t.Errorf("the decision module got %d endpoints, want 1024", n)
	}
	watch.Write(discoverytest.ListJSON(8, false, fmt.Sprintf("new-%08x", largeFleetSize-1), "terminating"))
	if got := fmt.Sprint(h.nextEndpoints()); got != fmt.Sprintf("[new-%08x draining]", largeFleetSize-1) {
		h.t.Errorf("the decision module got %s, want the last endpoint draining", got)
	}
	h.onLoop(func() {
		if n := len(h.proxy.endpoints.byID); n != largeFleetSize {
			h.t.Errorf("the proxy holds %d endpoints, want 1024", n)
		}
	})
}

// wantMessagesBetween checks that peer messages arrive in both directions between the first gateway and the last.
func wantMessagesBetween(t *testing.T, first, last *harness) {
	t.Helper()
	first.onLoop(func() { first.proxy.SendToPeer(largeFleetSize-1, []byte("there")) })
	if m := receive(t, last.decider.messages); m.from != 0 || m.data != "there" {
		t.Errorf("the last gateway got %+v, want the message of gateway 0", m)
	}
	last.onLoop(func() { last.proxy.SendToPeer(0, []byte(strings.Repeat("x", peerlink.MaxDatagramSize))) })
	if m := receive(t, first.decider.messages); m.from != largeFleetSize-1 || len(m.data) != peerlink.MaxDatagramSize {
		t.Errorf("the first gateway got %d bytes from gateway %d, want a full datagram from the last gateway", len(m.data), m.from)
	}
}

// wantNoDatagramLost checks that no datagram is lost if a single event queues a datagram to every other gateway.
func (h *harness) wantNoDatagramLost() {
	h.t.Helper()
	h.onLoop(func() {
		before := h.proxy.warnings
		for i := 1; i < largeFleetSize; i++ {
			h.proxy.SendToPeer(i, []byte("all"))
		}
		if h.proxy.warnings != before {
			h.t.Error("datagrams were lost in the send queue")
		}
	})
}

// TestReadyWithoutDiscovery checks when a gateway is ready while discovery does not reply: immediately if its initial
// list has an endpoint in service, and otherwise from readyAt on. That gives discovery time to provide endpoints.
func TestReadyWithoutDiscovery(t *testing.T) {
	for name, endpoints := range map[string][]discovery.Endpoint{
		"no list":       nil,
		"an old list":   {{ID: "s0", Addr: "127.0.0.1:1", State: discovery.StateTerminating}},
		"a usable list": {inService("s0", "127.0.0.1:1")},
	} {
		t.Run(name, func(t *testing.T) {
			address, polls := discoverytest.NewManualAgent(t) // never replies
			cfg := testConfig()
			cfg.DiscoveryAddress, cfg.InitialEndpoints.Endpoints = address, endpoints
			h := startProxy(t, cfg, func(h *harness) { h.proxy.readyAt = h.proxy.loop.Now() + 3600 })
			receive(t, polls)
			c := h.client()
			want := "-LOADING no backends known yet"
			if name == "a usable list" {
				want = "+PONG"
			}
			if c.send("PING"); want != "" {
				if got := c.readLine(); got != want {
					t.Errorf("before readyAt: got %q, want %q", got, want)
				}
			}
			h.onLoop(func() { h.proxy.readyAt = h.proxy.loop.Now() })
			c.send("PING")
			if got := c.readLine(); got != "+PONG" {
				t.Errorf("after readyAt: got %q, want +PONG", got)
			}
			h.openRequest(c, "a")
			h.onLoop(func() {
				h.proxy.requests.reply(h.proxy.requests.byID["a"], redcon.AppendError(nil, "BUSY"), policy.QuotaExceeded)
			})
			if got := c.readLine(); got != "-BUSY" {
				t.Errorf("a rejected request got %q, want -BUSY", got)
			}
		})
	}
}

// TestPeerMessagesAmongThousandGateways checks the peer messages of the decision module in a large fleet. The first and
// the last gateway serve all customers of the test, and each owns some of them. Each sends the other a message that
// fits into a datagram, and replies to the message that it gets.
func TestPeerMessagesAmongThousandGateways(t *testing.T) {
	settings := largeFleetConfig(0, largeFleetPeers(t)).Settings.Settings
	settings.PeerMessageRate = 40
	first := newRecordedGateway(t, settings, 0)
	last := newRecordedGateway(t, settings, largeFleetSize-1)
	for i := range 40 {
		for _, g := range []*recordedGateway{first, last} {
			g.HandleRequest(100, policy.Request{
				ID: fmt.Sprint(g.number, "-", i), Class: "look", Plan: "basic", Customer: fmt.Sprintf("%016x", i),
				Deadline: 102, FirstGateway: largeFleetSize - 1, GatewayCount: 2, Units: 1,
			})
		}
	}
	first.HandleTimer(100.2, 1)
	last.HandleTimer(100.2, 1)
	for _, pair := range [][2]*recordedGateway{{first, last}, {last, first}} {
		from, to := pair[0], pair[1]
		if len(from.sent) == 0 {
			t.Fatalf("gateway %d sent no peer message", from.number)
		}
		message := from.sent[0]
		if message.to != to.number || len(message.data) > peerlink.MaxDatagramSize {
			t.Fatalf("gateway %d sent %d bytes to %d, want one datagram to the other gateway", from.number, len(message.data), message.to)
		}
		before := len(to.sent)
		to.HandlePeerMessage(100.21, from.number, message.data)
		if len(to.sent) == before {
			t.Errorf("gateway %d did not reply", to.number)
		}
	}
}

// recordedGateway is a decision module whose outgoing peer messages are recorded. Its other actions have no effect.
type recordedGateway struct {
	*policy.Gateway
	number int
	sent   []sentMessage
}

type sentMessage struct {
	to   int
	data []byte
}

// newRecordedGateway returns the decision module of the gateway with this number, with the endpoint list of a large
// fleet.
func newRecordedGateway(t *testing.T, settings policy.Settings, number int) *recordedGateway {
	t.Helper()
	settings.Self = number
	g := &recordedGateway{number: number}
	var err error
	if g.Gateway, err = policy.New(settings, 7, 100, messageRecorder{g}); err != nil {
		t.Fatal(err)
	}
	var endpoints []policy.Endpoint
	for i := range largeFleetSize {
		endpoints = append(endpoints, policy.Endpoint{ID: fmt.Sprint("s", i), Zone: "z"})
	}
	g.HandleEndpoints(100, endpoints, true)
	return g
}

// messageRecorder implements policy.Actions. It records the peer messages to send, and ignores all other actions.
type messageRecorder struct{ gateway *recordedGateway }

func (messageRecorder) Send(string, string, float64, float64) {}
func (messageRecorder) Reject(string, float64, policy.Reason) {}
func (messageRecorder) Fail(string, policy.Reason)            {}
func (messageRecorder) Cancel(string, int)                    {}
func (messageRecorder) SetTimer(uint64, float64)              {}
func (messageRecorder) HealthCheck(string)                    {}

func (m messageRecorder) SendToPeer(to int, data []byte) {
	m.gateway.sent = append(m.gateway.sent, sentMessage{to, append([]byte(nil), data...)})
}
