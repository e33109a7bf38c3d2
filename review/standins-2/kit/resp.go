// Package kit holds the stand-ins of the second review: clients, endpoints, a discovery agent and the platform that
// starts the gateways. It uses the standard library and loopback addresses only.
package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

var errFrame = errors.New("malformed RESP")

// Command encodes a command as an array of bulk strings.
func Command(words ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(b.String())
}

// readLine reads one line without its end.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// readBulk reads a bulk string. null reports a null one.
func readBulk(r *bufio.Reader) (value string, null bool, err error) {
	line, err := readLine(r)
	if err != nil {
		return "", false, err
	}
	if line == "" || line[0] != '$' {
		return "", false, fmt.Errorf("%w: %.40q", errFrame, line)
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil {
		return "", false, err
	}
	if size < 0 {
		return "", true, nil
	}
	b := make([]byte, size+2)
	if _, err = io.ReadFull(r, b); err != nil {
		return "", false, err
	}
	return string(b[:size]), false, nil
}

// ReadCommand reads one command.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	if line == "" || line[0] != '*' {
		return nil, fmt.Errorf("%w: %.40q", errFrame, line)
	}
	count, err := strconv.Atoi(line[1:])
	if err != nil {
		return nil, err
	}
	var words []string
	for range count {
		word, _, err := readBulk(r)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// Reply is an answer that a client read.
type Reply struct {
	Kind  byte   // the first byte: '$' a value, '-' an error or a refusal, '+' a status
	Text  string // the value, or the text behind the first byte
	Whole bool
}

// Served, Refused report the meaning of an answer.
func (r Reply) Served() bool { return r.Kind == '$' }

func (r Reply) Refused() bool {
	return r.Kind == '-' && (r.Text == "BUSY" || strings.HasPrefix(r.Text, "BUSY "))
}

// Meaning is the meaning of an answer to a client.
func (r Reply) Meaning() string {
	switch {
	case r.Served():
		return "served"
	case r.Refused():
		return "refused"
	}
	return "failed"
}

// ReadReply reads one answer of an ingress.
func ReadReply(r *bufio.Reader) (Reply, error) {
	first, err := r.Peek(1)
	if err != nil {
		return Reply{}, err
	}
	if first[0] == '$' {
		value, null, err := readBulk(r)
		if err != nil {
			return Reply{}, err
		}
		if null {
			return Reply{Kind: '_', Whole: true}, nil
		}
		return Reply{Kind: '$', Text: value, Whole: true}, nil
	}
	line, err := readLine(r)
	if err != nil || line == "" {
		return Reply{}, err
	}
	return Reply{Kind: line[0], Text: line[1:], Whole: true}, nil
}

// Fields parses the list of names and values of a request.
func Fields(list string) map[string]string {
	fields := map[string]string{}
	for part := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(part, "=")
		fields[name] = value
	}
	return fields
}
