// Package reply reads the replies of endpoints: values, errors and rejections, with the load reports that come along,
// and distinguishes a reply from a duplicate of an earlier one. It knows nothing of sockets; internal/resp finds where a
// reply ends.
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
	// ErrMissingValue is an array whose first element is not a value.
	ErrMissingValue = errors.New("no value")
	// ErrUnexpectedType is RESP that is no reply at all.
	ErrUnexpectedType = errors.New("not a reply")
)

// rejectionCode is the code of the error by which an endpoint rejects a request unseen.
const rejectionCode = "BUSY"

// loadReportElement is the index of the load report in the array of a reply.
const loadReportElement = 2

// Reply is one complete reply of an endpoint that could be read.
type Reply struct {
	Status      policy.AttemptStatus // OK, Error or Rejected
	Value       []byte               // of status OK: the value in RESP, as the endpoint wrote it
	Load        *policy.LoadReport   // nil: none came that can be used
	HealthCheck bool                 // it replies to a health check
}

// Parse reads one complete reply. A value stands whatever its load report looks like. After an error the request may
// have been executed.
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

// parseArray reads a reply with a value.
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

// parseError reads an error or a rejection, whose last field may be a load report.
func parseError(text string) Reply {
	parsed := Reply{Status: policy.Error}
	if code, _, _ := strings.Cut(text, " "); code == rejectionCode {
		parsed.Status = policy.Rejected
	}
	parsed.Load = parseLoadReport(text[strings.LastIndexByte(text, ' ')+1:])
	return parsed
}

// Bounds on the figures of a load report: what lies above them is invalid. Utilization is measured, and may come a
// little above 1.
const (
	MaxLoadValue   = 1e6
	MaxUtilization = 4
)

// parseLoadReport reads a load report. It returns nil if there is none, or if any figure of it is out of range: the
// report was damaged then, and its other figures are worth no more.
func parseLoadReport(text string) *policy.LoadReport {
	report, found := settings.EmptyLoadReport, false
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		number, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		if !(number >= 0 && number <= MaxLoadValue) { // not a number either
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
