// Package simwire reads and writes the lines of the simulator's protocol. A line holds a message name and name=value
// fields, separated by tabs. The package does not interpret messages.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

const (
	readBufferSize  = 1 << 20
	writeBufferSize = 1 << 18
	// maxNumber is the maximum absolute value of a number that Float and OptionalFloat accept.
	maxNumber = 1e18
	// emptyBytes is the value of a byte field without bytes.
	emptyBytes = "-"
	// endOfReply is the last line of the reply to a batch.
	endOfReply = "NEXT\n"
	// restOfLineField is the field whose value extends to the end of the line and may contain tabs.
	restOfLineField = "settings"
)

// Causes of errors in a line. The returned errors wrap them.
var (
	ErrMalformed = errors.New("malformed")
	ErrMissing   = errors.New("is missing")
	ErrInvalid   = errors.New("is invalid")
)

// Line is one message: its name, and its fields in their order on the line.
type Line struct {
	Name   string
	fields []field
}

// field is a field of a line. Its value is not decoded.
type field struct{ name, value string }

// Reader reads lines of any length.
type Reader struct {
	buffered *bufio.Reader
	longLine []byte // holds a line that is longer than the read buffer
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReaderSize(r, readBufferSize)} }

// Next reads the next line into l. It returns io.EOF at the end of the input. The last line need not end with a newline.
func (r *Reader) Next(l *Line) error {
	raw, err := r.readLine()
	if err != nil && (!errors.Is(err, io.EOF) || len(raw) == 0) {
		return err
	}
	return l.parse(string(bytes.TrimRight(raw, "\r\n")))
}

// readLine returns the next line, which is valid until the next call. At the end of the input it returns an unterminated
// last line together with io.EOF.
func (r *Reader) readLine() ([]byte, error) {
	raw, err := r.buffered.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return raw, err
	}
	r.longLine = append(r.longLine[:0], raw...)
	for errors.Is(err, bufio.ErrBufferFull) {
		raw, err = r.buffered.ReadSlice('\n')
		r.longLine = append(r.longLine, raw...)
	}
	return r.longLine, err
}

// parse splits a line into its name and fields.
func (l *Line) parse(line string) error {
	l.fields = l.fields[:0]
	name, rest, more := strings.Cut(line, "\t")
	l.Name = name
	if name == "" {
		return fmt.Errorf("%w line: no message name", ErrMalformed)
	}
	for more {
		if value, ok := strings.CutPrefix(rest, restOfLineField+"="); ok {
			l.fields = append(l.fields, field{restOfLineField, value})
			return nil
		}
		var part string
		part, rest, more = strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(part, "=")
		if !ok || key == "" {
			return fmt.Errorf("%s: %w field %q", name, ErrMalformed, part)
		}
		l.fields = append(l.fields, field{key, value})
	}
	return nil
}

// Has reports whether the line has the named field.
func (l *Line) Has(name string) bool { _, ok := l.get(name); return ok }

// get returns the value of the named field, and whether the line has it.
func (l *Line) get(name string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == name {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// missing returns the error for a required field that the line does not have, or for a required text that is empty.
func (l *Line) missing(name string) error {
	return fmt.Errorf("%s: field %s %w", l.Name, name, ErrMissing)
}

// InvalidField returns the error for a field whose value is invalid.
func (l *Line) InvalidField(name, value string) error {
	return fmt.Errorf("%s: field %s %w: %q", l.Name, name, ErrInvalid, value)
}

// Text returns a required text, which must not be empty.
func (l *Line) Text(name string) (string, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return "", l.missing(name)
	}
	return v, nil
}

// Int returns a required integer.
func (l *Line) Int(name string) (int, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptionalInt(name)
}

// OptionalInt returns an integer, or 0 if the field is missing.
func (l *Line) OptionalInt(name string) (int, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, l.InvalidField(name, v)
	}
	return n, nil
}

// Uint returns a required unsigned integer of up to 64 bits.
func (l *Line) Uint(name string) (uint64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, l.missing(name)
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, l.InvalidField(name, v)
	}
	return n, nil
}

