package proxy

import (
	"testing"
	"time"
)

// startWithFewSlots starts a proxy that rejects each request, and has slots for few client connections. Clients that have
// stopped within a command keep their connections for longer than the test.
func startWithFewSlots(t *testing.T) *harness {
	t.Helper()
	cfg := testConfig(unreachableAddress)
	cfg.MaxDescriptors = 64
	return startProxy(t, cfg, func(h *harness) {
		h.proxy.clients.commandTimeout = time.Hour
		rejectEachRequest(h)
	})
}

// partialCommand returns a request without its last bytes.
func partialCommand(id string) string {
	command := encodeCommand(lookCommand(id)...)
	return command[:len(command)-10]
}

// TestStoppedClientsLeaveRoomForRequests guards against requests that stay unread in the backlog, while clients that have
// stopped within a command take up all slots and are asked over and over to close.
func TestStoppedClientsLeaveRoomForRequests(t *testing.T) {
	h := startWithFewSlots(t)
	stopped := make([]*testConn, 2*cap(h.proxy.clients.connSlots))
	for i := range stopped {
		stopped[i] = h.client()
		stopped[i].write(partialCommand("half"))
	}
	sound := h.client()
	sound.send(lookCommand("a")...)
	sound.wantLines("-BUSY 500")
	stopped[0].wantLines("-ERR no whole command in time", "")
	h.onLoop(func() {
		if asked := h.proxy.clients.closeRequests; asked > len(stopped) {
			t.Errorf("%d requests to close %d connections, want one each", asked, len(stopped))
		}
	})
}

// TestSlowClientsLeaveRoomForRequests guards against requests that stay unread in the backlog, while clients that send
// their commands byte by byte take up all slots.
func TestSlowClientsLeaveRoomForRequests(t *testing.T) {
	h := startWithFewSlots(t)
	h.onLoop(func() { h.proxy.clients.inputStallTimeout = 0.05 })
	stop := make(chan struct{})
	defer close(stop)
	for range 3 * cap(h.proxy.clients.connSlots) {
		go sendEndlessly(h.client(), stop)
	}
	sound := h.client()
	sound.send(lookCommand("a")...)
	sound.wantLines("-BUSY 500")
}

// sendEndlessly sends the header of a command, and then a byte of the command every few milliseconds.
func sendEndlessly(c *testConn, stop <-chan struct{}) {
	const interval = 5 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	_, err := c.Write([]byte("*5\r\n$9\r\nCALL.POST\r\n$60000\r\n"))
	for err == nil {
		select {
		case <-stop:
			return
		case <-ticker.C:
			_, err = c.Write([]byte("x"))
		}
	}
}

// TestIdleClientsKeepTheirConnectionsInACrowd guards against idle connections that are closed for clients which have
// sent no request yet.
func TestIdleClientsKeepTheirConnectionsInACrowd(t *testing.T) {
	h := startWithFewSlots(t)
	idle := h.client()
	idle.mustPing()
	for range 2 * cap(h.proxy.clients.connSlots) {
		h.client().write(partialCommand("half"))
	}
	late := h.client()
	late.send(lookCommand("a")...)
	late.wantLines("-BUSY 500")
	idle.mustPing()
}

// TestEvictedSilentClientFreesItsSlotAtOnce guards against the connection of a client that has sent nothing, and is owed
// nothing, keeping its slot for shutdownTimeout after its eviction.
func TestEvictedSilentClientFreesItsSlotAtOnce(t *testing.T) {
	h := startWithFewSlots(t)
	silent := h.client()
	h.eventually("the connection is accepted", func() bool { return h.proxy.clients.open() == 1 })
	var conn *clientConn
	h.onLoop(func() {
		conn = h.onlyClient()
		h.proxy.clients.limit = 1
		h.proxy.clients.evictDownTo(0, evictForRequest, nil)
	})
	h.eventually("the connection is closed", h.allClientsClosed)
	if conn.lingering {
		t.Error("the connection waited for its client to close it")
	}
	silent.wantLines("")
}

// TestStoppedClientIsEvictableInADrain guards against a client that has stopped within a command keeping its slot from new
// connections, because it could not be closed as an idle one at the begin of a drain.
func TestStoppedClientIsEvictableInADrain(t *testing.T) {
	h := startWithFewSlots(t)
	c := h.client()
	c.write(partialCommand("half"))
	h.eventually("a part of a command is read", func() bool { return h.onlyClient() != nil && h.onlyClient().partialCommand.Load() })
	var conn *clientConn
	h.onLoop(func() {
		conn = h.onlyClient()
		conn.requestClose(draining)
	})
	h.eventually("the connection stays open", func() bool { return !conn.closeRequested })
	h.onLoop(func() {
		h.proxy.clients.inputStallTimeout = 0
		if rank := conn.evictionRank(h.proxy.clock.Now() + 1); rank != rankStopped {
			t.Errorf("the rank of the connection is %v, want %v", rank, rankStopped)
		}
	})
}
