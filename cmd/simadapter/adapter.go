package main

import (
	"errors"
	"fmt"
	"io"

	"reedlead/internal/simwire"
	"reedlead/policy"
)

// Errors for input that breaks the protocol.
var (
	errEndsWithinBatch = errors.New("input ended within a batch")
	errOutsideBatch    = errors.New("want CLOCK at the start of a batch")
	errUnknownMessage  = errors.New("unknown message")
	errTruncatedList   = errors.New("input ended within an endpoint list")
)

// adapter holds the gateways of the process, by instance, and the endpoint lists, by id.
type adapter struct {
	now      policy.Seconds
	in       *simwire.Reader
	out      *simwire.Writer
	line     simwire.Line // the current line
	gateways map[int]*policy.Gateway
	lists    map[int][]policy.Endpoint
}

// run reads batches from in until the end of the input, and writes a reply to each batch to out.
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

// handleBatch handles one batch: the current line, which must be CLOCK, and the lines up to YOUR_TURN.
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

// handleEvent decodes the event on the current line and delivers it to its gateway. A delivery to a gateway that does not
// exist is dropped. A panic is reported as a FAULT, and the process continues with the next event.
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

// registerList handles the current line, which is a REGISTER: it reads the ITEM lines after it and stores the list under
// its id.
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

// readEntry reads the next line, which must be an ITEM, and returns the endpoint that it describes.
func (a *adapter) readEntry() (policy.Endpoint, error) {
	err := a.in.Next(&a.line)
	if errors.Is(err, io.EOF) {
		return policy.Endpoint{}, fmt.Errorf("ITEM: %w", errTruncatedList)
	}
	if err != nil {
		return policy.Endpoint{}, err
	}
	if a.line.Name != "ITEM" {
		return policy.Endpoint{}, fmt.Errorf("%s: want ITEM", a.line.Name)
	}
	fields := fieldReader{line: &a.line}
	entry := policy.Endpoint{
		ID: fields.text("backend"), Zone: fields.text("hall"), Cell: fields.optionalInt("unitGroup"),
		Weight: fields.optionalFloat("share"), StartedAt: fields.optionalFloat("sinceS"),
		State: fields.endpointState("status"),
	}
	return entry, fields.err
}
