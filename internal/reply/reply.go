// Package reply parses the replies of endpoints (values, errors and rejections, each with an optional load report) and
// detects duplicates of earlier replies. It does not read from connections; internal/resp finds the end of a reply.
package reply

import (
	"bytes"
	"errors"
	"strconv"
	"strings"

	"reedlead/internal/settings"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

var (
	// ErrMissingValue reports an array that does not start with a non-null bulk string.
	ErrMissingValue = errors.New("reply does not start with a non-null bulk string")
	// ErrUnexpectedType reports a RESP value other than an array, a non-null bulk string or an error.
	ErrUnexpectedType = errors.New("reply is not an array, a non-null bulk string or an error")
)

// rejectionCode is the error code with which an endpoint rejects a request without executing it.
const rejectionCode = "BUSY"

// loadReportElement is the index of the load report in a reply with a value.
const loadReportElement = 2

// Reply is a parsed reply of an endpoint.
type Reply struct {
	Status      policy.AttemptStatus // OK, Error or Rejected
	Value       []byte               // set if Status is OK and HealthCheck is false: the value as RESP
	Load        *policy.LoadReport   // nil if the reply has no load report or an invalid one
	HealthCheck bool                 // the reply is a bulk string, the form of a reply to a health check
}

// Parse parses one complete reply. An invalid load report is dropped and does not invalidate the reply. Unless Parse
// returns a reply with status Rejected, the request may have executed.
func Parse(b []byte) (Reply, error) {
	_, element := redcon.ReadNextRESP(b)
	switch element.Type {
	case redcon.Array:
		return parseArray(element)
	case redcon.Bulk:
		if element.Data != nil {
			return Reply{Status: policy.OK, HealthCheck: true, Load: parseLoadReport(string(element.Data))}, nil
		}
	case redcon.Error:
		return parseError(string(element.Data)), nil
	}
	return Reply{}, ErrUnexpectedType
}

// parseArray parses a reply with a value.
func parseArray(array redcon.RESP) (Reply, error) {
	var elements []redcon.RESP
	array.ForEach(func(element redcon.RESP) bool {
		elements = append(elements, element)
		return true
	})
	if len(elements) == 0 || elements[0].Type != redcon.Bulk || elements[0].Data == nil {
		return Reply{}, ErrMissingValue
	}
	parsed := Reply{Status: policy.OK, Value: bytes.Clone(elements[0].Raw)}
	if len(elements) > loadReportElement && elements[loadReportElement].Data != nil {
		parsed.Load = parseLoadReport(string(elements[loadReportElement].Data))
	}
	return parsed, nil
}

// parseError parses an error or a rejection. The last word of its text may be a load report.
func parseError(text string) Reply {
	parsed := Reply{Status: policy.Error}
	if code, _, _ := strings.Cut(text, " "); code == rejectionCode {
		parsed.Status = policy.Rejected
	}
	parsed.Load = parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:])
	return parsed
}

// Upper bounds on the values of a load report. MaxLoadValue applies to all values. MaxUtilization is above 1 because
// endpoints measure their utilization, and a measurement can exceed 1.
const (
	MaxLoadValue   = 1e6
	MaxUtilization = 4
)

// parseLoadReport parses a load report and skips parts that are not name=number pairs. It returns nil if there is no such
// pair. It also returns nil if a parsed number is out of range: such a report is corrupt, and its other values can't be
// trusted either.
func parseLoadReport(text string) *policy.LoadReport {
	report, found := settings.EmptyLoadReport, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if !(number >= 0 && number <= MaxLoadValue) { // the negation also catches NaN
			return nil
		}
		settings.SetLoadValue(&report, name, number)
		found = true
	}
	if !found || report.Utilization > MaxUtilization {
		return nil
	}
	return &report
}
