package main

import (
	"strings"
	"testing"
)

// logFormat holds the log lines that the tests need, as one version of the gateway writes them. Placeholders: %T attempt
// number, %E idempotency, %Z zone, %A time, %L whether the client had disconnected, %S status, %W kind of reply.
type logFormat struct {
	sent, ended, completed string
	// The values for the three kinds of idempotency, and the status of an attempt that the endpoint rejected.
	idempotent, key, nonIdempotent, rejected string
}

var formats = map[string]logFormat{
	"present version": {
		sent: `0.1 time=x level=DEBUG msg="attempt sent" gateway=n0 id=a attempt=%T kind=first class=c ` +
			"idempotency=%E dedup_scope=cell idempotency_window=1 endpoint=s1 zone=%Z cell=2 endpoint_started=0 " +
			"arrived=100 write_started=%A at=%A client_closed=%L\n",
		ended:      `0.2 time=x level=DEBUG msg="attempt ended" gateway=n0 id=a attempt=0 status=%S at=%A` + "\n",
		completed:  `0.3 level=DEBUG msg="request completed" id=a reply=%W at=102` + "\n",
		idempotent: "idempotent", key: "idempotency_key", nonIdempotent: "non_idempotent", rejected: "rejected",
	},
	"previous version": {
		sent: "0.1 time=x level=DEBUG msg=sent ingress=n0 id=a try=%T class=c effect=%E scope=cell ttl=1 " +
			"backend=s1 zone=%Z cell=2 started=0 read=100 from=%A at=%A left=%L\n",
		ended:      "0.2 time=x level=DEBUG msg=ended ingress=n0 id=a try=0 status=%S at=%A\n",
		completed:  "0.3 level=DEBUG msg=answered id=a word=%W at=102\n",
		idempotent: "safe", key: "keyed", nonIdempotent: "unsafe", rejected: "full",
	},
}

// sentLine returns the line of a sent attempt. pairs holds placeholders, each followed by its value. The other
// placeholders get default values.
func (f logFormat) sentLine(pairs ...string) string {
	defaults := []string{"%T", "0", "%E", f.key, "%Z", "a", "%A", "100", "%L", "false"}
	return strings.NewReplacer(append(pairs, defaults...)...).Replace(f.sent)
}

// endedLine returns the line that reports the outcome of attempt 0.
func (f logFormat) endedLine(status, at string) string {
	return strings.NewReplacer("%S", status, "%A", at).Replace(f.ended)
}

func (f logFormat) completedLine(reply string) string {
	return strings.Replace(f.completed, "%W", reply, 1)
}

// TestAuditReportsViolations checks that the audit reports the violation in each log that has one, and none for the
// other logs. Each case runs with the log lines of the present and of the previous version of the gateway.
func TestAuditReportsViolations(t *testing.T) {
	for version, f := range formats {
		for name, tc := range map[string]struct{ log, want string }{
			"one attempt":                  {f.sentLine(), ""},
			"retry within the window":      {f.sentLine() + f.sentLine("%T", "1", "%A", "100.9"), ""},
			"retry after the window":       {f.sentLine() + f.sentLine("%T", "1", "%A", "101.25"), "0.250 s after the idempotency window"},
			"retry in another dedup group": {f.sentLine() + f.sentLine("%T", "1", "%Z", "b"), "outside the dedup group"},
			"window starts at the first attempt that may have executed": {
				f.sentLine() + f.endedLine(f.rejected, "100.1") +
					f.sentLine("%T", "1", "%A", "100.5") + f.sentLine("%T", "2", "%A", "101.25"), "",
			},
			"non-idempotent after an error": {
				f.sentLine("%E", f.nonIdempotent) + f.endedLine("error", "100.1") +
					f.sentLine("%E", f.nonIdempotent, "%T", "1", "%A", "100.2"), "must not execute twice",
			},
			"non-idempotent after a rejection": {
				f.sentLine("%E", f.nonIdempotent) + f.endedLine(f.rejected, "100.1") +
					f.sentLine("%E", f.nonIdempotent, "%T", "1", "%A", "100.2"), "",
			},
			"non-idempotent before the rejection": {
				f.sentLine("%E", f.nonIdempotent) + f.sentLine("%E", f.nonIdempotent, "%T", "1", "%A", "100.2") +
					f.endedLine(f.rejected, "100.3"), "must not execute twice",
			},
			"idempotent": {f.sentLine("%E", f.idempotent) + f.sentLine("%E", f.idempotent, "%T", "1", "%A", "109"), ""},
			"rejected though it may have executed": {
				f.sentLine() + f.endedLine("reset", "100.1") + f.completedLine("BUS"), "rejected at 102.000",
			},
			"rejected without having executed": {
				f.sentLine() + f.endedLine(f.rejected, "100.1") + f.completedLine("BUS"), "",
			},
			"attempt after the final reply": {f.completedLine("value") + f.sentLine(), "after the final reply"},
		} {
			t.Run(version+"/"+name, func(t *testing.T) {
				a := newAudit()
				if err := a.read("n0.log", strings.NewReader(tc.log)); err != nil {
					t.Fatal(err)
				}
				got := strings.Join(a.violations, "\n")
				if (tc.want == "") != (got == "") || !strings.Contains(got, tc.want) {
					t.Errorf("got violations %q, want %q", got, tc.want)
				}
			})
		}
	}
}

// TestAttemptsForDisconnectedClientsAreCounted checks that the report counts retries, and attempts whose client had
// closed its connection when they were logged, and gives the longest time from a request's arrival to the start of
// writing such an attempt. It runs with the log lines of both versions of the gateway.
func TestAttemptsForDisconnectedClientsAreCounted(t *testing.T) {
	for version, f := range formats {
		t.Run(version, func(t *testing.T) {
			a := newAudit()
			log := f.sentLine() + f.sentLine("%T", "1", "%A", "100.5", "%L", "true")
			if err := a.read("n0.log", strings.NewReader(log)); err != nil {
				t.Fatal(err)
			}
			for _, want := range []string{"disconnected clients: 1, 0.500 s", "attempts 2, of them retries 1"} {
				if got := a.report(); !strings.Contains(got, want) {
					t.Errorf("got report %q, want it to contain %q", got, want)
				}
			}
		})
	}
}

// TestParseLine checks that a quoted value may contain spaces, that a value may contain '=' or be empty, and that a word
// without a value is skipped.
func TestParseLine(t *testing.T) {
	values := parseLine(`0.1 level=DEBUG msg="request completed" id=a=b reason="" word` + "\n")
	want := logValues{"level": "DEBUG", "msg": "request completed", "id": "a=b", "reason": ""}
	if len(values) != len(want) {
		t.Errorf("got values %v, want %v", values, want)
	}
	for key, value := range want {
		if values[key] != value {
			t.Errorf("value of %s: got %q, want %q", key, values[key], value)
		}
	}
}
