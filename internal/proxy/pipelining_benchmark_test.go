package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"

	"reedlead/internal/config"
	"reedlead/internal/netcalls"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// BenchmarkPipelining measures the throughput of one client that sends its commands without waiting for replies, with
// one endpoint that replies at once. It reports how many of the replies are values.
func BenchmarkPipelining(b *testing.B) {
	for _, bodySize := range []int{100, 16_000, 60_000} {
		b.Run(fmt.Sprintf("bodies of %d bytes", bodySize), func(b *testing.B) {
			address := startPipeliningProxy(b)
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			body := strings.Repeat("x", bodySize)
			b.SetBytes(int64(bodySize))
			b.ResetTimer()
			go func() {
				for i := range b.N {
					if _, err := io.WriteString(conn, encodeCommand(postCommand(fmt.Sprintf("r%08d", i), body)...)); err != nil {
						return // the replies end too
					}
				}
			}()
			values := countValues(b, conn, b.N)
			b.ReportMetric(float64(values)/float64(b.N), "values/op")
		})
	}
}

// startPipeliningProxy starts a proxy with an endpoint that replies at once, which end with the benchmark. It returns the
// address of the proxy.
func startPipeliningProxy(b *testing.B) string {
	b.Helper()
	endpoint, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = endpoint.Close() })
	go serveValues(endpoint)
	cfg := testConfig(endpoint.Addr().String())
	cfg.MemoryMB = 192
	cfg.Settings.Plans[0].Rate, cfg.Settings.Plans[0].Burst = 1e9, 1e9
	return startWithDecisionModule(b, cfg).listener.Addr().String()
}

// startWithDecisionModule starts a proxy with the real decision module, which ends with the test.
func startWithDecisionModule(t testing.TB, cfg config.Config) *Proxy {
	t.Helper()
	p, err := open(context.Background(), cfg, slog.New(slog.DiscardHandler), netcalls.System())
	if err != nil {
		t.Fatal(err)
	}
	gateway, err := policy.New(moduleSettings(cfg), 1, p.loop.Now(), p)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.serve(ctx, nil, gateway)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return p
}

// serveValues replies to each command on the connections of a listener with a value, until it is closed.
func serveValues(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := redcon.NewReader(conn)
			for number := 0; ; number++ {
				if _, err := reader.ReadCommand(); err != nil {
					return
				}
				value := fmt.Sprintf("value %08d", number) // an equal reply could be taken for a duplicate
				if _, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value); err != nil {
					return
				}
			}
		}()
	}
}

// countValues reads n replies and returns how many of them are values.
func countValues(b *testing.B, conn net.Conn, n int) (values int) {
	b.Helper()
	reader := bufio.NewReader(conn)
	for range n {
		line, err := reader.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if line[0] != '$' {
			continue
		}
		values++
		if _, err := reader.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
	}
	return values
}
