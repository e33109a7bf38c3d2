// Command knownred reads KNOWN-RED.txt, which lists the tests that fail for a fault that is known and not fixed yet,
// and the names of all tests from standard input. It prints the pattern by which go test skips exactly these, and on
// standard error what is skipped and why.
//
// A line of the file is a test's name, the cause and the issue, with a bar between them:
//
//	TestName | what is wrong | 8
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// maxKnownRed is how many tests may be listed; with more of them some have to be fixed first.
const maxKnownRed = 3

// Errors of the list.
var (
	errMalformedEntry = errors.New("want a test's name, the cause and the issue, with bars between them")
	errUnknownTest    = errors.New("there is no test")
	errDuplicateTest  = errors.New("is listed twice")
	errTooMany        = errors.New("too many tests are listed")
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE, with the names of all tests on standard input")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run writes the pattern for the list in a file to out, and what is skipped to log.
func run(path string, names io.Reader, out, log io.Writer) error {
	list, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	tests, err := readLines(names)
	if err != nil {
		return err
	}
	entries, err := parseList(string(list), tests)
	if err != nil {
		return err
	}
	var skipped []string
	for _, e := range entries {
		skipped = append(skipped, e.test)
		if _, err := fmt.Fprintf(log, "known red, skipped: %s (issue %s): %s\n", e.test, e.issue, e.cause); err != nil {
			return err
		}
	}
	if len(skipped) == 0 {
		return nil
	}
	_, err = fmt.Fprintf(out, "^(%s)$\n", strings.Join(skipped, "|"))
	return err
}

func readLines(r io.Reader) (lines []string, err error) {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	return lines, scanner.Err()
}

// knownRed is an entry of the list.
type knownRed struct{ test, cause, issue string }

var entryFormat = regexp.MustCompile(`^(Test\w+) \| (\S.*) \| (\d+)$`)

// parseList reads the list, each of whose entries must name one of the tests.
func parseList(list string, tests []string) ([]knownRed, error) {
	var entries []knownRed
	for i, line := range strings.Split(list, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		number := i + 1
		match := entryFormat.FindStringSubmatch(line)
		if match == nil {
			return nil, fmt.Errorf("line %d: %w", number, errMalformedEntry)
		}
		entry := knownRed{test: match[1], cause: match[2], issue: match[3]}
		if !slices.Contains(tests, entry.test) {
			return nil, fmt.Errorf("line %d: %w %s", number, errUnknownTest, entry.test)
		}
		if slices.ContainsFunc(entries, func(e knownRed) bool { return e.test == entry.test }) {
			return nil, fmt.Errorf("line %d: %s %w", number, entry.test, errDuplicateTest)
		}
		entries = append(entries, entry)
	}
	if len(entries) > maxKnownRed {
		return nil, fmt.Errorf("%w: %d, %d at most", errTooMany, len(entries), maxKnownRed)
	}
	return entries, nil
}
