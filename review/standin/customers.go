package main

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["customers"] = playCustomers }

// playCustomers has clients that send hundreds of commands at once, each for a customer that comes only once, and the same
// again once they are answered. The platform kills the gateway when its memory is over the limit.
func playCustomers(p *play) int {
	const (
		memoryMB   = 64
		badClients = 100
		atOnce     = 300
		lasts      = 20 * time.Second
		deadline   = 600 * time.Millisecond
	)
	serve := func(call) (time.Duration, int, bool) { return 30 * time.Millisecond, 100, false }
	s, err := p.startSite(4, memoryMB, 1024, serve)
	if err != nil {
		p.say("not started: %v", err)
		return exitNotRun
	}
	defer s.gateway.kill()
	warmUp(p, s)
	begun := time.Now()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	peak, killed := 0.0, false
	wait.Go(func() { peak, killed = p.limitMemory(s.gateway, memoryMB, stop) })
	var answered atomic.Int64
	running := func() bool { return time.Since(begun) < lasts && !s.gateway.exited.Load() }
	var clients sync.WaitGroup
	if p.trouble {
		for range badClients {
			clients.Go(func() {
				for running() {
					answered.Add(int64(p.sendHundreds(s.gateway.addr, atOnce, running)))
				}
			})
		}
	}
	var mu sync.Mutex
	kinds := map[string]int{}
	for n := 0; running(); n++ {
		clients.Go(func() {
			kind := p.askOnce(s.gateway.addr, n%100, deadline)
			mu.Lock()
			defer mu.Unlock()
			kinds[kind]++
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	close(stop)
	wait.Wait()
	p.say("%d answers to the clients that send hundreds of commands; requests of usual clients: %v", answered.Load(), kinds)
	p.say("most memory %.1f MB of %d MB", peak, memoryMB)
	switch {
	case killed:
		p.say("BROKEN: the gateway was killed for memory, %.1f s after the start of the load", time.Since(begun).Seconds())
		return exitBroken
	case s.gateway.exited.Load():
		p.say("BROKEN: the gateway has ended")
		return exitBroken
	}
	return exitHeld
}

// limitMemory does what the platform does: it kills a gateway whose memory is over its limit. It counts the anonymous
// memory of the process alone, which is less than what the platform counts.
func (p *play) limitMemory(g *gateway, limitMB float64, stop chan struct{}) (peak float64, killed bool) {
	for {
		select {
		case <-stop:
			return peak, false
		case <-g.ended:
			return peak, false
		case <-time.After(20 * time.Millisecond):
		}
		used := g.anonymousMB()
		if used > peak+1 {
			p.line("memory of the gateway: %.1f MB", used)
			peak = used
		}
		if used > limitMB {
			p.line("over the limit: SIGKILL")
			_ = g.cmd.Process.Signal(syscall.SIGKILL)
			<-g.ended
			return peak, true
		}
	}
}

var customerCount atomic.Int64

// sendHundreds connects, sends commands until running reports false, many at once, and reads the answers of each lot
// before it sends the next. It returns the number of answers.
func (p *play) sendHundreds(addr string, atOnce int, running func() bool) (answers int) {
	c, err := dialClient(addr)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return 0
	}
	defer c.conn.Close()
	for running() {
		var b []byte
		for range atOnce {
			name := customer(1<<20 + int(customerCount.Add(1)))
			b = append(b, command("CALL.GET", name, newID("bb"), fields("quote", 600*time.Millisecond, 1, ""))...)
		}
		go func() { _, _ = c.conn.Write(b) }()
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		for range atOnce {
			if _, err := c.readAnswer(); err != nil {
				return answers
			}
			answers++
		}
	}
	return answers
}
