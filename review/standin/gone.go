package main

import (
	"strings"
	"sync"
	"time"
)

// goneSlack is the time after a client's close from which on an attempt for it is a break: 0.1 s, longer by 50 ms as
// every time limit on sockets.
const goneSlack = 150 * time.Millisecond

func init() { cases["gone"] = playGone }

// playGone has clients that send much at once and go, three times. Without the trouble they send 32 commands and go.
func playGone(p *play) int {
	const rounds, clients = 3, 16
	serve := func(call) (time.Duration, int, bool) { return 90 * time.Millisecond, 100, false }
	s, err := p.startSite(4, 128, 1024, serve)
	if err != nil {
		p.say("not started: %v", err)
		return exitNotRun
	}
	defer s.gateway.kill()
	warmUp(p, s)
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	for range rounds {
		var wait sync.WaitGroup
		for n := range clients {
			wait.Go(func() {
				ids, at := p.sendMuchAndGo(s.gateway.addr, n)
				mu.Lock()
				defer mu.Unlock()
				for _, id := range ids {
					closedAt[id] = at
				}
			})
		}
		wait.Wait()
		time.Sleep(4 * time.Second)
	}
	late, worst, total := 0, time.Duration(0), 0
	for _, c := range s.runs.all() {
		at, ok := closedAt[c.id]
		if !ok {
			continue
		}
		total++
		if after := c.at.Sub(at); after > goneSlack {
			late++
			worst = max(worst, after)
			p.line("BROKEN: attempt of %s began %.3f s after its client had closed", c.id, after.Seconds())
		}
	}
	p.say("%d attempts for clients that left; %d of them began more than 0.15 s after the close, the latest %.3f s after it", total, late, worst.Seconds())
	if s.gateway.exited.Load() {
		p.say("BROKEN: the gateway has ended")
		return exitBroken
	}
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}

// sendMuchAndGo writes commands for 30 ms, as many as the connection takes, and closes the connection. It returns the ids
// of the requests and the time after the close.
func (p *play) sendMuchAndGo(addr string, n int) (ids []string, closedAt time.Time) {
	const body, few, most, lasts = 30 << 10, 32, 400, 30 * time.Millisecond
	c, err := dialClient(addr)
	if err != nil {
		p.line("client %d: %v", n, err)
		return nil, time.Now()
	}
	count := few
	if p.trouble {
		count = most
	}
	end := time.Now().Add(lasts)
	_ = c.conn.SetWriteDeadline(end)
	sent := 0
	for i := range count {
		id := newID("aa")
		ids = append(ids, id)
		b := command("CALL.POST", customer(100+n*100+i%100), id, fields("save-sim", 3*time.Second, 1, id), strings.Repeat("b", body))
		k, err := c.conn.Write(b)
		sent += k
		if err != nil {
			break
		}
	}
	time.Sleep(time.Until(end))
	_ = c.conn.Close()
	closedAt = time.Now()
	p.line("client %d closed its connection: %d commands begun, %d bytes sent", n, len(ids), sent)
	return ids, closedAt
}
