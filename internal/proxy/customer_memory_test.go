package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"

	"reedlead/internal/config"
)

// Limits and load of TestNewCustomersFitIntoMemory. The state of all customers together would exceed the memory.
const (
	scarceMemoryMB     = 8
	floodConnections   = 20
	floodCommands      = 2000 // on each connection, each for a new customer
	floodBatchCommands = 100  // commands that a client writes at once
)

// TestNewCustomersFitIntoMemory guards against a gateway that exceeds its memory because it keeps state for every
// customer that is named to it. Clients name customers that come only once, and no request can be served.
func TestNewCustomersFitIntoMemory(t *testing.T) {
	cfg := testConfig()
	cfg.MemoryMB = scarceMemoryMB
	addr := runGateway(t, cfg)
	before := heapInUse()
	var clients sync.WaitGroup
	for n := range floodConnections {
		conn := newTestConn(t, mustDial(t, addr))
		clients.Go(func() { floodNewCustomers(t, conn, n*floodCommands) })
	}
	clients.Wait()
	const limit = scarceMemoryMB << 20
	if grown := heapInUse() - before; grown > limit {
		t.Errorf("the heap has grown by %d bytes after %d customers, want at most the %d of the configuration", grown,
			floodConnections*floodCommands, limit)
	}
}

// runGateway runs a gateway with the real decision module until the test ends, and returns its address for clients.
func runGateway(t *testing.T, cfg config.Config) (addr string) {
	t.Helper()
	free := listenLoopback(t, net.ListenConfig{})
	cfg.ListenAddress = free.Addr().String()
	if err := free.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, cfg, nil, slog.New(slog.DiscardHandler)) }()
	t.Cleanup(func() {
		cancel()
		if err := receive(t, ended); err != nil {
			t.Error(err)
		}
	})
	if !waitFor(func() bool {
		conn, err := net.Dial("tcp", cfg.ListenAddress)
		if err != nil {
			return false
		}
		defer func() { _ = conn.Close() }() // nothing was sent on it
		return true
	}) {
		t.Fatal("the gateway does not listen")
	}
	return cfg.ListenAddress
}

// floodNewCustomers sends floodCommands requests, each for another customer, and reads the replies. The customers'
// numbers start at first.
func floodNewCustomers(t *testing.T, conn *testConn, first int) {
	for sent := 0; sent < floodCommands; sent += floodBatchCommands {
		var batch strings.Builder
		for i := first + sent; i < first+sent+floodBatchCommands; i++ {
			const fields = "c=look,t=basic,d=20,units=1,spread=1,first=0"
			batch.WriteString(encodeCommand("CALL.GET", fmt.Sprintf("%016x", i), fmt.Sprintf("q%d", i), fields))
		}
		go func() { _, _ = io.WriteString(conn.Conn, batch.String()) }() // an error shows in the replies
		if !discardLines(conn.reader, floodBatchCommands) {
			t.Error("a request got no reply")
			return
		}
	}
}

// discardLines reads n lines, and reports whether there were as many.
func discardLines(r *bufio.Reader, n int) bool {
	for range n {
		if _, err := r.ReadString('\n'); err != nil {
			return false
		}
	}
	return true
}

// heapInUse returns the number of bytes of live heap objects.
func heapInUse() int64 {
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}
