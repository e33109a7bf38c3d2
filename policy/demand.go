package policy

import "math"

// demandTimeConstant is the time in which a past demand loses all but 1/e of its weight.
const demandTimeConstant Seconds = 1.5

// demandMeter estimates how many units a second are asked for, admitted or not, as an average that decays
// exponentially. Its zero value has seen none.
type demandMeter struct {
	rate      float64 // units a second at updatedAt
	updatedAt Seconds
}

// rateAt returns the units a second asked for, seen from now.
func (m demandMeter) rateAt(now Seconds) float64 {
	return m.rate * math.Exp((m.updatedAt-now)/demandTimeConstant)
}

// record adds the units of one request.
func (m *demandMeter) record(units float64, now Seconds) {
	m.rate, m.updatedAt = m.rateAt(now)+units/demandTimeConstant, now
}
