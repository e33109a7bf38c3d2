// Package simwire reads and writes the lines of the simulator's protocol: a message name and fields name=value,
// parted by tabs. It knows the form of lines, not their meaning.
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
	// maxNumber bounds numbers, in either direction.
	maxNumber = 1e18
	// emptyBytes stands for a field of no bytes.
	emptyBytes = "-"
	// endOfReply is the line that ends the reply to a batch.
	endOfReply = "NEXT\n"
	// restOfLineField is the field whose value runs to the end of its line, tabs included.
	restOfLineField = "settings"
)

// Errors of lines that can't be read, wrapped with the message and the field.
var (
	ErrMalformed = errors.New("malformed")
	ErrMissing   = errors.New("is missing")
	ErrInvalid   = errors.New("cannot be read")
)

// Line is one message: a name and its fields in the order in which they came.
type Line struct {
	Name   string
	fields []field
}

// field is one field of a line, with its value as on the wire.
type field struct{ name, value string }

// Reader reads lines.
type Reader struct {
	buffered *bufio.Reader
	longLine []byte // holds a line that is longer than the buffer
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReaderSize(r, readBufferSize)} }

// Next reads the next line into l. It returns io.EOF at the end of the input.
func (r *Reader) Next(l *Line) error {
	raw, err := r.readLine()
	if err != nil && (!errors.Is(err, io.EOF) || len(raw) == 0) {
		return err
	}
	return l.parse(string(bytes.TrimRight(raw, "\r\n")))
}

// readLine returns the next line, which lasts until the next call. At the end of the input it returns what is left
// with io.EOF.
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

// Has tells whether the field came with the line.
func (l *Line) Has(name string) bool { _, ok := l.get(name); return ok }

// get returns the value of a field, and false if the line has none of the name.
func (l *Line) get(name string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == name {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// missing is the error of a field that the line lacks.
func (l *Line) missing(name string) error {
	return fmt.Errorf("%s: field %s %w", l.Name, name, ErrMissing)
}

// InvalidField is the error of a field whose value can't be read.
func (l *Line) InvalidField(name, value string) error {
	return fmt.Errorf("%s: field %s %w: %q", l.Name, name, ErrInvalid, value)
}

// Text returns a required text field.
func (l *Line) Text(name string) (string, error) {
	v, ok := l.get(name)
	if !ok || v == "" {
		return "", l.missing(name)
	}
	return v, nil
}

// Int returns a required whole number.
func (l *Line) Int(name string) (int, error) {
	if !l.Has(name) {
		return 0, l.missing(name)
	}
	return l.OptionalInt(name)
}

// OptionalInt returns a whole number, 0 where it was left off.
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

// Uint returns a required whole number of up to 64 bits.
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

// OptionalFloat returns a number, 0 where it was left off.
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

// OptionalBool returns a bool, false where it was left off.
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

// Hex returns a required field of bytes.
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

// Pairs calls do for each name:value of an optional field, and returns whether there is the field.
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

// Writer gathers the lines of one reply. A line is begun, gets its fields, and is ended before the next one is begun.
type Writer struct {
	buffered *bufio.Writer
	line     []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffered: bufio.NewWriterSize(w, writeBufferSize)}
}

// Begin starts a line for an instance.
func (w *Writer) Begin(name string, instance int) *Writer {
	w.line = append(append(w.line[:0], name...), "\ti="...)
	w.line = strconv.AppendInt(w.line, int64(instance), 10)
	return w
}

// beginField begins a field.
func (w *Writer) beginField(name string) {
	w.line = append(append(append(w.line, '\t'), name...), '=')
}

var whitespaceReplacer = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Text adds a text field; line breaks and tabs become blanks.
func (w *Writer) Text(name, v string) *Writer {
	w.beginField(name)
	w.line = append(w.line, whitespaceReplacer.Replace(v)...)
	return w
}

// ID adds a field whose text came from the wire and goes back as it was.
func (w *Writer) ID(name, v string) *Writer {
	w.beginField(name)
	w.line = append(w.line, v...)
	return w
}

// Int adds a whole number.
func (w *Writer) Int(name string, v int64) *Writer {
	w.beginField(name)
	w.line = strconv.AppendInt(w.line, v, 10)
	return w
}

// Float adds a number, to the microsecond.
func (w *Writer) Float(name string, v float64) *Writer {
	w.beginField(name)
	w.line = strconv.AppendFloat(w.line, v, 'f', 6, 64)
	return w
}

// Hex adds a field of bytes.
func (w *Writer) Hex(name string, v []byte) *Writer {
	w.beginField(name)
	if len(v) == 0 {
		w.line = append(w.line, emptyBytes...)
	}
	w.line = hex.AppendEncode(w.line, v)
	return w
}

// End ends the line.
func (w *Writer) End() {
	w.line = append(w.line, '\n')
	_, _ = w.buffered.Write(w.line) // the buffer keeps its first error for Flush
}

// Flush ends the reply and writes it. It returns the first error since the last Flush.
func (w *Writer) Flush() error {
	_, _ = w.buffered.WriteString(endOfReply) // see End
	return w.buffered.Flush()
}
