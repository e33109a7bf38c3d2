package policy

import (
	"fmt"
	"strings"
	"testing"
)

func TestMalformedInputIsIgnored(t *testing.T) {
	g, r := newTestGateway(t, nil)
	n := len(r.actions)
	good := encodeRecord(1, usageRecord{Key: 5, Plan: 15})
	good[countOffset] = 0
	for i := range good {
		g.HandlePeerMessage(100, 1, good[:i])
	}
	g.HandlePeerMessage(100, 9, good)
	g.HandlePeerMessage(100, -1, good)
	g.HandlePeerMessage(100, 1, append([]byte{messageVersion + 1}, good[1:]...))
	good[countOffset] = 1
	g.HandlePeerMessage(100, 1, good)
	g.HandlePeerMessage(100, 1, append(good, 1, 2, 3))
	g.HandlePeerMessage(100, 1, make([]byte, 4000))
	g.HandleOutcome(100, Outcome{RequestID: "none", Endpoint: "s1"})
	g.HandleClientGone(100, "none")
	g.HandleStreamStarted(100, "none", 0)
	g.HandleHealthCheck(100, HealthCheckResult{Endpoint: "none"})
	g.HandleTimer(100, 77)
	if len(r.actions) != n {
		t.Fatalf("acted on odd input: %v", r.actions[n:])
	}
}

func TestInvalidSettings(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"gateways": func(s *Settings) { s.GatewayCount = 0 },
		"8192 at":  func(s *Settings) { s.Plans = make([]Plan, maxPlans+1) },
		"me is":    func(s *Settings) { s.Self = 2 },
		"classes":  func(s *Settings) { s.Classes = nil },
		"deadline": func(s *Settings) { s.Classes[0].Timeout = 0 },
		"burst":    func(s *Settings) { s.Plans[0].Burst = 0 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1, 0, &recorder{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error about %q, got %v", want, err)
		}
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	var logs [2]string
	for k := range logs {
		g, r := newTestGateway(t, nil)
		for i := range 300 {
			now := 100 + float64(i)*0.01
			id := fmt.Sprint("q", i)
			g.HandleRequest(now, Request{
				ID: id, Class: "read", Plan: "wide", Customer: fmt.Sprint("c", i%37), Deadline: now + 2,
				GatewayCount: 2, Units: 1,
			})
			for n, a := range r.ofKind("send", id) {
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: a.endpoint, Attempt: n, Status: AttemptStatus(i % 4), Elapsed: 0.05})
			}
			g.HandleTimer(now, 1)
		}
		logs[k] = fmt.Sprint(r.actions)
	}
	if logs[0] != logs[1] {
		t.Fatal("the same events gave other actions")
	}
}
