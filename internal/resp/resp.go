// Package resp finds the bounds of RESP2 commands and replies in the bytes that have been read of a connection, and
// rejects malformed ones before all of their bytes have come. Lengths, counts and nesting are bounded; the library
// that encodes and decodes whole values has no bounds, and would wait for a value of any announced size.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Bounds on what is read from a socket, in bytes where they are sizes.
const (
	// MaxBulkString is the size of one bulk string.
	MaxBulkString = 64 << 10
	// MaxLine is the size of a line of text.
	MaxLine = 1 << 10
	// MaxMessage is the size of a whole command or reply: one value, and the shorter ones beside it.
	MaxMessage = MaxBulkString + 8*MaxLine

	maxElements   = 16 // of an array
	maxDepth      = 4  // of arrays in arrays
	maxHeaderLine = 16 // of a type and a length
)

var (
	// ErrOversized is the error of a value, or a whole command or reply, beyond its bound.
	ErrOversized = errors.New("value over 64 KiB")

	errLength         = errors.New("invalid length")
	errCount          = errors.New("invalid number of elements")
	errMalformed      = errors.New("malformed line")
	errLongLine       = errors.New("line too long")
	errLengthMismatch = errors.New("value and length differ")
	errTooDeep        = errors.New("nested too deep")
	errNumber         = errors.New("malformed number")
)

// SyntaxError makes the rest of a client's connection unreadable. Its text is the one that the client gets.
type SyntaxError struct{ Cause error }

// Error implements error.
func (e SyntaxError) Error() string { return "Protocol error: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e SyntaxError) Unwrap() error { return e.Cause }

// parseHeader reads the line that b starts with: a type and a length, in digits alone. n is the line's size, 0 if it has
// not come whole yet. A length of -1 gives null.
func parseHeader(b []byte) (length, n int, null bool, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxHeaderLine)], '\n')
	line := b[1:min(len(b), maxHeaderLine)]
	if end >= 0 {
		if end < 2 || b[end-1] != '\r' {
			return 0, 0, false, errMalformed
		}
		line = b[1 : end-1]
	} else if len(b) >= maxHeaderLine {
		return 0, 0, false, errLongLine
	}
	for i, c := range line {
		switch {
		case i == 0 && c == '-':
			null = true
		case null && i == 1 && c == '1':
		case !null && c >= '0' && c <= '9' && (i == 0 || line[0] != '0'):
			length = length*10 + int(c-'0') // of 14 digits at most
		case end < 0 && c == '\r' && i == len(line)-1:
		default:
			return 0, 0, false, errLength
		}
	}
	switch {
	case end < 0:
		return 0, 0, false, nil
	case len(line) == 0, null && len(line) == 1:
		return 0, 0, false, errLength
	}
	return length, end + 1, null, nil
}

// ParseCommand splits the command that b, which is not empty, starts with: an array of bulk strings. It returns its
// size, 0 if it has not come whole yet, or what is wrong with it. Lengths are checked before the bytes that they
// announce have come. The arguments are appended to args; they lie in b.
func ParseCommand(b []byte, args [][]byte) ([][]byte, int, error) {
	if b[0] != '*' {
		return nil, 0, fmt.Errorf("expected '*', got %q", b[0])
	}
	count, n, null, err := parseHeader(b)
	switch {
	case errors.Is(err, errLength) || null || count > maxElements:
		return nil, 0, errCount
	case err != nil || n == 0:
		return nil, 0, err
	}
	for range count {
		value, end, err := parseArgument(b, n)
		if end == 0 || err != nil {
			return nil, 0, err
		}
		args = append(args, value)
		n = end
	}
	return args, n, nil
}

// parseArgument reads the bulk string at an offset of a command. It returns where it ends, 0 if it has not come whole yet.
func parseArgument(command []byte, offset int) (value []byte, end int, err error) {
	b := command[offset:]
	if len(b) == 0 {
		return nil, 0, nil
	}
	if b[0] != '$' {
		return nil, 0, fmt.Errorf("expected '$', got %q", b[0])
	}
	size, start, null, err := parseHeader(b)
	switch {
	case err != nil:
		return nil, 0, err
	case null:
		return nil, 0, errLength
	case size > MaxBulkString || offset+start+size > MaxMessage:
		return nil, 0, ErrOversized
	case start == 0 || len(b) < start+size+len(lineEnd):
		return nil, 0, nil
	case string(b[start+size:start+size+len(lineEnd)]) != lineEnd:
		return nil, 0, errLengthMismatch
	}
	return b[start : start+size : start+size], offset + start + size + len(lineEnd), nil
}

// lineEnd ends lines and bulk strings.
const lineEnd = "\r\n"

// ReplySize returns the size of the reply that b starts with, 0 if it has not come whole yet, or what is wrong with it.
func ReplySize(b []byte) (int, error) { return valueSize(b, 0) }

// valueSize is ReplySize of a value inside arrays, depth of them.
func valueSize(b []byte, depth int) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	switch b[0] {
	case '+', '-', ':':
		return lineSize(b)
	case '$':
		return bulkStringSize(b)
	case '*':
		return arraySize(b, depth)
	}
	return 0, fmt.Errorf("unknown type %q", b[0]) // reported at once: its line may never end
}

// bulkStringSize is ReplySize of a bulk string.
func bulkStringSize(b []byte) (int, error) {
	size, start, null, err := parseHeader(b)
	switch {
	case err != nil || start == 0:
		return 0, err
	case size > MaxBulkString:
		return 0, ErrOversized
	case null:
		return start, nil
	case len(b) < start+size+len(lineEnd):
		return 0, nil
	case string(b[start+size:start+size+len(lineEnd)]) != lineEnd:
		return 0, errLengthMismatch
	}
	return start + size + len(lineEnd), nil
}

// arraySize is ReplySize of an array.
func arraySize(b []byte, depth int) (int, error) {
	count, end, null, err := parseHeader(b)
	switch {
	case err != nil || end == 0:
		return 0, err
	case null || count > maxElements:
		return 0, errCount
	case depth == maxDepth:
		return 0, errTooDeep
	}
	for range count {
		size, err := valueSize(b[end:], depth+1)
		if size == 0 || err != nil {
			return 0, err
		}
		end += size
	}
	return end, nil
}

// lineSize is ReplySize of a line of text or a number.
func lineSize(b []byte) (int, error) {
	end := bytes.IndexByte(b[:min(len(b), MaxLine+1)], '\n')
	switch {
	case end < 0 && len(b) > MaxLine:
		return 0, errLongLine
	case end < 0:
		return 0, nil
	case end < 2 || b[end-1] != '\r':
		return 0, errMalformed
	}
	if b[0] == ':' {
		if _, err := strconv.ParseInt(string(b[1:end-1]), 10, 64); err != nil {
			return 0, errNumber
		}
	}
	return end + 1, nil
}
