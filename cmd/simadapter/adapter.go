package main

import (
	"errors"
	"fmt"
	"io"

	"reedlead/internal/simwire"
	"reedlead/policy"
)

// Errors of input that can't be carried out.
var (
	errEndsWithinBatch = errors.New("input ended within a batch")
	errOutsideBatch    = errors.New("outside a batch")
	errUnknownMessage  = errors.New("unknown message")
	errTruncatedList   = errors.New("the list ends early")
)

// adapter is what one process holds: its gateways by their instance, and the numbered endpoint lists.
type adapter struct {
	now      policy.Seconds
	in       *simwire.Reader
	out      *simwire.Writer
	line     simwire.Line // the line being handled
	gateways map[int]*policy.Gateway
	lists    map[int][]policy.Endpoint
}

// run replies to the batches of in until it ends.
func run(in io.Reader, out io.Writer) error {
	a := &adapter{
		in: simwire.NewReader(in), out: simwire.NewWriter(out),
		gateways: map[int]*policy.Gateway{}, lists: map[int][]policy.Endpoint{},
	}
	for {
		err := a.in.Next(&a.line)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handleBatch(); err != nil {
			return err
		}
	}
}

// handleBatch handles the lines from CLOCK, which has been read, to YOUR_TURN.
func (a *adapter) handleBatch() error {
	if a.line.Name != "CLOCK" {
		return fmt.Errorf("%s: %w", a.line.Name, errOutsideBatch)
	}
	for {
		if err := a.handleLine(); err != nil {
			return err
		}
		if a.line.Name == "YOUR_TURN" {
			return nil
		}
		err := a.in.Next(&a.line)
		if errors.Is(err, io.EOF) {
			return errEndsWithinBatch
		}
		if err != nil {
			return err
		}
	}
}

func (a *adapter) handleLine() error {
	switch a.line.Name {
	case "CLOCK":
		now, err := a.line.Float("timeS")
		a.now = now
		return err
	case "YOUR_TURN":
		return a.out.Flush()
	case "REGISTER":
		return a.registerList()
	}
	return a.handleEvent()
}

// handleEvent reads one event whole, then hands it to its gateway. A panic of the gateway costs the event alone.
func (a *adapter) handleEvent() error {
	decode, known := decoders[a.line.Name]
	if !known {
		return fmt.Errorf("%s: %w", a.line.Name, errUnknownMessage)
	}
	instance, err := a.line.Int("i")
	if err != nil {
		return err
	}
	defer func() {
		if panicked := recover(); panicked != nil {
			a.out.Begin("FAULT", instance).Text("msg", fmt.Sprint(panicked)).End()
		}
	}()
	deliver, err := decode(a, instance)
	if err != nil || deliver == nil {
		return err
	}
	if gateway := a.gateways[instance]; gateway != nil {
		deliver(gateway)
	}
	return nil
}

// registerList reads a numbered list and the entries that follow it.
func (a *adapter) registerList() error {
	fields := fieldReader{line: &a.line}
	id, count := fields.int("rosterId"), fields.int("lines")
	if fields.err == nil && count < 0 {
		fields.err = a.line.InvalidField("lines", fmt.Sprint(count))
	}
	if fields.err != nil {
		return fields.err
	}
	var list []policy.Endpoint
	for range count {
		entry, err := a.readEntry()
		if err != nil {
			return err
		}
		list = append(list, entry)
	}
	a.lists[id] = list
	return nil
}

// readEntry reads the next line, an entry of an endpoint list.
func (a *adapter) readEntry() (policy.Endpoint, error) {
	err := a.in.Next(&a.line)
	if errors.Is(err, io.EOF) {
		return policy.Endpoint{}, fmt.Errorf("ITEM: %w", errTruncatedList)
	}
	if err != nil {
		return policy.Endpoint{}, err
	}
	if a.line.Name != "ITEM" {
		return policy.Endpoint{}, fmt.Errorf("%s: ITEM expected", a.line.Name)
	}
	fields := fieldReader{line: &a.line}
	entry := policy.Endpoint{
		ID: fields.text("backend"), Zone: fields.text("hall"), Cell: fields.optionalInt("unitGroup"),
		Weight: fields.optionalFloat("share"), StartedAt: fields.optionalFloat("sinceS"),
		State: fields.endpointState("status"),
	}
	return entry, fields.err
}
