package main

import (
	"strconv"

	"reedlead/internal/settings"
	"reedlead/internal/simwire"
	"reedlead/policy"
)

// fieldReader reads fields of a line and keeps the first error, so that callers can check for errors once.
type fieldReader struct {
	line *simwire.Line
	err  error
}

func keepError[T any](r *fieldReader, value T, err error) T {
	if r.err == nil {
		r.err = err
	}
	return value
}

func (r *fieldReader) text(name string) string {
	value, err := r.line.Text(name)
	return keepError(r, value, err)
}

func (r *fieldReader) int(name string) int {
	value, err := r.line.Int(name)
	return keepError(r, value, err)
}

func (r *fieldReader) optionalInt(name string) int {
	value, err := r.line.OptionalInt(name)
	return keepError(r, value, err)
}

func (r *fieldReader) float(name string) float64 {
	value, err := r.line.Float(name)
	return keepError(r, value, err)
}

func (r *fieldReader) optionalFloat(name string) float64 {
	value, err := r.line.OptionalFloat(name)
	return keepError(r, value, err)
}

func (r *fieldReader) flag(name string) bool {
	value, err := r.line.OptionalBool(name)
	return keepError(r, value, err)
}

var endpointStates = map[string]policy.EndpointState{"U": policy.InService, "L": policy.Draining, "D": policy.Removed}

func (r *fieldReader) endpointState(name string) policy.EndpointState {
	text := r.text(name)
	state, known := endpointStates[text]
	if !known {
		return keepError(r, state, r.line.InvalidField(name, text))
	}
	return state
}

var statusByCode = map[int]policy.AttemptStatus{
	200: policy.OK, 500: policy.Error, 503: policy.Rejected, 504: policy.Timeout,
	502: policy.ConnectFailed, 598: policy.Reset, 499: policy.Cancelled, 410: policy.NotSent,
}

func (r *fieldReader) status() policy.AttemptStatus {
	code := r.int("code")
	status, known := statusByCode[code]
	if !known {
		return keepError(r, status, r.line.InvalidField("code", strconv.Itoa(code)))
	}
	return status
}

// loadReport returns nil if the line has no load report. If the load report is invalid, it returns nil and keeps the
// error.
func (r *fieldReader) loadReport() *policy.LoadReport {
	report := settings.EmptyLoadReport
	found, err := r.line.Pairs("load", func(name string, value float64) { settings.SetLoadValue(&report, name, value) })
	if !keepError(r, found, err) {
		return nil
	}
	return &report
}
