package proxy

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/internal/readbuf"
)

const longBody = 60_000 // bytes of a body; a value holds at most 64 KiB

// fillSockets sends long requests, of which none is replied to, until the proxy takes no more for some time. It returns
// how many were sent whole.
func fillSockets(t *testing.T, c *testConn) (sent int) {
	t.Helper()
	const blocked = 200 * time.Millisecond
	const maxRequests = 1000
	body := strings.Repeat("x", longBody)
	for ; sent < maxRequests; sent++ {
		if err := c.SetWriteDeadline(time.Now().Add(blocked)); err != nil {
			t.Fatal(err)
		}
		_, err := c.Write([]byte(encodeCommand(holdCommand(fmt.Sprintf("r%03d", sent), body)...)))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return sent
}

// TestDisconnectIsDetectedBehindMoreThanIsReadAhead guards against attempts for a client that has disconnected, with its
// FIN behind more input than the reader has room for.
func TestDisconnectIsDetectedBehindMoreThanIsReadAhead(t *testing.T) {
	for name, budget := range map[string]int64{"much memory": 32 << 20, "little memory": 4 << 20} {
		t.Run(name, func(t *testing.T) {
			h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
				h.proxy.inputBudget = readbuf.NewBudget(budget, budget/2)
			})
			c := h.client()
			sent := make(chan int)
			go func() {
				n := fillSockets(t, c)
				c.mustClose()
				sent <- n
			}()
			for range maxPipelined {
				receive(t, h.decider.requests)
			}
			if n := receive(t, sent); n <= maxPipelined {
				t.Fatalf("%d requests were sent, want more", n)
			}
			for range maxPipelined {
				receive(t, h.decider.disconnected)
			}
			h.eventually("all memory is released", func() bool {
				return h.proxy.clients.open() == 0 && h.proxy.inputBudget.Available() == budget &&
					h.proxy.replyBudget.Available() == h.proxy.replyBudget.Share(1)
			})
		})
	}
}

// TestRefusedCommandsKeepTheirPlace checks that each command of a client that sends more than fits into memory gets its
// reply, in the order of the commands: those that were refused a rejection or their error, behind those that are open.
func TestRefusedCommandsKeepTheirPlace(t *testing.T) {
	const refused = 30
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(4<<20, 2<<20)
	})
	c := h.client()
	body := strings.Repeat("x", longBody)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for i := range maxPipelined + refused {
			c.send(holdCommand(fmt.Sprintf("r%03d", i), body)...)
		}
		c.send("NOVEL", body)
		c.send(holdCommand("long", strings.Repeat(body, 40))...) // ends the connection
	}()
	for range maxPipelined {
		receive(t, h.decider.requests)
	}
	receive(t, written)
	h.eventually("all commands have their place", func() bool {
		return len(h.onlyClient().pipeline.slots) == maxPipelined+refused+2
	})
	for i := range maxPipelined {
		h.onLoop(func() { h.proxy.Fail(fmt.Sprintf("r%03d", i), "") })
		c.wantLines("-ERR failed")
	}
	for range refused {
		c.wantLines("-BUSY 1000")
	}
	c.wantLines(`-ERR unknown command "NOVEL"`, "-ERR Protocol error: value over 64 KiB", "")
}

// TestRefusalWithoutMemoryEndsTheConnection guards against a crash when a long command is refused, and there is no memory
// for another reply. The connection ends behind the replies that are owed.
func TestRefusalWithoutMemoryEndsTheConnection(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		const budget = maxPipelined * 2 * openRequestMemory // long commands find no room
		h.proxy.inputBudget = readbuf.NewBudget(budget, budget)
		h.proxy.replyBudget = readbuf.NewBudget(0, 0)
	})
	c := h.client()
	long := encodeCommand(holdCommand("long", strings.Repeat("x", longBody))...)
	var short strings.Builder
	for i := range maxPipelined {
		short.WriteString(encodeCommand(lookCommand(fmt.Sprintf("r%03d", i))...))
	}
	c.write(short.String() + long + long)
	for range maxPipelined {
		receive(t, h.decider.requests)
	}
	h.eventually("the input is rejected", func() bool { return len(h.onlyClient().pipeline.slots) == maxPipelined+1 })
	for i := range maxPipelined {
		h.onLoop(func() { h.proxy.Fail(fmt.Sprintf("r%03d", i), "") })
		c.wantLines("-ERR failed")
	}
	c.wantLines("-ERR too many commands at once", "")
}

// TestDisconnectIsDetectedBehindRejectedInput guards against attempts for a client that has disconnected, with its FIN
// behind malformed input of which the reader has stopped to read.
func TestDisconnectIsDetectedBehindRejectedInput(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c := h.client()
	h.openRequest(c, "a")
	c.write("malformed\r\n" + strings.Repeat("x", 16*maxDiscardedBytes))
	h.eventually("the input is rejected", func() bool { return h.onlyClient() == nil || h.onlyClient().inputDiscarded })
	c.mustClose()
	if id := receive(t, h.decider.disconnected); id != "a" {
		t.Errorf("got the disconnect of the client of request %q, want a", id)
	}
}

// TestReplyRevealsHiddenDisconnect checks what readers rely on: a client that has closed its connection, with its FIN
// behind unread input, resets the connection at the next bytes that are written to it.
func TestReplyRevealsHiddenDisconnect(t *testing.T) {
	addr, conns := listenEndpoint(t)
	local := mustDial(t, addr)
	t.Cleanup(func() { _ = local.Close() })
	raw := rawConnOf(t, local)
	peer := receive(t, conns)
	fillSockets(t, peer)
	peer.mustClose()
	if netcalls.ClosedByPeer(raw) {
		t.Fatal("the FIN is not behind unread input")
	}
	if _, err := local.Write([]byte("-BUSY\r\n")); err != nil {
		t.Fatal(err)
	}
	if !waitFor(func() bool { return netcalls.ClosedByPeer(raw) }) {
		t.Error("the connection is not reset")
	}
}

// TestReaderPanicEndsItsConnectionAlone guards against a process that ends with all connections when one reader panics.
func TestReaderPanicEndsItsConnectionAlone(t *testing.T) {
	h := startProxy(t, testConfig(unreachableAddress), nil)
	c, conn := h.pingedClient()
	func() {
		defer conn.reader.recoverPanic()
		panic("for a test")
	}()
	c.wantLines("")
	other := h.client()
	other.mustPing()
}
