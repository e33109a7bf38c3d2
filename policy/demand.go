package policy

import "math"

// demandTimeConstant is the time in which the weight of past demand decays to 1/e.
const demandTimeConstant Seconds = 1.5

// demandMeter estimates the units per second that requests ask for, whether admitted or not, as an
// exponentially decaying average. The zero value has no demand.
type demandMeter struct {
	rate      float64 // units per second at updatedAt
	updatedAt Seconds
}

// rateAt returns the demand in units per second, decayed until now.
func (m demandMeter) rateAt(now Seconds) float64 {
	return m.rate * math.Exp((m.updatedAt-now)/demandTimeConstant)
}

// record adds the units of a request that arrived now.
func (m *demandMeter) record(units float64, now Seconds) {
	m.rate, m.updatedAt = m.rateAt(now)+units/demandTimeConstant, now
}
