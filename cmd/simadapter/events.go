package main

import (
	"fmt"

	"reedlead/internal/settings"
	"reedlead/policy"
)

// delivery delivers a decoded event to its gateway.
type delivery func(*policy.Gateway)

// decoder decodes the event on the adapter's current line for a gateway instance. The delivery is nil if there is nothing
// to deliver to the gateway. The decoders of ENLIST and DOWN add and remove the gateway themselves.
type decoder func(a *adapter, instance int) (delivery, error)

// decoders holds the decoder of every event by message name.
var decoders = map[string]decoder{
	"ENLIST":       decodeGatewayStart,
	"DOWN":         decodeGatewayStop,
	"PEERS_KNOWN":  decodeEndpoints,
	"REQUEST":      decodeRequest,
	"FLOWING":      decodeStreamStarted,
	"VERDICT":      decodeOutcome,
	"HANGUP":       decodeClientDisconnected,
	"ALARM":        decodeTimer,
	"CHECK_RESULT": decodeHealthCheck,
	"DATAGRAM":     decodePeerMessage,
	"TALLY_BACK":   ignoreEvent,
}

func ignoreEvent(*adapter, int) (delivery, error) { return nil, nil }

func decodeGatewayStart(a *adapter, instance int) (delivery, error) {
	seed, err := a.line.Uint("entropy")
	if err != nil {
		return nil, err
	}
	text, err := a.line.Text("settings")
	if err != nil {
		return nil, err
	}
	parsed, err := settings.Parse([]byte(text))
	if err != nil {
		return nil, fmt.Errorf("ENLIST: field settings: %w", err)
	}
	gateway, err := policy.New(parsed.Settings, seed, a.now, actions{a.out, instance})
	if err != nil {
		return nil, fmt.Errorf("ENLIST: field settings: %w", err)
	}
	a.gateways[instance] = gateway
	return nil, nil
}

func decodeGatewayStop(a *adapter, instance int) (delivery, error) {
	delete(a.gateways, instance)
	return nil, nil
}

// Kinds of PEERS_KNOWN messages. listComplete and listPersisted come with a complete list, and listPartial with the
// entries that changed. listFailed reports a failed fetch and comes without a list.
const (
	listComplete  = "Complete"
	listPersisted = "Persisted"
	listPartial   = "Partial"
	listFailed    = "Error"
)

func decodeEndpoints(a *adapter, _ int) (delivery, error) {
	kind, err := a.line.Text("kind")
	if err != nil {
		return nil, err
	}
	switch kind {
	case listFailed:
		return nil, nil
	case listComplete, listPersisted, listPartial:
	default:
		return nil, a.line.InvalidField("kind", kind)
	}
	id, err := a.line.Int("rosterId")
	if err != nil {
		return nil, err
	}
	list, known := a.lists[id]
	if !known {
		return nil, fmt.Errorf("PEERS_KNOWN: field rosterId names no list: \"%d\"", id)
	}
	return func(g *policy.Gateway) { g.HandleEndpoints(a.now, list, kind != listPartial) }, nil
}

func decodeRequest(a *adapter, _ int) (delivery, error) {
	fields := fieldReader{line: &a.line}
	request := policy.Request{
		ID: fields.text("id"), Class: fields.text("kind"), Plan: fields.text("tier"), Customer: fields.text("holder"),
		Deadline: fields.float("dropDeadS"), FirstGateway: fields.optionalInt("base"),
		GatewayCount: int(fields.optionalFloat("nEntries")), Units: fields.optionalFloat("costUnits"),
		ClientRetry: fields.flag("isRetry"),
	}
	return func(g *policy.Gateway) { g.HandleRequest(a.now, request) }, fields.err
}

func decodeStreamStarted(a *adapter, _ int) (delivery, error) {
	id, err := a.line.Text("id")
	return func(g *policy.Gateway) { g.HandleStreamStarted(a.now, id) }, err
}

func decodeOutcome(a *adapter, _ int) (delivery, error) {
	fields := fieldReader{line: &a.line}
	outcome := policy.Outcome{
		RequestID: fields.text("id"), Endpoint: fields.text("backend"), Attempt: fields.int("hop"),
		Status: fields.status(), RequestDone: fields.flag("terminal"), Elapsed: fields.optionalFloat("spentS"),
		ActualUnits: fields.optionalFloat("actual"), Load: fields.loadReport(),
	}
	return func(g *policy.Gateway) { g.HandleOutcome(a.now, outcome) }, fields.err
}

func decodeClientDisconnected(a *adapter, _ int) (delivery, error) {
	id, err := a.line.Text("id")
	return func(g *policy.Gateway) { g.HandleClientDisconnected(a.now, id) }, err
}

func decodeTimer(a *adapter, _ int) (delivery, error) {
	token, err := a.line.Uint("mark")
	return func(g *policy.Gateway) { g.HandleTimer(a.now, token) }, err
}

func decodeHealthCheck(a *adapter, _ int) (delivery, error) {
	fields := fieldReader{line: &a.line}
	result := policy.HealthCheckResult{
		Endpoint: fields.text("backend"), Status: fields.status(), Elapsed: fields.optionalFloat("spentS"),
		Load: fields.loadReport(),
	}
	return func(g *policy.Gateway) { g.HandleHealthCheck(a.now, result) }, fields.err
}

func decodePeerMessage(a *adapter, _ int) (delivery, error) {
	from, err := a.line.Int("sender")
	if err != nil {
		return nil, err
	}
	data, err := a.line.Hex("data")
	return func(g *policy.Gateway) { g.HandlePeerMessage(a.now, from, data) }, err
}
