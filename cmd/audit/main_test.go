package main

import (
	"strings"
	"testing"
)

const sent = "0.1 time=x level=DEBUG msg=sent ingress=n0 id=a try=%T class=c effect=%E scope=cell ttl=1 backend=s1 " +
	"zone=%Z cell=2 started=0 read=100 from=%A at=%A left=%L\n"

// line fills in the words of a line of log, a pair of name and value each.
func line(pairs ...string) string {
	return strings.NewReplacer(append(pairs, "%T", "0", "%E", "keyed", "%Z", "a", "%A", "100", "%L", "false")...).Replace(sent)
}

func ended(try, status, at string) string {
	return "0.2 time=x level=DEBUG msg=ended ingress=n0 id=a try=" + try + " status=" + status + " at=" + at + "\n"
}

// Guards against breaks that the audit passes over, and against ones that it makes up.
func TestWhatMustNotRunAgain(t *testing.T) {
	answered := "0.3 level=DEBUG msg=answered id=a word=%W at=102\n"
	busy := strings.Replace(answered, "%W", "BUS", 1)
	for name, tc := range map[string]struct{ log, want string }{
		"one send":                {line(), ""},
		"again within the window": {line() + line("%T", "1", "%A", "100.9"), ""},
		"after the window":        {line() + line("%T", "1", "%A", "101.25"), "0.250 s after the key's window"},
		"the window counts from what may have run": {line() + ended("0", "full", "100.1") +
			line("%T", "1", "%A", "100.5") + line("%T", "2", "%A", "101.25"), ""},
		"another group":         {line() + line("%T", "1", "%Z", "b"), "another group"},
		"unsafe after an error": {line("%E", "unsafe") + ended("0", "error", "100.1") + line("%E", "unsafe", "%T", "1", "%A", "100.2"), "must not run twice"},
		"unsafe turned away":    {line("%E", "unsafe") + ended("0", "full", "100.1") + line("%E", "unsafe", "%T", "1", "%A", "100.2"), ""},
		"unsafe turned away too late": {line("%E", "unsafe") + line("%E", "unsafe", "%T", "1", "%A", "100.2") +
			ended("0", "full", "100.3"), "must not run twice"},
		"safe":                           {line("%E", "safe") + line("%E", "safe", "%T", "1", "%A", "109"), ""},
		"refused though it may have run": {line() + ended("0", "reset", "100.1") + busy, "refused at 102.000"},
		"refused where nothing has":      {line() + ended("0", "full", "100.1") + busy, ""},
		"after the final answer":         {strings.Replace(answered, "%W", "value", 1) + line(), "after the final answer"},
	} {
		a := newAudit()
		if err := a.read("n0.log", strings.NewReader(tc.log)); err != nil {
			t.Fatal(err)
		}
		got := strings.Join(a.breaks, "\n")
		if (tc.want == "") != (got == "") || !strings.Contains(got, tc.want) {
			t.Errorf("%s: got %q, want %q", name, got, tc.want)
		}
	}
}

// Guards against sends for clients that had left which are not counted.
func TestSendsForWhoHasLeftAreCounted(t *testing.T) {
	a := newAudit()
	if err := a.read("n0.log", strings.NewReader(line()+line("%T", "1", "%A", "100.5", "%L", "true"))); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if a.report(&out); !strings.Contains(out.String(), "left: 1, 0.500 s") || !strings.Contains(out.String(), "sends 2, of them again 1") {
		t.Errorf("got %q", out.String())
	}
}
