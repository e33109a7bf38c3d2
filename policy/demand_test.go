package policy

import (
	"math"
	"testing"
)

func TestDemandConvergesToTheRequestedRate(t *testing.T) {
	const rate, interval = 40.0, Seconds(0.005)
	var meter demandMeter
	now := Seconds(0)
	for now < 10*demandTimeConstant {
		now += interval
		meter.record(rate*interval, now)
	}
	if got := meter.rateAt(now); math.Abs(got-rate) > rate/100 {
		t.Errorf("demand is %v units per second, want about %v", got, rate)
	}
	if got := meter.rateAt(now + demandTimeConstant); math.Abs(got-rate/math.E) > rate/100 {
		t.Errorf("demand is %v units per second after one time constant, want about %v", got, rate/math.E)
	}
}
