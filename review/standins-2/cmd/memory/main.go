// Command memory is a case of the second review: clients that send a hundred commands at once bring a gateway over its
// limit on memory, for which the platform kills it.
package main

import (
	"errors"
	"fmt"
	"os"
	"standins2/kit"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	memoryMB     = 32
	badClients   = 450
	commands     = 100 // at once
	usualClients = 30
	runFor       = 12 * time.Second
)

func main() { kit.Main(run) }

func run(c *kit.Case) (held bool, err error) {
	_, agent, err := c.Endpoints(12, func(call kit.Call) kit.Answer {
		return kit.Answer{After: 60 * time.Millisecond, Reply: kit.Value(kit.ValueFor(call.ID, call.Endpoint.ID))}
	})
	if err != nil {
		return false, err
	}
	defer agent.Close()
	g, err := c.OneGateway(agent, kit.Options{
		MemoryMB: memoryMB, Sockets: 1024, Classes: kit.Classes, MaxUnits: 6,
		Plans: []kit.Plan{{Name: "mayorista", Rate: 59, Peak: 170, Pays: 1.6}},
	})
	if err != nil {
		return false, err
	}
	peak, anonymous, err := memory(g.Pid)
	if err != nil {
		return false, err
	}
	c.Say("at the start: %d kB resident, %d kB of it anonymous", peak, anonymous)
	end := time.Now().Add(runFor)
	var sent, answered, usualAnswered atomic.Int64
	var clients sync.WaitGroup
	if c.Trouble {
		c.Log("%d clients begin to send %d commands at once each, again and again", badClients, commands)
		for i := range badClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Now().Before(end) && !g.Exited() {
					n, got := burst(g.Addr, 1000+i)
					sent.Add(n)
					answered.Add(got)
				}
			}()
		}
	}
	for i := range usualClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) && !g.Exited() {
				usualAnswered.Add(usual(g.Addr, i))
				time.Sleep(time.Second)
			}
		}()
	}
	over := false
	for time.Now().Before(end) {
		time.Sleep(5 * time.Millisecond)
		now, anonymousNow, err := memory(g.Pid)
		if err != nil {
			return false, err
		}
		if now > peak {
			peak, anonymous = now, anonymousNow
			c.Log("resident at the peak: %d kB, %d kB anonymous now", peak, anonymous)
		}
		if peak > memoryMB<<10 {
			over = true
			c.Say("the platform kills the gateway: %d kB are over memory_mb = %d (%d kB)", peak, memoryMB, memoryMB<<10)
			g.Kill()
			break
		}
	}
	clients.Wait()
	c.Say("sent by bad clients: %d commands, answered: %d; usual requests answered: %d", sent.Load(), answered.Load(), usualAnswered.Load())
	c.Say("peak: %d kB", peak)
	if !over && g.Exited() {
		return false, errors.New("the gateway ended by itself")
	}
	return !over, nil
}

// memory returns the peak of the resident memory of a process, and its anonymous part now, in kB.
func memory(pid int) (peak, anonymous int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		case "RssAnon:":
			anonymous, _ = strconv.Atoi(fields[1])
		}
	}
	return peak, anonymous, nil
}

// burst connects, sends its commands at once, reads what it is sent, and goes.
func burst(addr string, customer int) (sent, answered int64) {
	conn, err := kit.Dial(addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return 0, 0
	}
	defer func() { _ = conn.Conn.Close() }()
	var all []byte
	for range commands {
		r := kit.Request{
			Customer: kit.Customer(customer), ID: kit.NewID(), Class: "save-sim", Plan: "mayorista", D: 3000, Units: 1, Spread: 1,
			Post: true, Body: strings.Repeat("x", 100),
		}
		r.Key = r.ID
		all = append(all, r.Encode()...)
	}
	_ = conn.Conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := conn.Conn.Write(all); err != nil {
		return 0, 0
	}
	for answered < commands {
		if _, err := kit.ReadReply(conn.R); err != nil {
			break
		}
		answered++
	}
	return commands, answered
}

// usual sends one request of a usual client on a connection of its own.
func usual(addr string, customer int) int64 {
	conn, err := kit.Dial(addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Conn.Close() }()
	r := kit.Request{Customer: kit.Customer(customer), ID: kit.NewID(), Class: "quote", Plan: "mayorista", D: 600, Units: 1, Spread: 1}
	_ = conn.Conn.SetDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := conn.Conn.Write(r.Encode()); err != nil {
		return 0
	}
	if _, err := kit.ReadReply(conn.R); err != nil {
		return 0
	}
	return 1
}
