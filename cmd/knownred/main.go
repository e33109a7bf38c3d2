// Command knownred reads KNOWN-RED.txt, which lists the tests that fail for a fault that is known and not
// mended yet, and the names of all tests from standard input. It prints the pattern by which go test passes
// over just these, and on standard error what is passed over and why.
//
// A line of the file is a test's name, the cause and the issue, with a bar between them:
//
//	TestName | what is wrong | 8
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
)

// most tests may be red; more than that have to be mended first.
const most = 3

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred FILE, with the names of all tests on standard input")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err == nil {
		err = run(string(text), os.Stdin, os.Stdout, os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

var entry = regexp.MustCompile(`^(Test\w+) \| (\S.*) \| (\d+)$`)

func run(text string, names io.Reader, out, log io.Writer) error {
	var all []string
	for lines := bufio.NewScanner(names); lines.Scan(); {
		all = append(all, lines.Text())
	}
	var red []string
	for n, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		m := entry.FindStringSubmatch(line)
		switch {
		case m == nil:
			return fmt.Errorf("line %d: want a test's name, the cause and the issue, with bars between them", n+1)
		case !slices.Contains(all, m[1]):
			return fmt.Errorf("line %d: there is no test %s", n+1, m[1])
		case slices.Contains(red, m[1]):
			return fmt.Errorf("line %d: %s is listed twice", n+1, m[1])
		}
		red = append(red, m[1])
		fmt.Fprintf(log, "known red, passed over: %s (issue %s): %s\n", m[1], m[3], m[2])
	}
	if len(red) > most {
		return fmt.Errorf("%d tests are listed, %d at most", len(red), most)
	}
	if len(red) > 0 {
		fmt.Fprintf(out, "^(%s)$\n", strings.Join(red, "|"))
	}
	return nil
}
