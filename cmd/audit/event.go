package main

import (
	"strconv"
	"strings"
)

// eventKind is what a line of the trace tells.
type eventKind int

const (
	otherEvent eventKind = iota
	attemptSent
	attemptEnded
	requestCompleted
	clientDisconnected
)

// event is a line of the trace. Times are in seconds of the process's own clock.
type event struct {
	kind      eventKind
	requestID string
	at        float64

	// Of attemptSent and attemptEnded.
	attempt int
	status  string // of attemptEnded, by the names of the present version

	// Of attemptSent.
	idempotency  idempotency
	dedupScope   string  // "all", "zone" or "cell"
	window       float64 // in which repeats of a key are dropped
	endpoint     string
	zone, cell   string
	arrived      float64 // when the request's last byte had come
	writeStarted float64
	clientClosed bool
	rejection    bool // of requestCompleted: the reply promises that nothing was executed
}

// idempotency is that of a request's class.
type idempotency string

const (
	idempotent     idempotency = "idempotent"
	idempotencyKey idempotency = "idempotency_key"
	nonIdempotent  idempotency = "non_idempotent"
)

// rejectedStatus is the status of an attempt that the endpoint rejected unseen.
const rejectedStatus = "rejected"

// rejectionReply is the kind of the reply that rejects a request.
const rejectionReply = "BUS"

// kindByMessage are the kindByMessage of the trace: the present ones and, behind them, those of the version before.
var kindByMessage = map[string]eventKind{
	"attempt sent": attemptSent, "attempt ended": attemptEnded,
	"request completed": requestCompleted, "client disconnected": clientDisconnected,

	"sent": attemptSent, "ended": attemptEnded,
	"answered": requestCompleted, "gone": clientDisconnected,
}

// presentValues are values of the version before, by those of the present one.
var presentValues = map[string]string{
	"safe": string(idempotent), "keyed": string(idempotencyKey), "unsafe": string(nonIdempotent),
	"full": rejectedStatus,
}

// parseEvent reads a line of the log. Lines that are not of the trace give otherLine.
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

// logValues are the keys and values of a line.
type logValues map[string]string

// text returns the value of the first key that the line has, in the words of the present version.
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

// number is text as a number, 0 if it is none.
func (v logValues) number(keys ...string) float64 {
	x, err := strconv.ParseFloat(v.text(keys...), 64)
	if err != nil {
		return 0
	}
	return x
}

// parseLine reads the key=value pairs of a line; values may be quoted as Go strings.
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

// cutValue reads the value that text starts with, and returns the rest behind it.
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