// Float returns a required number.
func (l *Line) Float(name string) (float64, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptionalFloat(name)
}

// OptionalFloat returns a number, or 0 if the field is missing.
func (l *Line) OptionalFloat(name string) (float64, error) {
	v, ok := l.get(name)
	if !ok {
		return 0, nil
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxNumber {
		return 0, l.InvalidField(name, v)
	}
	return x, nil
}

// OptionalBool returns a boolean (0 or 1), or false if the field is missing.
func (l *Line) OptionalBool(name string) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "0" {
		return false, nil
	}
	if v != "1" {
		return false, l.InvalidField(name, v)
	}
	return true, nil
}

// Hex returns the bytes that a required field holds in hexadecimal.
func (l *Line) Hex(name string) ([]byte, error) {
	v, ok := l.get(name)
	if !ok {
		return nil, l.missing(name)
	}
	if v == emptyBytes {
		return nil, nil
	}
	b, err := hex.DecodeString(v)
	if err != nil {
		return nil, l.InvalidField(name, v)
	}
	return b, nil
}

// Pairs calls visit for each name:value pair of an optional field, and reports whether the field has any pairs. It may
// have called visit for some pairs before it returns an error.
func (l *Line) Pairs(name string, visit func(name string, value float64)) (bool, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return false, nil
	}
	for part := range strings.SplitSeq(v, ",") {
		key, text, ok := strings.Cut(part, ":")
		value, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			return false, l.InvalidField(name, v)
		}
		visit(key, value)
	}
	return true, nil
}

// Writer writes replies. Begin starts a line; Text, ID, Int, Float and Hex add fields to it; End finishes it. Flush
// finishes the reply.
type Writer struct {
	buffered *bufio.Writer
	line     []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(w, writeBufferSize)}
}

// Begin starts a line with a message name and the number of the gateway instance.
func (w *Writer) Begin(name string, instance int) *Writer {
	w.line = append(append(w.line[:0], name...), "\ti="...)
	w.line = strconv.AppendInt(w.line, int64(instance), 10)
	return w
}

// beginField appends a field's name to the line. The caller appends the value.
func (w *Writer) beginField(name string) {
	w.line = append(append(append(w.line, '\t'), name...), '=')
}

var whitespaceReplacer = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Text adds a text field. Line breaks and tabs become spaces because they would end the line or the field.
func (w *Writer) Text(name, v string) *Writer {
	w.beginField(name)
	w.line = append(w.line, whitespaceReplacer.Replace(v)...)
	return w
}

// ID adds a text field without replacing any characters. The text must not contain line breaks or tabs.
func (w *Writer) ID(name, v string) *Writer {
	w.beginField(name)
	w.line = append(w.line, v...)
	return w
}

// Int adds an integer field.
func (w *Writer) Int(name string, v int64) *Writer {
	w.beginField(name)
	w.line = strconv.AppendInt(w.line, v, 10)
	return w
}

// Float adds a number with 6 decimals. For a time in seconds, the resolution is 1 µs.
func (w *Writer) Float(name string, v float64) *Writer {
	w.beginField(name)
	w.line = strconv.AppendFloat(w.line, v, 'f', 6, 64)
	return w
}

// Hex adds a byte field in hexadecimal.
func (w *Writer) Hex(name string, v []byte) *Writer {
	w.beginField(name)
	if len(v) == 0 {
		w.line = append(w.line, emptyBytes...)
	}
	w.line = hex.AppendEncode(w.line, v)
	return w
}

// End finishes the line.
func (w *Writer) End() {
	w.line = append(w.line, '\n')
	_, _ = w.buffered.Write(w.line) // Flush returns the first error of the buffer
}

// Flush finishes the reply and writes it to the underlying writer. It returns the first write error of the Writer.
func (w *Writer) Flush() error {
	_, _ = w.buffered.WriteString(endOfReply) // an error is returned below
	return w.buffered.Flush()
}
