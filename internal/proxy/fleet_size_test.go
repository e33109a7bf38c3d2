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
	"reedlead/internal/discovery"
	"reedlead/internal/netcalls"
	"reedlead/internal/settings"
	"reedlead/policy"
)

// fleetSize is the size of the fleet for which the measured gateway is configured.
type fleetSize struct{ gateways, endpoints int }

// gatewayUsage is the resource usage of a process that runs one gateway, one client and the listener that stands
// for all endpoints.
type gatewayUsage struct {
	cpu         time.Duration // processor time while the requests are sent
	heapMiB     float64       // after the requests
	connections int           // number of connections made to endpoints
}

// BenchmarkFleetSize runs one gateway that is configured for a fleet of the usual size or a larger one. It measures the
// processor time and the heap of the process, and the number of connections made to endpoints. The gateway uses the
// real decision module. The other gateways do not run, and one listener that replies at once stands for all endpoints.
// The field first of the command, which names a gateway, differs from request to request.
func BenchmarkFleetSize(b *testing.B) {
	for _, size := range []fleetSize{{300, 200}, {900, 3200}} {
		b.Run(fmt.Sprintf("%d gateways, %d endpoints", size.gateways, size.endpoints), func(b *testing.B) {
			for b.Loop() {
				g := measureUsage(b, size)
				b.ReportMetric(g.cpu.Seconds()*1000, "cpu-ms/play")
				b.ReportMetric(g.heapMiB, "heap-MB")
				b.ReportMetric(float64(g.connections), "connections/play")
			}
		})
	}
}

const (
	benchmarkRequests = 600
	requestInterval   = 10 * time.Millisecond // pause after each request
	discardPort       = 9                     // no process listens on it
)

// fleetConfig returns the configuration of one gateway. All its endpoints have the given address.
func fleetConfig(size fleetSize, address string) config.Config {
	c := config.Config{
		Name: "n0", ListenAddress: "127.0.0.1:0", DiscoveryAddress: unreachableAddress, MaxDescriptors: 1024, MemoryMB: 192, Seed: 1,
		Settings: settings.Settings{DialTimeout: time.Second, Settings: policy.Settings{
			ConnectionIdleTimeout: 15, GatewayCount: size.gateways,
			MaxRequestUnits: 6, MaxAttempts: 4, MaxRetryAfter: 1, RetryAfter: true, Cancellation: true, PeerMessages: true, PeerMessageRate: 40,
			SlowStartMinCapacity: 0.15, SlowStartDuration: 14, OverloadMultiple: 2.5, OverloadWindow: 1, HandshakeCost: 0.02,
			Classes: []policy.Class{{Name: "look", LatencyObjective: 0.5, Timeout: 1, PriorityWeight: 1, Idempotency: policy.Idempotent}},
			Plans:   []policy.Plan{{Name: "basic", Rate: 1e6, Burst: 1e6, WeightFactor: 1}},
		}},
	}
	for i := range size.endpoints {
		c.InitialEndpoints.Endpoints = append(c.InitialEndpoints.Endpoints, discovery.Endpoint{
			ID: fmt.Sprintf("s-%08x", i), Addr: address, Zone: string(rune('a' + i%3)),
			Cell: i % 12, State: discovery.StateInService,
		})
	}
	c.InitialEndpoints.Full = true
	c.PeerListenAddress = netip.MustParseAddrPort("127.0.0.1:0")
	for i := range size.gateways {
		c.PeerAddresses = append(c.PeerAddresses, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(i >> 8), byte(i)}), discardPort))
	}
	return c
}

// measureUsage runs one gateway that is configured for a fleet of a given size, sends it requests, and returns the
// resource usage.
func measureUsage(b *testing.B, size fleetSize) gatewayUsage {
	b.Helper()
	address, connections, closeEndpoint := listenReplyingEndpoint(b)
	defer closeEndpoint()
	cfg := fleetConfig(size, address)
	p, err := open(b.Context(), cfg, slog.New(slog.DiscardHandler), netcalls.System())
	if err != nil {
		b.Fatal(err)
	}
	decider, err := policy.New(cfg.Settings.Settings, cfg.Seed, p.loop.Now(), p)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); p.serve(ctx, nil, decider) }()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	before := processorTime(b)
	sendRequests(b, conn, size)
	cpu := processorTime(b) - before
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	cancel()
	_ = conn.Close() // the usage was measured before, so the error does not matter
	<-ended
	return gatewayUsage{cpu, float64(memory.HeapAlloc) / (1 << 20), len(connections)}
}

func sendRequests(b *testing.B, conn net.Conn, size fleetSize) {
	b.Helper()
	for i := range benchmarkRequests {
		fields := fmt.Sprintf("c=look,t=basic,d=1000,units=1,spread=3,first=%d", i%size.gateways)
		text := encodeCommand("CALL.GET", fmt.Sprintf("%016x", i%50), fmt.Sprint("q", i), fields)
		if _, err := io.WriteString(conn, text); err != nil {
			b.Fatal(err)
		}
		time.Sleep(requestInterval)
	}
}

// processorTime returns the processor time that this process has used in user and in system mode.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// listenReplyingEndpoint starts an endpoint that replies at once. It sends a value on the channel connections for each
// connection that it accepts.
func listenReplyingEndpoint(b *testing.B) (address string, connections chan struct{}, closeListener func()) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	connections = make(chan struct{}, 1<<16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections <- struct{}{}
			go replyToAll(conn)
		}
	}()
	return listener.Addr().String(), connections, func() { _ = listener.Close() }
}

// replyToAll replies to each request on a connection at once, with a different value each time. It returns when a
// read or a write fails.
func replyToAll(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	buf, n := make([]byte, 16<<10), 0
	for {
		size, err := conn.Read(buf)
		if err != nil {
			return
		}
		for range strings.Count(string(buf[:size]), "CALL.") {
			n++
			if _, err := fmt.Fprintf(conn, "*3\r\n$8\r\n%08d\r\n$-1\r\n$-1\r\n", n); err != nil {
				return
			}
		}
	}
}
