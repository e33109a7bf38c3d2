// Command ceiling is a case of the second review: a customer under a ceiling gets the limits of another one, of another
// plan, whose name the gateways can't tell from its own.
package main

import (
	"errors"
	"fmt"
	"standins2/kit"
	"strconv"
	"sync"
	"time"
)

// The figures of the plan estandar, as in the example of the settings (WIRE).
const (
	rate, peak, hardRate, capDepth, slack = 11.0, 31.0, 25.0, 68.0, 7.0
	// slackTime is the time by which PROTOCOL widens the slack: what the ceiling's rate gives in 150 ms.
	slackTime = 0.15
	gateways  = 3
	runFor    = 14 * time.Second
	// excess is what the customer asks for, in quotas: the brief has up to 4.5.
	excess = 4.4
)

// Two customers: 16 hex digits, a number below 2^33. In the gateways both have the same key of 32 bits.
const (
	first       = "0000000032bfea58" // of mayorista, which has no ceiling
	second      = "0000000099034ef4" // of estandar
	unlikeFirst = "0000000099034ef5" // in place of the second where TROUBLE=0
)

// store is the second store of a customer: all ingresses together may not bring it below minus the slack.
type store struct {
	level, lowest, total float64
	at                   time.Time
}

func (s *store) take(units float64, at time.Time) {
	if !s.at.IsZero() && at.After(s.at) {
		s.level = min(capDepth, s.level+hardRate*at.Sub(s.at).Seconds())
	}
	if s.at.IsZero() || at.After(s.at) {
		s.at = at
	}
	s.level -= units
	s.total += units
	s.lowest = min(s.lowest, s.level)
}

func main() { kit.Main(run) }

func run(c *kit.Case) (held bool, err error) {
	limited := second
	if !c.Trouble {
		limited = unlikeFirst
	}
	var mu sync.Mutex
	s := store{level: capDepth, lowest: capDepth}
	seen := map[string]bool{}
	_, agent, err := c.Endpoints(6, func(call kit.Call) kit.Answer {
		mu.Lock()
		if !seen[call.ID] && call.Customer == limited {
			seen[call.ID] = true
			units, _ := strconv.Atoi(call.Fields["units"])
			s.take(float64(units), call.LastAt)
			c.At(call.LastAt, "%s: first attempt of %s, %d units, store %.1f", call.Endpoint.ID, call.ID, units, s.level)
		}
		mu.Unlock()
		return kit.Answer{After: 30 * time.Millisecond, Reply: kit.Value(kit.ValueFor(call.ID, call.Endpoint.ID))}
	})
	if err != nil {
		return false, err
	}
	defer agent.Close()
	fleet, err := start(c, agent)
	if err != nil {
		return false, err
	}
	end := time.Now().Add(runFor)
	var clients sync.WaitGroup
	counts := map[string]int{}
	ask := func(customer, plan string, gateway, units int, every time.Duration) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			conn, err := kit.Dial(fleet[gateway].Addr)
			if err != nil {
				return
			}
			defer func() { _ = conn.Conn.Close() }()
			for next := time.Now(); next.Before(end); next = next.Add(every) {
				time.Sleep(time.Until(next))
				r := kit.Request{
					Customer: customer, ID: kit.NewID(), Class: "quote", Plan: plan, D: 600, Units: units, Spread: gateways,
				}
				_ = conn.Conn.SetDeadline(time.Now().Add(3 * time.Second))
				if _, err := conn.Conn.Write(r.Encode()); err != nil {
					return
				}
				reply, err := kit.ReadReply(conn.R)
				if err != nil {
					return
				}
				c.Log("%s %s of %s at %s: %s", plan, r.ID, customer, fleet[gateway].Name, reply.Meaning())
				mu.Lock()
				counts[plan+" "+reply.Meaning()]++
				mu.Unlock()
			}
		}()
	}
	for i := range fleet { // the first customer stays well under its quota
		ask(first, "mayorista", i, 1, 300*time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	const perGateway, units = 4, 2                               // connections
	perSecond := excess * rate / (gateways * perGateway * units) // requests on each connection
	every := time.Duration(float64(time.Second) / perSecond)
	for i := range fleet {
		for range perGateway {
			time.Sleep(every / (gateways * perGateway))
			ask(limited, "estandar", i, units, every)
		}
	}
	clients.Wait()
	for _, g := range fleet {
		if g.Exited() {
			return false, errors.New("a gateway ended")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	c.Say("answers: %v", counts)
	allowed := -(slack + hardRate*slackTime)
	c.Say("%.0f units of the customer of estandar were sent on in %v; its second store fell to %.1f, %.1f is allowed",
		s.total, runFor, s.lowest, allowed)
	if s.total == 0 {
		return false, errors.New("nothing was sent on")
	}
	return s.lowest >= allowed, nil
}

// start starts the gateways of the fleet.
func start(c *kit.Case, agent *kit.Agent) ([]*kit.Gateway, error) {
	o := kit.Options{
		Gateways: gateways, MemoryMB: 128, Sockets: 1024, Classes: kit.Classes, MaxUnits: 6,
		Plans: []kit.Plan{
			{Name: "inicial", Rate: 2, Peak: 9, Pays: 0.8},
			{Name: "estandar", Rate: rate, Peak: peak, Pays: 1.1, HardRate: hardRate, Cap: capDepth, Slack: slack},
			{Name: "mayorista", Rate: 50, Peak: 119, Pays: 1.6},
		},
	}
	var peers []string
	for range gateways {
		peers = append(peers, kit.FreeUDP())
	}
	var fleet []*kit.Gateway
	for i := range gateways {
		seed := fmt.Sprintf("%x", time.Now().UnixNano()+int64(i))
		g, err := c.NewGateway(fmt.Sprint("n", i), kit.FreeTCP(), agent.Addr, seed, o, i, peers, agent.Known())
		if err != nil {
			return nil, err
		}
		if err := g.Start(); err != nil {
			return nil, err
		}
		fleet = append(fleet, g)
	}
	return fleet, nil
}
