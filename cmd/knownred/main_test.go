package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestListOfKnownRedTests checks the pattern and the log for valid lists. It also checks that a malformed entry, an
// unknown or repeated test, and too many tests give an error.
func TestListOfKnownRedTests(t *testing.T) {
	const names = "TestA\nTestB\nTestC\nTestD\nok  	some/package	0.1s\n"
	for name, tc := range map[string]struct{ file, out, log, err string }{
		"empty list":          {"\n\n", "", "", ""},
		"one":                 {"TestA | go test ./a, seed 7 | it is late | 8\n", "^(TestA)$\n", "known red, skipped: TestA (issue 8; go test ./a, seed 7): it is late\n", ""},
		"three":               {"TestA | c | x | 8\n\nTestB | c | y | 8\nTestC | c | z | 9", "^(TestA|TestB|TestC)$\n", "TestC (issue 9; c): z", ""},
		"four":                {"TestA | c | x | 8\nTestB | c | x | 8\nTestC | c | x | 8\nTestD | c | x | 8\n", "", "", "too many tests listed: 4, at most 3 allowed"},
		"no issue":            {"TestA | c | x\n", "", "", "line 1: want"},
		"nothing seen":        {"TestA | c |  | 8\n", "", "", "line 1: want"},
		"no command":          {"TestA | x | 8\n", "", "", "line 1: want"},
		"a pattern":           {"Test.* | c | x | 8\n", "", "", "line 1: want"},
		"a prefix":            {"Test | c | x | 8\n", "", "", "line 1: want"},
		"a subtest":           {"TestA/b | c | x | 8\n", "", "", "line 1: want"},
		"unknown":             {"\nTestE | c | x | 8\n", "", "", "line 2: unknown test TestE"},
		"a longer name":       {"TestAB | c | x | 8\n", "", "", "unknown test TestAB"},
		"the same test twice": {"TestA | c | x | 8\nTestA | c | x | 8\n", "", "", "line 2: TestA is already listed"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(path, []byte(tc.file), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, log strings.Builder
			err := run(path, strings.NewReader(names), &out, &log)
			if (err == nil) != (tc.err == "") || err != nil && !strings.Contains(err.Error(), tc.err) {
				t.Errorf("got error %v, want one with %q", err, tc.err)
			}
			if out.String() != tc.out || !strings.Contains(log.String(), tc.log) {
				t.Errorf("got pattern %q and log %q", out.String(), log.String())
			}
		})
	}
}
