package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"

	"reedlead/internal/discovery"

	"reedlead/internal/settings"
	"reedlead/policy"
)

// growthSize is a size of the fleet that one process is part of. Its own traffic is the same in all.
type growthSize struct{ gateways, backends int }

// growth is what one process needed for the same traffic.
type growth struct {
	cpuS        float64
	heapMB      float64
	connections int
}

// BenchmarkGrowth measures one process with the real module in fleets of the usual size and of the largest: processor
// time, heap and connections made for the same requests. Backends answer at once, and each request asks for the
// customer's gateways anew.
func BenchmarkGrowth(b *testing.B) {
	for _, size := range []growthSize{{300, 200}, {900, 3200}} {
		b.Run(fmt.Sprintf("%d gateways, %d backends", size.gateways, size.backends), func(b *testing.B) {
			for b.Loop() {
				g := playGrowth(b, size)
				b.ReportMetric(g.cpuS*1000, "cpu-ms/play")
				b.ReportMetric(g.heapMB, "heap-MB")
				b.ReportMetric(float64(g.connections), "connections/play")
			}
		})
	}
}

const (
	growthRequests = 600
	growthEvery    = 10 * time.Millisecond // between requests
)

// growthConfig is that of one process; all backends are the one that listens at an address.
func growthConfig(size growthSize, addr string) config.Config {
	c := config.Config{
		Name: "n0", Listen: "127.0.0.1:0", Discovery: unreachableAgent, Sockets: 1024, MemoryMB: 192, Seed: 1,
		Settings: settings.Settings{DialTimeout: time.Second, Settings: policy.Settings{
			ConnectionIdleTimeout: 15, GatewayCount: size.gateways,
			MaxRequestUnits: 6, MaxAttempts: 4, MaxRetryAfter: 1, RetryAfter: true, Cancellation: true, PeerMessages: true, PeerMessageRate: 40,
			SlowStartMinCapacity: 0.15, SlowStartDuration: 14, OverloadMultiple: 2.5, OverloadWindow: 1, HandshakeCost: 0.02,
			Classes: []policy.Class{{Name: "look", LatencyObjective: 0.5, Timeout: 1, PriorityWeight: 1, Idempotency: policy.Idempotent}},
			Plans:   []policy.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, WeightFactor: 1}},
		}},
	}
	for i := range size.backends {
		c.Known.Endpoints = append(c.Known.Endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("s-%08x", i), Addr: addr, Zone: string(rune('a' + i%3)),
			Cell: i % 12, State: "in_service",
		})
	}
	c.Known.Full = true
	c.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
	for i := range size.gateways { // nobody listens there
		c.Peers = append(c.Peers, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(i >> 8), byte(i)}), 9))
	}
	return c
}

func playGrowth(b *testing.B, size growthSize) growth {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	connections := make(chan struct{}, 1<<16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go answerAll(conn)
		}
	}()
	cfg := growthConfig(size, l.Addr().String())
	p, err := open(context.Background(), cfg, slog.New(slog.DiscardHandler), netcalls.System())
	if err != nil {
		b.Fatal(err)
	}
	decider, err := policy.New(cfg.Settings.Settings, cfg.Seed, p.now, p)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	var before, after syscall.Rusage
	go func() { defer close(ended); p.serve(ctx, nil, decider) }()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	go io.Copy(io.Discard, conn)
	syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for i := range growthRequests {
		fields := fmt.Sprintf("c=look,t=basic,d=1000,units=1,spread=3,first=%d", i%size.gateways)
		io.WriteString(conn, encodeCommand("CALL.GET", fmt.Sprintf("%016x", i%50), fmt.Sprint("q", i), fields))
		time.Sleep(growthEvery)
	}
	syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	cancel()
	conn.Close()
	<-ended
	seconds := func(r syscall.Rusage) float64 {
		return time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	}
	return growth{seconds(after) - seconds(before), float64(m.HeapAlloc) / (1 << 20), len(connections)}
}

// answerAll answers each command on a connection at once, with values that differ.
func answerAll(conn net.Conn) {
	defer conn.Close()
	buf, n := make([]byte, 16<<10), 0
	for {
		size, err := conn.Read(buf)
		if err != nil {
			return
		}
		for range strings.Count(string(buf[:size]), "CALL.") {
			n++
			fmt.Fprintf(conn, "*3\r\n$8\r\n%08d\r\n$-1\r\n$-1\r\n", n)
		}
	}
}
