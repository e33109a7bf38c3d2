package policy

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
)

func TestMalformedInputIsIgnored(t *testing.T) {
	g, recorded := newTestGateway(t, nil)
	n := len(recorded.actions)
	good := encodeRecord(1, usageRecord{key: 5, planIndex: 15})
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
	g.HandleClientDisconnected(100, "none")
	g.HandleStreamStarted(100, "none")
	g.HandleHealthCheck(100, HealthCheckResult{Endpoint: "none"})
	g.HandleTimer(100, 77)
	if len(recorded.actions) != n {
		t.Fatalf("malformed input caused actions: %v", recorded.actions[n:])
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(*Settings)
		setting string
		kind    error
	}{
		"no gateways":       {func(s *Settings) { s.GatewayCount = 0 }, "GatewayCount", ErrOutOfRange},
		"self beyond count": {func(s *Settings) { s.Self = 2 }, "Self", ErrOutOfRange},
		"negative self":     {func(s *Settings) { s.Self = -1 }, "Self", ErrOutOfRange},
		"no classes":        {func(s *Settings) { s.Classes = nil }, "Classes", ErrMissing},
		"too many plans":    {func(s *Settings) { s.Plans = make([]Plan, maxPlans+1) }, "Plans", ErrOutOfRange},
		"no timeout":        {func(s *Settings) { s.Classes[0].Timeout = 0 }, `Classes["read"].Timeout`, ErrOutOfRange},
		"timeout of NaN":    {func(s *Settings) { s.Classes[0].Timeout = math.NaN() }, `Classes["read"].Timeout`, ErrOutOfRange},
		"no objective":      {func(s *Settings) { s.Classes[0].LatencyObjective = 0 }, `Classes["read"].LatencyObjective`, ErrOutOfRange},
		"negative weight":   {func(s *Settings) { s.Classes[1].PriorityWeight = -1 }, `Classes["put"].PriorityWeight`, ErrOutOfRange},
		"negative rate":     {func(s *Settings) { s.Plans[0].Rate = -1 }, `Plans["basic"].Rate`, ErrOutOfRange},
		"no burst":          {func(s *Settings) { s.Plans[0].Burst = 0 }, `Plans["basic"].Burst`, ErrOutOfRange},
		"negative slots":    {func(s *Settings) { s.Plans[0].MaxConcurrent = -1 }, `Plans["basic"].MaxConcurrent`, ErrOutOfRange},
		"negative ceiling":  {func(s *Settings) { s.Plans[1].CeilingRate = -1 }, `Plans["capped"].CeilingRate`, ErrOutOfRange},
		"negative factor":   {func(s *Settings) { s.Plans[3].WeightFactor = -1 }, `Plans["wide"].WeightFactor`, ErrOutOfRange},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			tc.change(&settings)
			_, err := New(settings, 1, 0, &recorder{})
			var settingErr *SettingError
			if !errors.As(err, &settingErr) {
				t.Fatalf("New returned %v, want a SettingError", err)
			}
			if settingErr.Setting != tc.setting || !errors.Is(err, tc.kind) {
				t.Errorf("New returned %q, want the setting %s and %q", err, tc.setting, tc.kind)
			}
			if !strings.Contains(err.Error(), tc.setting) {
				t.Errorf("the error %q does not name %s", err, tc.setting)
			}
		})
	}
}

func TestNewNeedsActions(t *testing.T) {
	if _, err := New(testSettings(), 1, 0, nil); !errors.Is(err, ErrNoActions) {
		t.Errorf("New returned %v, want %v", err, ErrNoActions)
	}
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	var logs [2]string
	for k := range logs {
		g, recorded := newTestGateway(t, nil)
		for i := range 300 {
			now := 100 + float64(i)*0.01
			id := fmt.Sprint("q", i)
			g.HandleRequest(now, Request{
				ID: id, Class: "read", Plan: "wide", Customer: fmt.Sprint("c", i%37), Deadline: now + 2,
				GatewayCount: 2, Units: 1,
			})
			for n, a := range recorded.ofKind("send", id) {
				g.HandleOutcome(now, Outcome{RequestID: id, Endpoint: a.endpoint, Attempt: n, Status: AttemptStatus(i % 4), Elapsed: 0.05})
			}
			g.HandleTimer(now, 1)
		}
		logs[k] = fmt.Sprint(recorded.actions)
	}
	if logs[0] != logs[1] {
		t.Fatal("the same events gave different actions")
	}
}
