// Package resp finds the end of RESP2 commands and replies in the bytes read from a connection, and rejects malformed
// ones. It bounds lengths, counts and nesting. The library that encodes and decodes complete values (redcon) has no such
// bounds: it would wait for a value of any size.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

// Bounds on the input from a connection. Sizes are in bytes.
const (
	// MaxBulkString is the largest size of a bulk string.
	MaxBulkString = 64 << 10
	// MaxLine is the largest size of a simple string, an error or an integer, including its type byte and '\r' but not
	// the final '\n'.
	MaxLine = 1 << 10
	// MaxMessage bounds the size of a command and of an incomplete reply. It leaves room for one bulk string of
	// MaxBulkString and several short elements.
	MaxMessage = MaxBulkString + 8*MaxLine

	maxElements   = 16 // in an array
	maxDepth      = 4  // levels of nested arrays
	maxHeaderLine = 16 // bytes in a line that holds a type and a length
)

var (
	// ErrOversized reports a bulk string larger than MaxBulkString, or a command or an incomplete reply larger than
	// MaxMessage.
	ErrOversized = errors.New("value over 64 KiB")

	errLength         = errors.New("invalid length")
	errCount          = errors.New("invalid number of elements")
	errMalformed      = errors.New("malformed line")
	errLongLine       = errors.New("line too long")
	errLengthMismatch = errors.New("value and length differ")
	errTooDeep        = errors.New("nested too deep")
	errNumber         = errors.New("malformed number")
)

// SyntaxError reports malformed input from a client. Later input on the connection can't be parsed. The client gets the
// text of the error.
type SyntaxError struct{ Cause error }

// Error implements error.
func (e SyntaxError) Error() string { return "Protocol error: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e SyntaxError) Unwrap() error { return e.Cause }

// parseHeader parses the line at the start of b: a type byte and a decimal length without sign or leading zeros, or -1
// for null. n is the size of the line, or 0 if b does not hold all of it.
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
			length = length*10 + int(c-'0') // can't overflow: maxHeaderLine leaves at most 14 digits
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

// ParseCommand parses the command at the start of b, an array of bulk strings, and appends its arguments to args. They
// point into b, which must not be empty. It returns the size of the command, or 0 if b does not hold all of it. It
// reports an invalid length without waiting for the bytes after it.
func ParseCommand(b []byte, args [][]byte) ([][]byte, int, error) {
	args, size, complete, err := parseArguments(b, args)
	if !complete {
		return nil, 0, err
	}
	return args, size, nil
}

// LeadingArguments returns the complete arguments of the command at the start of b, of which b holds only a part. They
// point into b, which must not be empty.
func LeadingArguments(b []byte) [][]byte {
	args, _, _, _ := parseArguments(b, nil) // the error is reported with the rest of the command
	return args
}

// parseArguments parses the command at the start of b and appends its arguments to args. It stops at the end of b or at
// an error. complete reports whether it has parsed the whole command; size is then the size of the command.
func parseArguments(b []byte, args [][]byte) (parsed [][]byte, size int, complete bool, err error) {
	count, n, err := parseCommandHeader(b)
	if n == 0 {
		return args, 0, false, err
	}
	for range count {
		value, end, err := parseArgument(b, n)
		if end == 0 || err != nil {
			return args, 0, false, err
		}
		args = append(args, value)
		n = end
	}
	return args, n, true, nil
}

// parseCommandHeader parses the line at the start of a command. n is the size of the line, or 0 if b does not hold all
// of it or an error is returned.
func parseCommandHeader(b []byte) (count, n int, err error) {
	if b[0] != '*' {
		return 0, 0, fmt.Errorf("expected '*', got %q", b[0])
	}
	count, n, null, err := parseHeader(b)
	switch {
	case errors.Is(err, errLength) || null || count > maxElements:
		return 0, 0, errCount
	case err != nil:
		return 0, 0, err
	}
	return count, n, nil
}

// parseArgument parses the bulk string at an offset of a command. end is the offset after it, or 0 if command does not
// hold all of it.
func parseArgument(command []byte, offset int) (value []byte, end int, err error) {
	b := command[offset:]
	if len(b) == 0 {
		return nil, 0, nil
	}
	size, start, err := parseArgumentHeader(b, offset)
	switch {
	case err != nil:
		return nil, 0, err
	case start == 0 || len(b) < start+size+len(lineEnd):
		return nil, 0, nil
	case string(b[start+size:start+size+len(lineEnd)]) != lineEnd:
		return nil, 0, errLengthMismatch
	}
	return b[start : start+size : start+size], offset + start + size + len(lineEnd), nil
}

// parseArgumentHeader parses the line at the start of a bulk string, which stands at an offset of a command. n is the
// size of the line, or 0 if b does not hold all of it.
func parseArgumentHeader(b []byte, offset int) (size, n int, err error) {
	if b[0] != '$' {
		return 0, 0, fmt.Errorf("expected '$', got %q", b[0])
	}
	size, n, null, err := parseHeader(b)
	switch {
	case err != nil:
		return 0, 0, err
	case null:
		return 0, 0, errLength
	case size > MaxBulkString || offset+n+size > MaxMessage:
		return 0, 0, ErrOversized
	}
	return size, n, nil
}

// lineEnd terminates lines and bulk strings.
const lineEnd = "\r\n"

// ReplySize returns the size of the reply at the start of b, or 0 if b does not hold all of it.
func ReplySize(b []byte) (int, error) { return valueSize(b, 0) }

// valueSize is like ReplySize, for a value that is nested in depth arrays.
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
	return 0, fmt.Errorf("unknown type %q", b[0]) // reported without waiting for the end of the line, which might never come
}

// bulkStringSize is like ReplySize for a bulk string.
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

// arraySize is like valueSize for an array.
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

// lineSize is like ReplySize for a simple string, an error or an integer.
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
