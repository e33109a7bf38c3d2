// Command halfcommands is a case of the second review: clients that stop in the middle of a command keep the connections
// of usual clients waiting, unread, until their time is over.
package main

import (
	"errors"
	"os"
	"standins2/kit"
	"sync"
	"time"
)

const (
	badClients   = 200
	usualClients = 30
	badFor       = 10 * time.Second
	usualFor     = 12 * time.Second
	clientTime   = 600 * time.Millisecond // d
	// grace is the half a second after a request's time, and the 50 ms by which every time limit is longer.
	grace = 550 * time.Millisecond
)

func main() { kit.Main(run) }

func run(c *kit.Case) (held bool, err error) {
	var mu sync.Mutex
	sentAt := map[string]time.Time{} // the last send of each request
	lateAttempts := 0
	_, agent, err := c.Endpoints(6, func(call kit.Call) kit.Answer {
		mu.Lock()
		at := sentAt[call.ID]
		mu.Unlock()
		age := call.FirstAt.Sub(at)
		note := ""
		if age > clientTime {
			note = ", after its client's time"
			mu.Lock()
			lateAttempts++
			mu.Unlock()
		}
		c.At(call.FirstAt, "%s begins %s, d=%v, %.3f s after it was sent%s", call.Endpoint.ID, call.ID, call.Left, age.Seconds(), note)
		return kit.Answer{After: 40 * time.Millisecond, Reply: kit.Value(kit.ValueFor(call.ID, call.Endpoint.ID))}
	})
	if err != nil {
		return false, err
	}
	defer agent.Close()
	g, err := c.OneGateway(agent, kit.Options{
		MemoryMB: 64, Sockets: 256, Classes: kit.Classes, MaxUnits: 6,
		Plans: []kit.Plan{{Name: "mayorista", Rate: 59, Peak: 170, Pays: 1.6}},
	})
	if err != nil {
		return false, err
	}
	badEnd := time.Now().Add(badFor)
	var bad sync.WaitGroup
	if c.Trouble {
		c.Log("%d clients begin to send half a command each, and stay until they get their error or close", badClients)
		for i := range badClients {
			bad.Add(1)
			go func() {
				defer bad.Done()
				for time.Now().Before(badEnd) {
					stopWithinCommand(g.Addr, i, badEnd)
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
	lost := 0
	counts := map[string]int{}
	end := time.Now().Add(usualFor)
	var usual sync.WaitGroup
	for i := range usualClients {
		usual.Add(1)
		go func() {
			defer usual.Done()
			time.Sleep(time.Duration(i) * time.Second / usualClients)
			var conn *kit.Client
			for time.Now().Before(end) {
				id := kit.NewID()
				var outcome string
				begun := time.Now()
				conn, outcome = request(c, g.Addr, conn, i, id, func(at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					sentAt[id] = at
				})
				mu.Lock()
				counts[outcome]++
				if outcome == "lost" {
					lost++
				}
				mu.Unlock()
				time.Sleep(time.Until(begun.Add(time.Second)))
			}
		}()
	}
	usual.Wait()
	bad.Wait()
	if g.Exited() {
		return false, errors.New("the gateway ended")
	}
	c.Say("usual requests: %v", counts)
	c.Say("attempts that began after their client's time: %d", lateAttempts)
	if len(counts) == 0 || counts["served"]+counts["refused"] == 0 && c.Trouble && lost == 0 {
		return false, errors.New("no request was answered")
	}
	return lost == 0, nil
}

// stopWithinCommand connects, sends a part of a command and stays until it gets an error or a close.
func stopWithinCommand(addr string, i int, end time.Time) {
	conn, err := kit.Dial(addr)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Conn.Close() }()
	r := kit.Request{
		Customer: kit.Customer(1000 + i), ID: kit.NewID(), Class: "quote", Plan: "mayorista", D: int(clientTime.Milliseconds()),
		Units: 1, Spread: 1,
	}
	command := r.Encode()
	if _, err := conn.Conn.Write(command[:len(command)-20]); err != nil {
		return
	}
	_ = conn.Conn.SetReadDeadline(end.Add(time.Second))
	_, _ = kit.ReadReply(conn.R)
}

// request sends a request of a usual client, and waits for its answer for much longer than its time. Where its connection
// ends without a byte of an answer, it sends the request once more on a new one. What is shut there too has failed; it is
// not lost.
func request(c *kit.Case, addr string, conn *kit.Client, customer int, id string, sent func(time.Time)) (*kit.Client, string) {
	r := kit.Request{
		Customer: kit.Customer(customer), ID: id, Class: "quote", Plan: "mayorista", D: int(clientTime.Milliseconds()), Units: 1, Spread: 1,
	}
	for try := range 2 {
		if conn == nil {
			var err error
			if conn, err = kit.Dial(addr); err != nil {
				c.Log("client %d can't connect: %v", customer, err)
				continue
			}
		}
		at := time.Now()
		sent(at)
		_, err := conn.Conn.Write(r.Encode())
		var reply kit.Reply
		if err == nil {
			c.At(at, "client %d sends %s (%d)", customer, id, try)
			_ = conn.Conn.SetReadDeadline(at.Add(6 * time.Second))
			reply, err = kit.ReadReply(conn.R)
		}
		took := time.Since(at)
		switch {
		case err == nil && took <= clientTime+grace:
			c.Log("%s %s after %.3f s", id, reply.Meaning(), took.Seconds())
			return conn, reply.Meaning()
		case err == nil:
			c.Log("%s LOST: %s only after %.3f s, its time was %v", id, reply.Meaning(), took.Seconds(), clientTime)
			return conn, "lost"
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.Log("%s LOST: no answer in %.3f s", id, took.Seconds())
			_ = conn.Conn.Close()
			return nil, "lost"
		}
		c.Log("%s: the connection ended with no answer after %.3f s: %v", id, took.Seconds(), err)
		_ = conn.Conn.Close()
		conn = nil
	}
	return nil, "shut unread"
}
