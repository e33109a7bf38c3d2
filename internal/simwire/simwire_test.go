package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// read parses the lines of a text up to the first error, which is io.EOF at the end of the text.
func read(t *testing.T, text string) (lines []*Line, err error) {
	t.Helper()
	for r := NewReader(strings.NewReader(text)); ; {
		l := &Line{}
		if err = r.Next(l); err != nil {
			return lines, err
		}
		lines = append(lines, l)
	}
}

// TestLines checks that lines are split into fields at tabs, that the settings field extends to the end of the line, and
// that malformed lines give an error. It includes a value longer than the read buffer and a last line without a newline.
func TestLines(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	lines, err := read(t, "CLOCK\ttimeS=8.5\r\nENLIST\ti=3\tsettings={\"a\":\"b=c\td\"}\nEMIT\tmsg="+long+"\nYOUR_TURN")
	if !errors.Is(err, io.EOF) || len(lines) != 4 {
		t.Fatalf("got %d lines, %v, want 4 lines and EOF", len(lines), err)
	}
	if at, err := lines[0].Float("timeS"); lines[0].Name != "CLOCK" || at != 8.5 || err != nil {
		t.Errorf("first line: got %+v, %v, want CLOCK with timeS 8.5", lines[0], err)
	}
	if text, err := lines[1].Text("settings"); text != "{\"a\":\"b=c\td\"}" || err != nil {
		t.Errorf("field settings: got %q, %v, want the rest of the line", text, err)
	}
	if text, _ := lines[2].Text("msg"); text != long {
		t.Errorf("a value longer than the read buffer is read as %d bytes", len(text))
	}
	if lines[3].Name != "YOUR_TURN" || lines[3].Has("i") {
		t.Errorf("last line: got %+v, want YOUR_TURN without fields", lines[3])
	}
	for _, bad := range []string{"\ti=1\n", "CLOCK\ttimeS\n", "CLOCK\t=1\n"} {
		if _, err := read(t, bad); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("malformed line %q is accepted", bad)
		}
	}
}

// TestFields checks the values of fields, and that missing and invalid fields give an error.
func TestFields(t *testing.T) {
	lines, _ := read(t, "X\tn=7\tbig=9223372036854775808\tx=1.5\tyes=1\tno=0\tdata=00ff\tnone=-\tload=a:1,b:2.5\tbad=z\n")
	l := lines[0]
	if n, err := l.Int("n"); n != 7 || err != nil {
		t.Errorf("Int: got %d, %v, want 7", n, err)
	}
	if n, err := l.Uint("big"); n != 1<<63 || err != nil {
		t.Errorf("Uint: got %d, %v, want 1<<63", n, err)
	}
	if x, err := l.OptionalFloat("x"); x != 1.5 || err != nil {
		t.Errorf("OptionalFloat: got %v, %v, want 1.5", x, err)
	}
	if yes, err := l.OptionalBool("yes"); !yes || err != nil {
		t.Errorf("OptionalBool of 1: got %v, %v, want true", yes, err)
	}
	if no, err := l.OptionalBool("no"); no || err != nil {
		t.Errorf("OptionalBool of 0: got %v, %v, want false", no, err)
	}
	if b, err := l.Hex("data"); !bytes.Equal(b, []byte{0, 255}) || err != nil {
		t.Errorf("Hex: got %x, %v, want 00ff", b, err)
	}
	if b, err := l.Hex("none"); len(b) != 0 || err != nil {
		t.Errorf("Hex of an empty field: got %x, %v, want no bytes", b, err)
	}
	sum := 0.0
	if has, err := l.Pairs("load", func(_ string, v float64) { sum += v }); !has || sum != 3.5 || err != nil {
		t.Errorf("Pairs: got %v, sum %v, %v, want true, sum 3.5", has, sum, err)
	}
	if n, err := l.OptionalInt("absent"); n != 0 || err != nil {
		t.Errorf("OptionalInt of a missing field: got %d, %v, want 0", n, err)
	}
	for name, err := range map[string]error{
		"Int of a missing field": second(l.Int("absent")), "Uint of a missing field": second(l.Uint("absent")),
		"Float of a missing field": second(l.Float("absent")), "Text of a missing field": second(l.Text("absent")),
		"Int": second(l.Int("bad")), "Uint": second(l.Uint("bad")), "Float": second(l.Float("bad")),
		"OptionalBool": second(l.OptionalBool("bad")), "Hex": second(l.Hex("bad")),
		"Pairs": second(l.Pairs("bad", func(string, float64) {})),
	} {
		if err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

func second[T any](_ T, err error) error { return err }

// TestWriter checks the encoding of each field type and the end of a reply.
func TestWriter(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	w.Begin("FORWARD", 3).ID("id", "q1").Text("backend", "10.0.0.1:80").Int("hop", 2).Float("withinS", 0.25).Hex("data", []byte{1, 255}).End()
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	if got, want := b.String(), "FORWARD\ti=3\tid=q1\tbackend=10.0.0.1:80\thop=2\twithinS=0.250000\tdata=01ff\nNEXT\n"; got != want {
		t.Errorf("wrote %q, want %q", got, want)
	}
}
