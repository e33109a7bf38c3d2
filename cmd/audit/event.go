package main

import (
	"strconv"
	"strings"
)

// eventKind says what a log line reports. The audit ignores lines of kind otherEvent.
type eventKind int

const (
	otherEvent eventKind = iota
	attemptSent
	attemptEnded
	requestCompleted
	clientDisconnected
)

// event is a parsed log line. Times are in seconds by the clock of the gateway that wrote the log.
type event struct {
	kind      eventKind
	requestID string
	at        float64

	attempt int    // set for attemptSent and attemptEnded
	status  string // set for attemptEnded; a value of the previous version is translated to the present one

	// Set for attemptSent.
	idempotency  idempotency
	dedupScope   string  // "all", "zone" or "cell"
	window       float64 // time for which endpoints drop repeats of an idempotency key, in seconds
	endpoint     string
	zone, cell   string
	arrived      float64 // when the last byte of the request arrived
	writeStarted float64
	clientClosed bool // the client had closed its connection when the line was logged

	// Set for requestCompleted.
	rejection bool // the gateway rejected the request, so the client may repeat it
}

// idempotency says when a request of a class may be attempted again after an attempt that may have executed: always,
// only where endpoints drop repeats of its idempotency key, or never.
type idempotency string

const (
	idempotent     idempotency = "idempotent"
	idempotencyKey idempotency = "idempotency_key"
	nonIdempotent  idempotency = "non_idempotent"
)

// rejectedStatus is the status of an attempt that the endpoint rejected without executing it.
const rejectedStatus = "rejected"

// rejectionReply is the kind of reply that the trace logs for a rejection: the first three letters of the error code
// BUSY.
const rejectionReply = "BUS"

// kindByMessage maps the messages of the trace to event kinds: first the messages of the present version, then those
// of the previous one.
var kindByMessage = map[string]eventKind{
	"attempt sent": attemptSent, "attempt ended": attemptEnded,
	"request completed": requestCompleted, "client disconnected": clientDisconnected,

	"sent": attemptSent, "ended": attemptEnded,
	"answered": requestCompleted, "gone": clientDisconnected,
}

// presentValues maps values of the previous version to those of the present one.
var presentValues = map[string]string{
	"safe": string(idempotent), "keyed": string(idempotencyKey), "unsafe": string(nonIdempotent),
	"full": rejectedStatus,
}

// parseEvent parses a log line. A line that the audit ignores gets the kind otherEvent.
func parseEvent(line string) event {
	values := parseLine(line)
	kind := kindByMessage[values["msg"]]
	if values["level"] != "DEBUG" || values["id"] == "" {
		kind = otherEvent
	}
	return event{
		kind: kind, requestID: values["id"], at: values.number("at"),
		attempt: int(values.number("attempt", "try")), status: values.text("status"),
		idempotency: idempotency(values.text("idempotency", "effect")),
		dedupScope:  values.text("dedup_scope", "scope"),
		window:      values.number("idempotency_window", "ttl"),
		endpoint:    values.text("endpoint", "backend"),
		zone:        values.text("zone"), cell: values.text("cell"),
		arrived:      values.number("arrived", "read"),
		writeStarted: values.number("write_started", "from"),
		clientClosed: values.text("client_closed", "left") == "true",
		rejection:    values.text("reply", "word") == rejectionReply,
	}
}

// logValues maps the keys of a log line to their values.
type logValues map[string]string

// text returns the value of the first of the given keys that the line has, or "" if the line has none of them. A value of
// the previous version is translated to the present one.
func (v logValues) text(keys ...string) string {
	for _, key := range keys {
		if value, ok := v[key]; ok {
			if present, isEarlier := presentValues[value]; isEarlier {
				return present
			}
			return value
		}
	}
	return ""
}

// number is like text, but parses the value as a number. It returns 0 if the value is missing or not a number.
func (v logValues) number(keys ...string) float64 {
	x, err := strconv.ParseFloat(v.text(keys...), 64)
	if err != nil {
		return 0
	}
	return x
}

// parseLine parses the key=value pairs of a line; values may be quoted as Go strings.
func parseLine(line string) logValues {
	values := logValues{}
	for line != "" {
		line = strings.TrimLeft(line, " \t\r\n")
		end := strings.IndexAny(line, "= \t\r\n")
		if end < 0 {
			break
		}
		if line[end] != '=' { // a word without a value
			line = line[end:]
			continue
		}
		key := line[:end]
		values[key], line = cutValue(line[end+1:])
	}
	return values
}

// cutValue parses the value at the start of text and returns it with the text after it.
func cutValue(text string) (value, rest string) {
	if quoted, err := strconv.QuotedPrefix(text); err == nil {
		if value, err = strconv.Unquote(quoted); err == nil {
			return value, text[len(quoted):]
		}
	}
	if end := strings.IndexAny(text, " \t\r\n"); end >= 0 {
		return text[:end], text[end:]
	}
	return text, ""
}
