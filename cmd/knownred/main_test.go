package main

import (
	"strings"
	"testing"
)

// Guards against a list that passes over more than it names, or more than is allowed, and against one that
// nobody can read.
func TestKnownRed(t *testing.T) {
	const names = "TestA\nTestB\nTestC\nTestD\nok  	some/package	0.1s\n"
	for name, tc := range map[string]struct{ file, out, log, err string }{
		"nothing":        {"\n\n", "", "", ""},
		"one":            {"TestA | it is late | 8\n", "^(TestA)$\n", "known red, passed over: TestA (issue 8): it is late\n", ""},
		"three":          {"TestA | x | 8\n\nTestB | y | 8\nTestC | z | 9", "^(TestA|TestB|TestC)$\n", "TestC (issue 9): z", ""},
		"four":           {"TestA | x | 8\nTestB | x | 8\nTestC | x | 8\nTestD | x | 8\n", "", "", "4 tests are listed, 3 at most"},
		"no issue":       {"TestA | x\n", "", "", "line 1: want"},
		"no cause":       {"TestA |  | 8\n", "", "", "line 1: want"},
		"a pattern":      {"Test.* | x | 8\n", "", "", "line 1: want"},
		"a part":         {"Test | x | 8\n", "", "", "line 1: want"},
		"a subtest":      {"TestA/b | x | 8\n", "", "", "line 1: want"},
		"unknown":        {"\nTestE | x | 8\n", "", "", "line 2: there is no test TestE"},
		"a longer name":  {"TestAB | x | 8\n", "", "", "there is no test TestAB"},
		"twice the same": {"TestA | x | 8\nTestA | x | 8\n", "", "", "line 2: TestA is listed twice"},
	} {
		var out, log strings.Builder
		err := run(tc.file, strings.NewReader(names), &out, &log)
		if (err == nil) != (tc.err == "") || err != nil && !strings.Contains(err.Error(), tc.err) {
			t.Errorf("%s: got error %v, want %q", name, err, tc.err)
		}
		if out.String() != tc.out || !strings.Contains(log.String(), tc.log) {
			t.Errorf("%s: got %q and %q", name, out.String(), log.String())
		}
	}
}
