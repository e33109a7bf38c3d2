package proxy

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"reedlead/internal/eventloop"
	"reedlead/internal/readbuf"
	"reedlead/policy"
)

var (
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the first run of TestSoundClientsAreServedWhileMemoryIsShort")
	soakRuns     = flag.Int("soak.runs", 1, "number of its runs, each with the next seed")
	soakDuration = flag.Duration("soak.duration", 1500*time.Millisecond, "duration of each run")
)

// The load of TestSoundClientsAreServedWhileMemoryIsShort. Memory is short for most of the time.
const (
	soakInputBudget    = 600_000 // bytes
	soakReplyBudget    = 200_000 // bytes
	soakSoundClients   = 8
	soakStoppedClients = 6
	soakUnreadClients  = 3
	soakMaxPipeline    = 8      // commands that a sound client sends at once
	soakMaxBody        = 64_000 // bytes
	soakMaxDelay       = 20 * time.Millisecond
)

// memorySoak is a run of TestSoundClientsAreServedWhileMemoryIsShort.
type memorySoak struct {
	*harness
	seed    uint64
	end     time.Time
	clients sync.WaitGroup
}

// TestSoundClientsAreServedWhileMemoryIsShort plays clients that stop within commands, or do not read their replies, beside
// sound ones whose commands and values may be long. Each command of a sound client must get a reply in its place, and all
// memory must be released at the end.
func TestSoundClientsAreServedWhileMemoryIsShort(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakRuns); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playMemorySoak(t, seed) })
	}
}

func playMemorySoak(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0)) // used on the event loop only
	h := startProxy(t, testConfig(unreachableAddress), func(h *harness) {
		h.proxy.inputBudget = readbuf.NewBudget(soakInputBudget, soakInputBudget/2)
		h.proxy.replyBudget = readbuf.NewBudget(soakReplyBudget, 0)
		h.decider.requests = make(chan policy.Request, 1<<20)
		h.decider.disconnected = make(chan string, 1<<20)
		h.decider.onRequest = func(r policy.Request) { h.replyLater(random, r.ID) }
	})
	s := &memorySoak{harness: h, seed: seed, end: time.Now().Add(*soakDuration)}
	s.start(soakSoundClients, "sound", s.playSoundClient)
	s.start(soakStoppedClients, "stopped", s.playStoppedClient)
	s.start(soakUnreadClients, "unread", s.playUnreadClient)
	s.clients.Wait()
	h.eventually("all memory is released", func() bool {
		return h.proxy.inputBudget.Available() == soakInputBudget && h.proxy.replyBudget.Available() == soakReplyBudget
	})
}

// replyLater replies to a request with a value that starts with its ID, after a random delay. Event loop only.
func (h *harness) replyLater(random *rand.Rand, id string) {
	value := id + strings.Repeat("v", random.IntN(soakMaxBody))
	reply := fmt.Appendf(nil, "$%d\r\n%s\r\n", len(value), value)
	delay := policy.Seconds(random.Float64()) * soakMaxDelay.Seconds()
	h.proxy.loop.After(delay, func() {
		if r := h.proxy.requests.byID[id]; r != nil {
			h.proxy.requests.reply(r, reply, noReason)
		}
	})
}

// start starts n clients that play until the end of the run. Each gets random numbers of its own.
func (s *memorySoak) start(n int, kind string, play func(random *rand.Rand, name string)) {
	for i := range n {
		random := rand.New(rand.NewPCG(s.seed, uint64(len(kind)<<8+i+1)))
		s.clients.Go(func() {
			for round := 0; time.Now().Before(s.end); round++ {
				play(random, fmt.Sprintf("%s-%d-%d", kind, i, round))
			}
		})
	}
}

// dial returns a new connection of a client, or nil if it fails.
func (s *memorySoak) dial() *testConn {
	conn, err := s.proxy.calls.Dial(s.proxy.listener.Addr().String(), testTimeout)
	if err != nil {
		s.t.Errorf("seed %d: %v", s.seed, err)
		return nil
	}
	return newTestConn(s.t, conn)
}

// playSoundClient sends commands at once, in parts, and reads the replies.
func (s *memorySoak) playSoundClient(random *rand.Rand, name string) {
	c := s.dial()
	if c == nil {
		return
	}
	defer func() { _ = c.Close() }() // an error shows in the replies
	var ids []string
	var commands bytes.Buffer
	for i := range 1 + random.IntN(soakMaxPipeline) {
		id := fmt.Sprintf("%s-%d", name, i)
		ids = append(ids, id)
		commands.WriteString(longCommand(id, random.IntN(soakMaxBody)))
	}
	pauseAfter, pause := random.IntN(commands.Len()), time.Duration(random.Int64N(int64(soakMaxDelay)))
	go func() { // an error shows in the replies
		_, _ = c.Write(commands.Next(pauseAfter))
		time.Sleep(pause)
		_, _ = c.Write(commands.Bytes())
	}()
	for _, id := range ids {
		if got := c.readReplyTo(id); got != "" {
			s.t.Errorf("seed %d: the reply to %s is %.60q", s.seed, id, got)
			return
		}
	}
}

// readReplyTo reads a reply. It returns "" if the reply is right for the request with the given ID: the value for it, a
// rejection or a failure. Otherwise, it returns the start of the reply.
func (c *testConn) readReplyTo(id string) string {
	line := c.readLine()
	if line == "-BUSY 1000" || line == "-ERR failed" {
		return ""
	}
	var size int
	if n, _ := fmt.Sscanf(line, "$%d", &size); n != 1 {
		return line
	}
	value := make([]byte, size+len("\r\n"))
	if _, err := io.ReadFull(c.reader, value); err != nil || !bytes.HasPrefix(value, []byte(id)) {
		return line + string(value)
	}
	return ""
}

// playStoppedClient sends a part of a command, stays for a while and closes the connection, or sends the rest.
func (s *memorySoak) playStoppedClient(random *rand.Rand, name string) {
	c := s.dial()
	if c == nil {
		return
	}
	defer func() { _ = c.Close() }() // the gateway may have closed it
	command := longCommand(name, soakMaxBody)
	sent := random.IntN(len(command))
	_, _ = io.WriteString(c.Conn, command[:sent]) // the gateway may have closed the connection
	time.Sleep(eventloop.Duration(2 * inputStallTimeout * random.Float64()))
	if random.IntN(2) == 0 {
		_, _ = io.WriteString(c.Conn, command[sent:])
		if got := c.readReplyTo(name); got != "" {
			s.t.Errorf("seed %d: the reply to %s is %.60q", s.seed, name, got)
		}
	}
}

// playUnreadClient sends requests and closes the connection without reading.
func (s *memorySoak) playUnreadClient(random *rand.Rand, name string) {
	c := s.dial()
	if c == nil {
		return
	}
	defer func() { _ = c.Close() }() // the gateway may have closed it
	for i := range maxPipelined {
		_, _ = io.WriteString(c.Conn, longCommand(fmt.Sprintf("%s-%d", name, i), 100)) // as above
	}
	time.Sleep(time.Duration(random.Int64N(int64(10 * soakMaxDelay))))
}
