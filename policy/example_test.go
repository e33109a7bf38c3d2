package policy_test

import (
	"errors"
	"fmt"

	"reedlead/policy"
)

// printingActions is a minimal Actions implementation. It prints attempts sent, rejections and failures, and
// keeps the messages to its peer.
type printingActions struct {
	name     string
	messages [][]byte // not yet delivered
}

func (p *printingActions) Send(id, endpoint string, _, _ policy.Seconds) {
	fmt.Printf("%s: send %s to %s\n", p.name, id, endpoint)
}

func (p *printingActions) Reject(id string, _ policy.Seconds, reason policy.Reason) {
	fmt.Printf("%s: reject %s, %s\n", p.name, id, reason)
}

func (p *printingActions) Fail(id string, reason policy.Reason) {
	fmt.Printf("%s: fail %s, %s\n", p.name, id, reason)
}

func (p *printingActions) Cancel(string, int)              {}
func (p *printingActions) SetTimer(uint64, policy.Seconds) {}
func (p *printingActions) HealthCheck(string)              {}
func (p *printingActions) SendToPeer(_ int, data []byte)   { p.messages = append(p.messages, data) }

// exampleSettings returns settings with one class, and one plan whose quota holds 3 units and refills by 1
// unit per second.
func exampleSettings(self, gatewayCount int) policy.Settings {
	return policy.Settings{
		Self: self, GatewayCount: gatewayCount, PeerMessages: gatewayCount > 1, PeerMessageRate: 40,
		MaxAttempts: 3, MaxRetryAfter: 1,
		Classes: []policy.Class{
			{Name: "read", LatencyObjective: 1, Timeout: 2, PriorityWeight: 1, Idempotency: policy.Idempotent},
		},
		Plans: []policy.Plan{{Name: "basic", Rate: 1, Burst: 3, WeightFactor: 1}},
	}
}

// exampleRequest returns a request of two units.
func exampleRequest(now policy.Seconds, id string, gatewayCount int) policy.Request {
	return policy.Request{
		ID: id, Class: "read", Plan: "basic", Customer: "ada",
		Deadline: now + 2, GatewayCount: gatewayCount, Units: 2,
	}
}

// A single gateway receives two requests. The quota of the customer suffices for one of them.
func ExampleGateway() {
	actions := &printingActions{name: "gateway"}
	gateway, err := policy.New(exampleSettings(0, 1), 42, 10, actions)
	if err != nil {
		fmt.Println(err)
		return
	}
	gateway.HandleEndpoints(10, []policy.Endpoint{{ID: "10.0.0.1:80"}}, true)
	for i := range 2 {
		gateway.HandleRequest(10, exampleRequest(10, fmt.Sprint("r", i), 1))
	}
	gateway.HandleOutcome(10.1, policy.Outcome{
		RequestID: "r0", Endpoint: "10.0.0.1:80", Status: policy.OK, RequestDone: true, Elapsed: 0.1,
	})
	// Output:
	// gateway: send r0 to 10.0.0.1:80
	// gateway: reject r1, quota_exceeded
}

// Two gateways share the quota of a customer: the usage report of one makes the other reject a request.
func ExampleGateway_owners() {
	actions := [2]*printingActions{{name: "west"}, {name: "east"}}
	var gateways [2]*policy.Gateway
	now := 10.0
	for i := range gateways {
		gateways[i], _ = policy.New(exampleSettings(i, 2), uint64(i), now, actions[i])
		gateways[i].HandleEndpoints(now, []policy.Endpoint{{ID: "10.0.0.1:80"}}, true)
	}
	gateways[0].HandleRequest(now, exampleRequest(now, "first", 2))
	for range 30 { // 0.6 s, enough for the usage report to arrive
		now += 0.02
		for i, gateway := range gateways {
			gateway.HandleTimer(now, 1)
			peer := actions[1-i]
			for _, data := range peer.messages {
				gateway.HandlePeerMessage(now, 1-i, data)
			}
			peer.messages = nil
		}
	}
	gateways[1].HandleRequest(now, exampleRequest(now, "second", 2))
	// Output:
	// west: send first to 10.0.0.1:80
	// east: reject second, quota_exceeded
}

// New returns an error that names the invalid field.
func ExampleNew() {
	settings := exampleSettings(0, 1)
	settings.Plans[0].Burst = 0
	_, err := policy.New(settings, 1, 0, &printingActions{})
	var settingErr *policy.SettingError
	if errors.As(err, &settingErr) {
		fmt.Println(settingErr.Setting)
	}
	fmt.Println(err)
	// Output:
	// Plans["basic"].Burst
	// policy: setting Plans["basic"].Burst: out of range: is 0, want above 0 with a Rate
}
