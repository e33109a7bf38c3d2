package policy

import "math"

const (
	// minCompletedFraction is the least fraction of the offered work that is taken as completed: a gateway that
	// has just started has completed nothing.
	minCompletedFraction = 0.5

	// A warming endpoint gets from a gateway of a large fleet the fraction minSlowStartShare of its equal part
	// of the work, and more of it with its capacity, up to slowStartShareSlope more.
	minSlowStartShare   = 0.15
	slowStartShareSlope = 0.65

	// maxWarmingInFlight bounds the attempts of this gateway in flight at a warming endpoint.
	maxWarmingInFlight = 2

	// workEpsilon, in seconds, keeps quotients defined where no work was offered.
	workEpsilon Seconds = 1e-9
)

// slowStart decides how much work warming endpoints get. An endpoint warms up for some time after its start,
// during which it has only a fraction of its capacity, and fails if all gateways together send it too much.
//
// Each request brings every warming endpoint a credit: the part of the work that the endpoint may have by
// its capacity. With a credit of 1, the work of one mean attempt, this gateway may send it one attempt.
// Gateways begin with different credits, so that their attempts follow each other, and all together send
// what the credits add up to, whatever each of them sees. That stays within a fraction of what the settings
// allow, even if most endpoints are warming and demand exceeds their capacity: requests without a credit
// wait. Retries, of this gateway and of clients, spend credits but bring none, as they are most frequent
// where endpoints are overloaded.
//
// Work is measured in seconds of mean latency. Credits are counted in mean attempts.
type slowStart struct {
	clock              *eventClock
	self, gatewayCount int

	duration         Seconds
	minCapacity      float64 // fraction of an endpoint's capacity at its start
	overloadMultiple float64 // of its capacity, within overloadWindow, at which an endpoint fails
	overloadWindow   Seconds

	estimatedAt     Seconds // when the estimates below were brought up to date
	offeredWork     Seconds // of first attempts, decaying with about the duration of a slow start
	completedWork   Seconds // of successful attempts, decaying likewise
	meanWork        Seconds // of a first attempt
	totalCapacity   float64 // sum of the warm-up fractions of endpoints in service
	warmingCapacity float64 // the same of those that are warming up
	inServiceCount  float64 // endpoints in service
}

// newSlowStart returns the slow start of a gateway that has seen no work yet.
func newSlowStart(settings Settings, clock *eventClock) *slowStart {
	return &slowStart{
		clock:            clock,
		self:             settings.Self,
		gatewayCount:     settings.GatewayCount,
		duration:         settings.SlowStartDuration,
		minCapacity:      settings.SlowStartMinCapacity,
		overloadMultiple: settings.OverloadMultiple,
		overloadWindow:   settings.OverloadWindow,
		estimatedAt:      clock.now,
	}
}

// warmUpFraction is the fraction of its capacity that an endpoint has by now, at least.
func (s *slowStart) warmUpFraction(e *endpoint) float64 {
	age := s.clock.now - e.StartedAt
	if e.StartedAt <= 0 || age >= s.duration || s.duration <= 0 {
		return 1
	}
	return s.minCapacity + (1-s.minCapacity)*max(age, 0)/s.duration
}

// relativeCost is the work of an attempt of a class as a multiple of a mean attempt's.
func (s *slowStart) relativeCost(requestClass *class) float64 {
	if s.meanWork <= 0 {
		return 1
	}
	return requestClass.meanLatency / s.meanWork
}

// initialCredit is the credit that this gateway starts with at an endpoint. The credits of all gateways are
// spread evenly between 0 and 1.
func (s *slowStart) initialCredit(endpointHash uint16) float64 {
	_, credit := math.Modf(float64(s.self)*math.Phi + float64(endpointHash)/(1<<16))
	return credit
}

// updateEstimates brings the estimates of work and of capacity up to date.
func (s *slowStart) updateEstimates(classes []*class, endpoints []*endpoint) {
	decay := math.Exp((s.estimatedAt - s.clock.now) / max(s.duration, demandTimeConstant))
	s.estimatedAt = s.clock.now
	s.offeredWork, s.completedWork = s.offeredWork*decay, s.completedWork*decay
	s.updateMeanWork(classes)
	s.updateCapacities(endpoints)
}

