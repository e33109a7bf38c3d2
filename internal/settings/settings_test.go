package settings

import (
	"math"
	"strings"
	"testing"
	"time"

	"reedlead/policy"
)

func TestParse(t *testing.T) {
	const text = `{"balancers":3,"me":1,"new":[1],"limits":{"connIdleS":15,"dialTimeoutS":0.25,"mostHeld":20000,"maxAttempts":5},
"profiles":[{"name":"send","aimS":1.5,"deadlineS":4,"effect":"fragile","worth":5}],
"packages":[{"name":"chaine","unitsPerS":30,"peakUnits":79,"hardRate":55,"capDepth":147,"ceilingSlack":15}]}`
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.GatewayCount != 3 || s.Self != 1 || s.ConnectionIdleTimeout != 15 || s.DialTimeout != 250*time.Millisecond || s.MaxOpenRequests != 20000 || s.MaxAttempts != 5 {
		t.Errorf("got settings %+v", s)
	}
	if len(s.Classes) != 1 || s.Classes[0].Idempotency != policy.NonIdempotent || len(s.Plans) != 1 || s.Plans[0].CeilingBurst != 147 {
		t.Errorf("got classes %+v and plans %+v", s.Classes, s.Plans)
	}
	for want, change := range map[string][2]string{
		`unknown effect "mild"`: {"fragile", "mild"},
		`unknown keyScope`:      {`"worth":5`, `"keyScope":"street"`},
		"unexpected end":        {text, "{"},
	} {
		if _, err := Parse([]byte(strings.Replace(text, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %q", err, want)
		}
	}
}

// TestSecondsKeepTheirSign checks that a dial timeout does not overflow when it is converted to a duration, and that a
// positive one does not round to 0. A gateway starts only if its dial timeout is above 0.
func TestSecondsKeepTheirSign(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"0":      0,
		"0.25":   250 * time.Millisecond,
		"1e-10":  time.Nanosecond,
		"1e10":   math.MaxInt64,
		"-1":     -time.Second,
		"-1e300": math.MinInt64,
	} {
		s, err := Parse([]byte(`{"limits":{"dialTimeoutS":` + text + `}}`))
		if err != nil || s.DialTimeout != want {
			t.Errorf("dial timeout of %s s: got %v, %v, want %v", text, s.DialTimeout, err, want)
		}
	}
}

func TestSetLoadByName(t *testing.T) {
	l := EmptyLoadReport
	for i, name := range []string{"busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps", "new"} {
		SetLoadValue(&l, name, float64(i))
	}
	if l != (policy.LoadReport{InFlight: 0, Queued: 1, Utilization: 2, ServiceTimeMS: 3, ServedPerS: 4, FailedPerS: 5}) {
		t.Errorf("got load report %+v", l)
	}
}
