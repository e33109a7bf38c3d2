// Command knownred reads the file that its argument names, a list of tests that fail because of a known fault. It reads
// the names of all tests from standard input. To standard output, it prints a pattern for go test -skip that matches
// exactly the listed tests, or nothing if the list is empty. To standard error, it prints the skipped tests and why they
// fail.
//
// A line of the file holds a test name, the command that runs it with its seed, what was seen, and the issue number,
// separated by " | ":
//
//	TestName | go test ./package -run TestName, seed 7 | what was seen | 8
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

// maxKnownRed is the maximum number of listed tests. When it is reached, a test must be fixed before another is listed.
const maxKnownRed = 3

// Errors in the list.
var (
	errMalformedEntry = errors.New(`want "TestName | command and seed | what was seen | issue number"`)
	errUnknownTest    = errors.New("unknown test")
	errDuplicateTest  = errors.New("is already listed")
	errTooMany        = errors.New("too many tests listed")
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

// run reads the list at path and the test names from names. It writes the skip pattern to out and the skipped tests to
// log. If the list is empty, it writes nothing.
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
		if _, err := fmt.Fprintf(log, "known red, skipped: %s (issue %s; %s): %s\n", e.test, e.issue, e.command, e.seen); err != nil {
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

// knownRed is an entry of the list: a test, the command that runs it with its seed, what was seen when it failed, and the
// number of the issue.
type knownRed struct{ test, command, seen, issue string }

var entryFormat = regexp.MustCompile(`^(Test\w+) \| (\S.*?) \| (\S.*) \| (\d+)$`)

// parseList parses the list. Each entry must name one of tests, no test may be listed twice, and there may be at most
// maxKnownRed entries.
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
		entry := knownRed{test: match[1], command: match[2], seen: match[3], issue: match[4]}
		if !slices.Contains(tests, entry.test) {
			return nil, fmt.Errorf("line %d: %w %s", number, errUnknownTest, entry.test)
		}
		if slices.ContainsFunc(entries, func(e knownRed) bool { return e.test == entry.test }) {
			return nil, fmt.Errorf("line %d: %s %w", number, entry.test, errDuplicateTest)
		}
		entries = append(entries, entry)
	}
	if len(entries) > maxKnownRed {
		return nil, fmt.Errorf("%w: %d, at most %d allowed", errTooMany, len(entries), maxKnownRed)
	}
	return entries, nil
}
