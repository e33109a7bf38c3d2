package main

import (
	"fmt"
	"sync"
	"time"
)

// settings returns the settings of a small deployment: one gateway, the classes and plans of the example in
// WIRE-reedlead.md with figures in its ranges.
func settings(classes []map[string]any) map[string]any {
	return map[string]any{
		"balancers": 1, "me": 0, "myZone": "floor-1", "discovery": "pushed", "family": "gate",
		"failureDomains": []string{"floor-1"}, "kinds": []string{"c2-full"}, "stages": []string{"calc-fleet"},
		"clientHabits": map[string]any{"marksRetry": false},
		"familyInfo":   map[string]any{"maxUnits": 3, "peerIntake": 40.0, "truedUp": false},
		"feedback":     map[string]any{"how": "none", "fields": []string{}},
		"limits": map[string]any{
			"cancel": true, "connIdleS": 30.0, "dialTimeoutS": 0.25, "maxAttempts": 4, "maxRetryAfterS": 1.0,
			"mostHeld": 20000, "multiplex": 32, "parallelTries": true, "peerMessages": false, "probes": false,
			"retryAfter": true,
		},
		"profiles": classes,
		"packages": []map[string]any{
			{"name": "mayorista", "unitsPerS": 50.0, "peakUnits": 119.0, "pays": 1.6, "excessCost": 0.8},
		},
		"rules": map[string]any{
			"answerSlackS": 0.008, "askWithinS": 10.0, "coldFrom": 0.15, "coldS": 14.0, "fallMultiple": 2.5,
			"fallS": 1.0, "stopSendingWithinS": 0.25,
		},
		"tier": 0, "tickS": 0.002, "weights": "none",
	}
}

// cuotaClasses returns the classes of the example in WIRE-reedlead.md.
func cuotaClasses() []map[string]any {
	return []map[string]any{
		{"name": "quote", "aimS": 0.25, "deadlineS": 0.6, "effect": "retryable", "keyScope": "all", "keyTtlS": 5.0, "lateWorth": 0.0, "worth": 1.0},
		{"name": "save-sim", "aimS": 0.75, "deadlineS": 3.0, "effect": "dedup", "keyScope": "cell", "keyTtlS": 3.0, "lateWorth": 0.2, "worth": 5.0},
		{"name": "preapproval", "aimS": 0.8, "deadlineS": 2.0, "effect": "fragile", "keyScope": "all", "keyTtlS": 5.0, "lateWorth": 0.0, "worth": 5.0},
	}
}

// runs keeps the commands that reached the backends.
type runs struct {
	mu    sync.Mutex
	calls []call
}

func (r *runs) add(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *runs) all() []call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]call(nil), r.calls...)
}

// site is a started deployment: a gateway, its backends and its discovery.
type site struct {
	gateway *gateway
	runs    *runs
}

// startSite starts backends, the discovery agent and one gateway.
func (p *play) startSite(backends, memoryMB, sockets int, serve func(call) (time.Duration, int, bool)) (*site, error) {
	s := &site{runs: &runs{}}
	known := list{Version: 1, Full: true}
	for i := range backends {
		name := fmt.Sprintf("s%d", i)
		b, err := startBackend(name, p.record, serve, func(c call) {
			s.runs.add(c)
			p.line("run %s at %s: %s %s, %d bytes in the body", c.id, c.backend, c.words[0], c.words[3], len(c.words[len(c.words)-1]))
		})
		if err != nil {
			return nil, err
		}
		known.Servers = append(known.Servers, target{
			ID: name, Addr: b.addr, Zone: "floor-1", Kind: "c2-full", Cell: 0, State: "in_service", Weight: 1,
		})
	}
	a, err := startAgent(known)
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": "n0", "listen": freeAddr(), "discovery": a.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":  known, "settings": settings(cuotaClasses()),
	}
	s.gateway, err = startGateway(p.caseDir, p.dir, config)
	return s, err
}

// customer returns the name of a customer.
func customer(number int) string { return fmt.Sprintf("%016x", number) }

// fields returns the list of names and values of a request.
func fields(class string, deadline time.Duration, units int, key string) string {
	f := fmt.Sprintf("c=%s,t=mayorista,d=%d", class, deadline.Milliseconds())
	if key != "" {
		f += ",k=" + key
	}
	return f + fmt.Sprintf(",units=%d,spread=1,first=0", units)
}

// warmUp sends a few usual requests, one after the other.
func warmUp(p *play, s *site) {
	c, err := dialClient(s.gateway.addr)
	if err != nil {
		return
	}
	defer c.conn.Close()
	for range 20 {
		id := newID("ee")
		_, _ = c.conn.Write(command("CALL.POST", customer(1), id, fields("save-sim", 3*time.Second, 1, id), "body"))
		_ = c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		a, err := c.readAnswer()
		if err != nil {
			p.say("warm up: %v", err)
			return
		}
		p.line("%s: %s %s", id, a.kind(), a.text)
	}
}
