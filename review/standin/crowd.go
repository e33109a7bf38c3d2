package main

import (
	"errors"
	"os"
	"sync"
	"time"
)

// A usual client waits for its answer until its time is up and half a second more; every time limit on sockets is
// longer by 50 ms.
const answerSlack = 550 * time.Millisecond

func init() { cases["crowd"] = playCrowd }

// playCrowd has clients that connect by hundreds and say nothing, while usual clients open connections and send a
// request on each.
func playCrowd(p *play) int {
	const (
		silentMost  = 400
		silentEvery = time.Millisecond
		silentStay  = 3 * time.Second
		waveEvery   = 4 * time.Second
		usualEvery  = 100 * time.Millisecond
		lasts       = 8 * time.Second
		deadline    = 600 * time.Millisecond
	)
	serve := func(call) (time.Duration, int, bool) { return 40 * time.Millisecond, 100, false }
	s, err := p.startSite(4, 64, 256, serve)
	if err != nil {
		p.say("not started: %v", err)
		return exitNotRun
	}
	defer s.gateway.kill()
	warmUp(p, s)
	begun := time.Now()
	var wait sync.WaitGroup
	silent := 0
	if p.trouble {
		wait.Go(func() {
			for wave := begun; wave.Before(begun.Add(lasts)); wave = wave.Add(waveEvery) {
				for i := range silentMost {
					time.Sleep(time.Until(wave.Add(time.Duration(i) * silentEvery)))
					silent++
					wait.Go(func() { p.staySilent(s.gateway.addr, silentStay) })
				}
			}
		})
	}
	var mu sync.Mutex
	kinds, lost := map[string]int{}, 0
	for n := 0; time.Since(begun) < lasts; n++ {
		wait.Go(func() {
			kind := p.askOnce(s.gateway.addr, n, deadline)
			mu.Lock()
			defer mu.Unlock()
			kinds[kind]++
			if kind == "no answer in time" {
				lost++
			}
		})
		time.Sleep(usualEvery)
	}
	wait.Wait()
	p.say("%d silent clients; requests of usual clients: %v", silent, kinds)
	if s.gateway.exited.Load() {
		p.say("BROKEN: the gateway has ended")
		return exitBroken
	}
	if lost > 0 {
		p.say("BROKEN: %d requests had no final answer half a second after their time", lost)
		return exitBroken
	}
	return exitHeld
}

// staySilent connects, sends nothing, and closes after a while.
func (p *play) staySilent(addr string, stay time.Duration) {
	begun := time.Now()
	c, err := dialClient(addr)
	if err != nil {
		p.line("silent client: %v", err)
		return
	}
	time.Sleep(time.Until(begun.Add(stay)))
	_ = c.conn.Close()
}

// askOnce sends one request on a new connection and waits for the answer until the request is lost. It returns what came.
func (p *play) askOnce(addr string, n int, deadline time.Duration) string {
	c, err := dialClient(addr)
	if err != nil {
		p.line("usual client: %v", err)
		return "not connected"
	}
	defer c.conn.Close()
	id := newID("aa")
	if _, err := c.conn.Write(command("CALL.GET", customer(100+n), id, fields("quote", deadline, 1, ""))); err != nil {
		return "not written"
	}
	written := time.Now()
	p.line("request %s: its last byte is written", id)
	_ = c.conn.SetReadDeadline(written.Add(deadline + answerSlack))
	a, err := c.readAnswer()
	took := time.Since(written).Seconds()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.line("BROKEN: request %s has no answer %.3f s after its last byte", id, took)
		return "no answer in time"
	case err != nil:
		p.line("request %s: the gateway ended the connection after %.3f s: %v", id, took, err)
		return "connection ended"
	}
	p.line("request %s: %s %s after %.3f s", id, a.kind(), a.text, took)
	return a.kind()
}
