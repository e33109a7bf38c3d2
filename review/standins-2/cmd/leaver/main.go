// Command leaver is a case of the second review: a client that sends much at once and closes its connection goes on being
// served, as the end of its connection lies behind input that the gateway does not read.
package main

import (
	"errors"
	"standins2/kit"
	"strings"
	"sync"
	"time"
)

const (
	rounds      = 5
	maxCommands = 2000
	bodySize    = 60_000 // a value holds at most 64 KiB
	// blocked is the time for which nothing more of a command is taken, after which the client goes.
	blocked = 15 * time.Millisecond
	// grace is the 0.1 s after the close, and the 50 ms by which every time limit is longer.
	grace = 150 * time.Millisecond
)

// state is what the endpoints know of the clients.
type state struct {
	mu     sync.Mutex
	heads  map[string]bool   // the first request of each client
	client map[string]int    // the client of each request
	closed map[int]time.Time // when each client had closed its connection
	hung   *kit.Endpoint     // hangs in the middle of its work until the end of the round
	calls  map[string]int    // attempts of each request
	late   []string
}

func main() { kit.Main(run) }

func run(c *kit.Case) (held bool, err error) {
	s := &state{heads: map[string]bool{}, client: map[string]int{}, closed: map[int]time.Time{}, calls: map[string]int{}}
	_, agent, err := c.Endpoints(4, func(call kit.Call) kit.Answer { return s.handle(c, call) })
	if err != nil {
		return false, err
	}
	defer agent.Close()
	g, err := c.OneGateway(agent, kit.Options{
		MemoryMB: 192, Sockets: 1024, Classes: kit.Classes, MaxUnits: 6,
		Plans: []kit.Plan{{Name: "mayorista", Rate: 59, Peak: 170, Pays: 1.6}},
	})
	if err != nil {
		return false, err
	}
	for round := range rounds {
		if err := s.visit(c, g.Addr, round); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second) // all of the client's time is over then
	}
	if g.Exited() {
		return false, errors.New("the gateway ended")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Say("%d requests got attempts, %d attempts began more than %v after the close", len(s.calls), len(s.late), grace)
	if len(s.calls) == 0 {
		return false, errors.New("no request got an attempt")
	}
	return len(s.late) == 0, nil
}

// visit sends commands until the gateway's machine takes no more, and closes the connection. Without the trouble it
// stays and reads its answers.
func (s *state) visit(c *kit.Case, addr string, round int) error {
	conn, err := kit.Dial(addr)
	if err != nil {
		return err
	}
	body, sent := strings.Repeat("x", bodySize), 0
	for sent < maxCommands {
		r := kit.Request{
			Customer: kit.Customer(round), ID: kit.NewID(), Class: "save-sim", Plan: "mayorista", D: 3000, Units: 1, Spread: 1,
			Post: true, Body: body,
		}
		r.Key = r.ID
		s.mu.Lock()
		s.client[r.ID] = round
		if sent == 0 {
			s.hung = nil
			s.heads[r.ID] = c.Trouble
		}
		s.mu.Unlock()
		_ = conn.Conn.SetWriteDeadline(time.Now().Add(blocked))
		if _, err := conn.Conn.Write(r.Encode()); err != nil {
			break
		}
		sent++
	}
	c.Log("client %d has sent %d commands", round, sent)
	if !c.Trouble {
		answered := 0
		_ = conn.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		for answered < sent {
			if _, err := kit.ReadReply(conn.R); err != nil {
				break
			}
			answered++
		}
		c.Log("client %d read %d answers", round, answered)
		return conn.Conn.Close()
	}
	err = conn.Conn.Close()
	s.mu.Lock()
	s.closed[round] = time.Now()
	s.mu.Unlock()
	c.Log("client %d closes its connection", round)
	return err
}

// handle answers as a sound endpoint after 70 ms, but for the endpoint that hangs.
func (s *state) handle(c *kit.Case, call kit.Call) kit.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heads[call.ID] && s.calls[call.ID] == 0 {
		s.hung = call.Endpoint
		c.Log("%s hangs from here on", call.Endpoint.ID)
	}
	number := s.calls[call.ID]
	s.calls[call.ID]++
	note := ""
	if at, gone := s.closed[s.client[call.ID]]; gone && c.Trouble {
		after := call.FirstAt.Sub(at)
		if after > grace {
			note = " BREAK"
			s.late = append(s.late, call.ID)
		}
		c.At(call.FirstAt, "%s begins attempt %d of %s, %.3f s after the close%s", call.Endpoint.ID, number, call.ID, after.Seconds(), note)
	} else {
		c.At(call.FirstAt, "%s begins attempt %d of %s", call.Endpoint.ID, number, call.ID)
	}
	if call.Endpoint == s.hung {
		return kit.Answer{}
	}
	return kit.Answer{After: 70 * time.Millisecond, Reply: kit.Value(kit.ValueFor(call.ID, call.Endpoint.ID))}
}