func (s *slowStart) updateMeanWork(classes []*class) {
	attempts, work := 0.0, 0.0
	for _, requestClass := range classes {
		attempts += requestClass.firstAttempts
		work += requestClass.firstAttempts * requestClass.meanLatency
	}
	s.meanWork = work / max(attempts, 1)
}

// updateCapacities also counts endpoints that are ejected: if their part went to others, those would get too
// much.
func (s *slowStart) updateCapacities(endpoints []*endpoint) {
	s.totalCapacity, s.warmingCapacity, s.inServiceCount = 0, 0, 0
	for _, e := range endpoints {
		if e.State != InService {
			continue
		}
		fraction := s.warmUpFraction(e)
		s.inServiceCount++
		s.totalCapacity += fraction
		if fraction < 1 {
			s.warmingCapacity += fraction
		}
	}
}

// recordSuccess counts the work of a successful attempt.
func (s *slowStart) recordSuccess(requestClass *class) { s.completedWork += requestClass.meanLatency }

// accrueCredits has a request bring its credits, once and unless it is likely a client's retry.
func (s *slowStart) accrueCredits(r *request, endpoints []*endpoint) {
	if r.creditsAccrued || r.likelyRetry {
		return
	}
	r.creditsAccrued = true
	r.class.firstAttempts++
	s.offeredWork += r.class.meanLatency
	for _, e := range endpoints {
		if fraction := s.warmUpFraction(e); fraction < 1 && e.available(s.clock.now) {
			s.accrueCredit(e, fraction, r.class)
		}
	}
}

func (s *slowStart) accrueCredit(e *endpoint, warmUpFraction float64, requestClass *class) {
	if e.slowStartCredit >= 1 && s.clock.now-e.slowStartCreditAt > s.overloadWindow {
		e.slowStartCredit = 0 // credits that many gateways could not spend must not be spent all at once
	}
	if e.slowStartCredit < 1 {
		credit := s.creditPerRequest(warmUpFraction) * s.relativeCost(requestClass)
		e.slowStartCredit = min(e.slowStartCredit+credit, 1)
		e.slowStartCreditAt = s.clock.now
	}
}

// creditPerRequest is the part of this gateway's work that a warming endpoint may have. A warm endpoint can
// do at least what it has completed, so that the settings allow a warming one a multiple of its part of that.
// The less capacity an endpoint has, the more its load varies by chance. As the gateways of a large fleet
// can't see that, they send it less as long as others have capacity for the rest.
func (s *slowStart) creditPerRequest(warmUpFraction float64) float64 {
	completedFraction := min(max(s.completedWork/max(s.offeredWork, workEpsilon), minCompletedFraction), 1)
	maxShare := warmUpFraction * s.overloadMultiple / max(s.inServiceCount, 1) * completedFraction
	if !isLargeFleet(s.gatewayCount) {
		return maxShare
	}
	capacity := max(s.totalCapacity, warmUpFraction)
	reducedShare := warmUpFraction * (minSlowStartShare + slowStartShareSlope*warmUpFraction) / capacity
	warmingFraction := s.warmingCapacity / capacity
	requiredShare := maxShare * (warmingFraction * warmingFraction) // approaches allowed if most are warming
	return min(maxShare, max(reducedShare, requiredShare))
}

// creditAvailable tells whether this gateway may send a warming endpoint an attempt.
func (s *slowStart) creditAvailable(e *endpoint) bool {
	return e.slowStartCredit >= 1 && s.clock.now-e.slowStartCreditAt <= s.overloadWindow &&
		e.inFlight < maxWarmingInFlight
}

// spendCredit takes the cost of an attempt off the credit of a warming endpoint.
func (s *slowStart) spendCredit(e *endpoint, requestClass *class) {
	if s.warmUpFraction(e) < 1 {
		e.slowStartCredit -= s.relativeCost(requestClass)
	}
}
