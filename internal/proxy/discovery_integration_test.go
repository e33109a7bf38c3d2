package proxy

import (
	"fmt"
	"math"
	"testing"

	"reedlead/internal/discovery"
	"reedlead/internal/discovery/discoverytest"
	"reedlead/policy"
)

// nextEndpoints waits for the next endpoint list that the decision module gets, and returns the ids and states in it.
func (h *harness) nextEndpoints() (ids []string) {
	h.t.Helper()
	for _, s := range receive(h.t, h.decider.lists) {
		ids = append(ids, fmt.Sprint(s.ID, " ", s.State))
	}
	return ids
}

// TestDiscoveryWatch checks how the gateway follows the endpoint list. After the end of a watch, the next watch must
// start at the last version. A complete list must replace the endpoints. After a value that can't be used, the gateway
// must poll the complete list, as that value may contain changes that the agent does not send again. The gateway must
// skip the invalid entries of the complete list.
func TestDiscoveryWatch(t *testing.T) {
	for name, unusableLine := range map[string]string{
		"malformed": "nonsense", "unknown state": discoverytest.ListJSON(7, false, "y", "odd"),
		"version goes back": discoverytest.ListJSON(3, false, "y", "terminating"),
	} {
		t.Run(name, func(t *testing.T) {
			watches := 0 // needs no lock, as the agent responds before the client would poll again
			a := discoverytest.NewScriptedAgent(t, func(query string) []string {
				if query == "" {
					return []string{discoverytest.ListJSON(8, true, "z", "in_service", "odd", "odd")}
				}
				switch watches++; watches {
				case 1:
					return []string{discoverytest.ListJSON(5, true, "x", "in_service", "y", "in_service"), ""}[:1]
				case 2:
					return []string{discoverytest.ListJSON(6, false, "x", "terminating"), unusableLine, discoverytest.ListJSON(9, false, "w", "in_service")}
				}
				return []string{""}
			})
			cfg := testConfig()
			cfg.DiscoveryAddress = a.Address()
			cfg.InitialEndpoints = discovery.List{Version: 4, Full: true, Endpoints: []discovery.Endpoint{inService("old", "127.0.0.1:1")}}
			h := startProxy(t, cfg, nil)
			for _, want := range []string{"[old in_service]", "[x in_service y in_service]", "[x draining]", "[z in_service]"} {
				if got := fmt.Sprint(h.nextEndpoints()); got != want {
					t.Fatalf("the decision module got %s, want %s", got, want)
				}
			}
			h.onLoop(func() {
				if len(h.proxy.endpoints.byID) != 1 || h.proxy.endpoints.byID["z"].state != policy.InService {
					t.Errorf("got the endpoints %+v, want only z in service", h.proxy.endpoints.byID)
				}
			})
			for _, want := range []string{"?watch=1&after=4", "?watch=1&after=5", "", "?watch=1&after=8"} {
				if got := receive(t, a.Polls); got != "/api/targets"+want {
					t.Errorf("polled %q, want %q", got, want)
				}
			}
		})
	}
}

// TestDiscoveryAddressSwitch checks that the gateway watches the new discovery address after its configuration was
// reloaded. The endpoints must stay in use until the agent at the new address has sent its complete list. The endpoint
// list of the reloaded configuration must not replace them.
func TestDiscoveryAddressSwitch(t *testing.T) {
	from := discoverytest.NewScriptedAgent(t, func(string) []string { return []string{discoverytest.ListJSON(50, true, "x", "in_service"), ""} })
	to := discoverytest.NewScriptedAgent(t, func(query string) []string {
		if query == "" {
			return []string{discoverytest.ListJSON(2, true, "y", "in_service")}
		}
		return []string{discoverytest.ListJSON(3, false, "v", "in_service"), ""}
	})
	cfg := testConfig()
	cfg.DiscoveryAddress = from.Address()
	h := startProxy(t, cfg, nil)
	h.nextEndpoints()
	if got := fmt.Sprint(h.nextEndpoints()); got != "[x in_service]" {
		t.Fatalf("the decision module got %s from the first address, want [x in_service]", got)
	}
	cfg.DiscoveryAddress = to.Address()
	cfg.InitialEndpoints = discovery.List{Version: 1, Full: true, Endpoints: []discovery.Endpoint{inService("old", "127.0.0.1:1")}}
	h.reloads <- cfg
	for _, want := range []string{"[y in_service]", "[v in_service]"} {
		if got := fmt.Sprint(h.nextEndpoints()); got != want {
			t.Errorf("the decision module got %s, want %s", got, want)
		}
	}
	if a, b := receive(t, to.Polls), receive(t, to.Polls); a != "/api/targets" || b != "/api/targets?watch=1&after=2" {
		t.Errorf("polled %q and %q at the new address, want the complete list and a watch after version 2", a, b)
	}
}

// TestEndpointStartTimesAfterWallClockStep checks that a step of the wall clock does not shift the start times that
// reach the decision module.
func TestEndpointStartTimesAfterWallClockStep(t *testing.T) {
	for _, step := range []float64{-3600, 3600} {
		h := startProxy(t, testConfig(), nil)
		receive(t, h.decider.lists)
		now, at := 0.0, 0.0
		h.onLoop(func() {
			wall := h.proxy.wallClock
			h.proxy.wallClock = func() float64 { return wall() + step }
			now = h.proxy.clock.Now()
			at = wall() + step // the current time by the stepped wall clock
			started := inService("s", "127.0.0.1:1")
			started.StartedMS = int64(at * 1000)
			h.proxy.applyList(discovery.List{Endpoints: []discovery.Endpoint{started}})
		})
		if got := receive(t, h.decider.lists)[0].StartedAt; math.Abs(got-now) > 0.1 {
			t.Errorf("step of %v s: a start at the current time is taken for %.1f s from now", step, got-now)
		}
	}
}
