package policy

import (
	"math"
	"testing"
)

func TestLatencyFactorByOutcome(t *testing.T) {
	for name, tc := range map[string]struct {
		status AttemptStatus
		ratio  float64
		want   float64
	}{
		"a reply in the mean time":       {OK, 1, 1},
		"a fast reply":                   {OK, 0.5, 0.95},
		"a slow reply":                   {OK, 2, 1.1},
		"a very slow reply":              {OK, 100, 1.3},
		"a timeout":                      {Timeout, 1, 1.45},
		"an error":                       {Error, 100, 1},
		"a rejection, however fast":      {Rejected, 0.01, 1},
		"a connection that was not made": {ConnectFailed, 0.01, 1},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(1, 1, 0)
			if e.observeLatency(tc.status, tc.ratio); math.Abs(e.latencyFactor-tc.want) > 1e-9 {
				t.Errorf("the factor is %v, want %v", e.latencyFactor, tc.want)
			}
		})
	}
}

func TestMeanInFlightDecays(t *testing.T) {
	e := newEndpoint(1, 1, 0)
	e.observeSend(100, 0.3)
	e.startAttempt(100, 30)
	if math.Abs(e.meanInFlight-0.3) > 1e-9 {
		t.Fatalf("the mean is %v after the first attempt, of 0.3 s, want 0.3", e.meanInFlight)
	}
	if got := e.meanInFlight * e.inFlightDecay(100+2*inFlightTimeConstant); math.Abs(got-0.3*math.Exp(-2)) > 1e-9 {
		t.Errorf("the mean is %v after two time constants, want 0.3 × exp(-2)", got)
	}
	e.observeSend(101, 100)
	if want := 0.3*math.Exp(-1) + 1; math.Abs(e.meanInFlight-want) > 1e-9 {
		t.Errorf("the mean is %v after an attempt longer than the time constant, want %v", e.meanInFlight, want)
	}
}
