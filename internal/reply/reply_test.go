package reply

import (
	"testing"

	"reedlead/internal/resp"
	"reedlead/policy"

	"github.com/tidwall/redcon"
)

// TestParse checks that an invalid load report is dropped but the value before it is kept, that only the error code BUSY
// counts as a rejection, and that a malformed reply gives an error.
func TestParse(t *testing.T) {
	const noLoad = -1.0
	for text, want := range map[string]struct {
		status      policy.AttemptStatus
		utilization float64
		malformed   bool
	}{
		"*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n":           {status: policy.OK, utilization: 0.25},
		"*3\r\n$1\r\nv\r\n$3\r\n\x00?!\r\n$-1\r\n":                    {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n:7\r\n$3\r\n\x00?!\r\n":                     {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=1e8\r\n":            {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n$-1\r\n$13\r\ncpu_share=NaN\r\n":            {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n$-1\r\n$12\r\ncpu_share=-1\r\n":             {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n$-1\r\n$24\r\ncpu_share=0.5,svc_ms=1e9\r\n": {status: policy.OK, utilization: noLoad},
		"*3\r\n$1\r\nv\r\n$-1\r\n$0\r\n\r\n":                          {status: policy.OK, utilization: noLoad},
		"*3\r\n:1\r\n$-1\r\n$-1\r\n":                                  {malformed: true},
		"*0\r\n":                                                      {malformed: true},
		"+OK\r\n":                                                     {malformed: true},
		"-BUSY cpu_share=0.5\r\n":                                     {status: policy.Rejected, utilization: 0.5},
		"-BUSYNESS\r\n":                                               {status: policy.Error, utilization: noLoad},
	} {
		if n, err := resp.ReplySize([]byte(text)); n != len(text) || err != nil {
			t.Fatalf("%q: ReplySize returns %d, %v", text, n, err)
		}
		got, err := Parse([]byte(text))
		if want.malformed {
			if err == nil || got.Value != nil || got.Load != nil {
				t.Errorf("%q: got %+v, %v, want an error", text, got, err)
			}
			continue
		}
		utilization := noLoad
		if got.Load != nil {
			utilization = got.Load.Utilization
		}
		hasValue := got.Value != nil
		if err != nil || got.Status != want.status || utilization != want.utilization || hasValue != (want.status == policy.OK) {
			t.Errorf("%q: got %+v, utilization %v, %v", text, got, utilization, err)
		}
	}
}

// FuzzParse checks that no input makes the parser panic, which would end the process. It also checks that every value is
// exactly one non-null bulk string, and that the utilization and service time of a load report do not exceed their upper
// bounds.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "*3\r\n$1\r\nv\r\n$-1\r\n$14\r\ncpu_share=0.25\r\n", "-BUSY\r\n", "-ERR failed cpu_share=1\r\n",
		"$3\r\na=1\r\n", "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*0\r\n", "*3\r\n$3000000000\r\n", ":12\r\n", ":-\r\n", "+OK\r\n", "\x00", "$-1\r\n",
		"*-1\r\n", ":+1\r\n", ":00\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := resp.ReplySize(b)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("ReplySize returns %d for %d bytes, %v", n, len(b), err)
		}
		if n == 0 {
			return
		}
		got, err := Parse(b[:n])
		if err == nil && got.Status == policy.OK && !got.HealthCheck {
			m, value := redcon.ReadNextRESP(got.Value)
			if m != len(got.Value) || value.Type != redcon.Bulk || value.Data == nil {
				t.Fatalf("%q gives the value %q", b[:n], got.Value)
			}
		}
		if load := got.Load; load != nil && !(load.Utilization <= MaxUtilization && load.ServiceTimeMS <= MaxLoadValue) {
			t.Fatalf("load report out of range: %+v", load)
		}
	})
}
