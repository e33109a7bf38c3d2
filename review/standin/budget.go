package main

import (
	"errors"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["budget"] = playBudget }

// playBudget has clients that stop in the middle of a request and stay, while usual clients send five commands at once,
// one of them long.
func playBudget(p *play) int {
	const (
		bad      = 200
		badBytes = 60 << 10
		usual    = 10
	)
	serve := func(call) (time.Duration, int, bool) { return 70 * time.Millisecond, 100, false }
	s, err := p.startSite(4, 64, 512, serve)
	if err != nil {
		p.say("not started: %v", err)
		return exitNotRun
	}
	defer s.gateway.kill()
	warmUp(p, s)
	var wait sync.WaitGroup
	if p.trouble {
		for range bad {
			wait.Go(func() { p.stopWithin(s.gateway.addr, badBytes) })
		}
	}
	time.Sleep(500 * time.Millisecond)
	lost := 0
	for n := range usual {
		lost += p.askMany(s.gateway.addr, n)
	}
	wait.Wait()
	if s.gateway.exited.Load() {
		p.say("BROKEN: the gateway has ended")
		return exitBroken
	}
	p.say("%d of %d requests were taken and lost", lost, usual*5)
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}

// stopWithin sends a part of a command and stays for 3 s.
func (p *play) stopWithin(addr string, size int) {
	begun := time.Now()
	c, err := dialClient(addr)
	if err != nil {
		p.line("bad client: %v", err)
		return
	}
	defer c.conn.Close()
	id := newID("bb")
	b := command("CALL.POST", customer(5), id, fields("save-sim", 3*time.Second, 1, id), strings.Repeat("b", 64<<10))
	_, _ = c.conn.Write(b[:size])
	_ = c.conn.SetReadDeadline(begun.Add(3 * time.Second))
	a, err := c.readAnswer()
	p.line("bad client: %s %v after %.3f s", a.text, err, time.Since(begun).Seconds())
	time.Sleep(time.Until(begun.Add(3 * time.Second)))
}

// askMany sends five commands at once, the third with a long body, and reads the answers. It returns how many commands
// had no answer when the gateway ended the connection.
func (p *play) askMany(addr string, n int) (lost int) {
	const long = 61000
	c, err := dialClient(addr)
	if err != nil {
		p.line("usual client: %v", err)
		return 0
	}
	defer c.conn.Close()
	var b []byte
	var ids []string
	for _, size := range []int{100, 100, long, 100, 100} {
		id := newID("aa")
		ids = append(ids, id)
		b = append(b, command("CALL.POST", customer(100+n), id, fields("save-sim", 3*time.Second, 1, id), strings.Repeat("b", size))...)
	}
	if _, err := c.conn.Write(b); err != nil {
		p.line("usual client %d: not written: %v", n, err)
		return 0
	}
	written := time.Now()
	p.line("usual client %d: the last bytes of %v are written", n, ids)
	_ = c.conn.SetReadDeadline(written.Add(3*time.Second + answerSlack))
	for i, id := range ids {
		a, err := c.readAnswer()
		took := time.Since(written).Seconds()
		switch {
		case err == nil:
			p.line("usual client %d: request %s: %s %s after %.3f s", n, id, a.kind(), a.text, took)
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.line("BROKEN: usual client %d: no answer for %v after %.3f s", n, ids[i:], took)
			return len(ids) - i
		case i == 0:
			p.line("usual client %d: the gateway ended the connection before it sent anything, after %.3f s: %v", n, took, err)
			return 0
		default:
			p.line("BROKEN: usual client %d: the gateway ended the connection after %.3f s (%v) with no answer for %v", n, took, err, ids[i:])
			return len(ids) - i
		}
	}
	return 0
}
