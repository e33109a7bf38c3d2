package policy

import "math"

const (
	// minCompletedFraction is the lower bound for the estimated fraction of the offered work that was
	// completed. Without it, a gateway that has just started and has not completed any work would add no
	// credits.
	minCompletedFraction = 0.5

	// In a large fleet, reducedShare in creditPerRequest is a warming endpoint's part of the total capacity,
	// multiplied by a factor: minSlowStartShare + slowStartShareSlope × the warm-up fraction. The factor is
	// smallest at the start, because random variation of the load is largest relative to a small capacity. It
	// is always below 1, because a gateway does not see how much the others send.
	minSlowStartShare   = 0.15
	slowStartShareSlope = 0.65

	// maxWarmingInFlight is the maximum number of attempts of this gateway in flight at a warming endpoint.
	maxWarmingInFlight = 2

	// workEpsilon avoids division by zero if no work was offered.
	workEpsilon Seconds = 1e-9
)

// slowStart limits the work that warming endpoints receive. An endpoint warms up for a period after its
// start, during which it has only a fraction of its capacity. An endpoint fails if all gateways together
// exceed OverloadMultiple times that capacity within OverloadWindow.
//
// Each new request adds a credit to every available warming endpoint: the fraction of this gateway's work
// that the endpoint may receive at its current capacity. A credit of 1 stands for the work of one mean
// attempt. Once an endpoint has this credit, the gateway may send it one attempt. Gateways start with evenly
// spread credits, so that their attempts do not coincide. The sum of the credits limits the attempts of all
// gateways together, without coordination between them. If no endpoint has a credit and none is warm,
// requests wait. Retries of this gateway and probable retries of clients spend credits but add none, because
// retries are most frequent when endpoints are overloaded.
//
// Work is measured in seconds of mean latency, and credits in mean attempts.
type slowStart struct {
	clock              *eventClock
	self, gatewayCount int

	duration         Seconds
	minCapacity      float64 // fraction of its capacity that an endpoint has at its start
	overloadMultiple float64 // multiple of its capacity at which an endpoint fails within overloadWindow
	overloadWindow   Seconds

	estimatedAt     Seconds // time of the last update of the estimates below
	offeredWork     Seconds // of requests that accrued credits; decays as updateEstimates specifies
	completedWork   Seconds // of successful attempts; decays like offeredWork
	meanWork        Seconds // per request that accrued credits
	totalCapacity   float64 // sum of the warm-up fractions of all endpoints in service
	warmingCapacity float64 // sum of the warm-up fractions of the warming endpoints in service
	inServiceCount  float64 // number of endpoints in service
}

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

// warmUpFraction returns the fraction of its full capacity that an endpoint has at its current age,
// according to the settings.
func (s *slowStart) warmUpFraction(e *endpoint) float64 {
	age := s.clock.now - e.StartedAt
	if e.StartedAt <= 0 || age >= s.duration || s.duration <= 0 {
		return 1
	}
	return s.minCapacity + (1-s.minCapacity)*max(age, 0)/s.duration
}

// relativeCost returns the work of an attempt of the class as a multiple of the work of a mean attempt.
func (s *slowStart) relativeCost(requestClass *class) float64 {
	if s.meanWork <= 0 {
		return 1
	}
	return requestClass.meanLatency / s.meanWork
}

// initialCredit returns the credit that this gateway starts with at an endpoint. Multiples of the golden
// ratio spread the credits of the gateways evenly between 0 and 1, and the hash varies them by endpoint.
func (s *slowStart) initialCredit(endpointHash uint16) float64 {
	_, credit := math.Modf(float64(s.self)*math.Phi + float64(endpointHash)/(1<<16))
	return credit
}

// updateEstimates decays offeredWork and completedWork to the current time, and recomputes the mean work and
// the capacities. The time constant of the decay is the slow start duration, but at least
// demandTimeConstant.
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
		attempts += requestClass.creditedRequests
		work += requestClass.creditedRequests * requestClass.meanLatency
	}
	s.meanWork = work / max(attempts, 1)
}

// updateCapacities sums up the capacities of the endpoints in service. Ejected endpoints count too: otherwise
// the shares of the remaining warming endpoints would grow and could overload them.
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

// recordSuccess adds the work of a successful attempt to completedWork.
func (s *slowStart) recordSuccess(requestClass *class) { s.completedWork += requestClass.meanLatency }

// accrueCredits adds a request to the offered work and its credits to the available warming endpoints. It
// does so once per request, and not for probable client retries.
func (s *slowStart) accrueCredits(r *request, endpoints []*endpoint) {
	if r.creditsAccrued || r.likelyRetry {
		return
	}
	r.creditsAccrued = true
	r.class.creditedRequests++
	s.offeredWork += r.class.meanLatency
	for _, e := range endpoints {
		if fraction := s.warmUpFraction(e); fraction < 1 && e.available(s.clock.now) {
			s.accrueCredit(e, fraction, r.class)
		}
	}
}

func (s *slowStart) accrueCredit(e *endpoint, warmUpFraction float64, requestClass *class) {
	if e.slowStartCredit >= 1 && s.clock.now-e.slowStartCreditAt > s.overloadWindow {
		e.slowStartCredit = 0 // expired, so that gateways do not all spend old credits at once
	}
	if e.slowStartCredit < 1 {
		credit := s.creditPerRequest(warmUpFraction) * s.relativeCost(requestClass)
		e.slowStartCredit = min(e.slowStartCredit+credit, 1)
		e.slowStartCreditAt = s.clock.now
	}
}

// creditPerRequest returns the credit that a request of mean work adds to a warming endpoint: the fraction of
// this gateway's work that the endpoint may receive.
//
// In a small fleet this is maxShare, the largest fraction that should not overload the endpoint. The endpoint
// has the fraction warmUpFraction of the capacity of a warm endpoint, and fails above overloadMultiple times
// that. The capacity of a warm endpoint is estimated as an equal share of the completed work, which is
// assumed to be at least minCompletedFraction of the offered work.
//
// In a large fleet, most of the load of an endpoint comes from other gateways, unseen and varying at random.
// As a margin, the credit is then only reducedShare. The more of the capacity is warming, the less work the
// warm endpoints can take instead, so the credit is at least requiredShare, which rises to maxShare. The
// credit never exceeds maxShare.
func (s *slowStart) creditPerRequest(warmUpFraction float64) float64 {
	completedFraction := min(max(s.completedWork/max(s.offeredWork, workEpsilon), minCompletedFraction), 1)
	maxShare := warmUpFraction * s.overloadMultiple / max(s.inServiceCount, 1) * completedFraction
	if !isLargeFleet(s.gatewayCount) {
		return maxShare
	}
	capacity := max(s.totalCapacity, warmUpFraction)
	reducedShare := warmUpFraction * (minSlowStartShare + slowStartShareSlope*warmUpFraction) / capacity
	warmingFraction := s.warmingCapacity / capacity
	requiredShare := maxShare * (warmingFraction * warmingFraction) // equals maxShare if all capacity is warming
	return min(maxShare, max(reducedShare, requiredShare))
}

// creditAvailable reports whether a warming endpoint has an unexpired credit for an attempt, and fewer than
// maxWarmingInFlight attempts of this gateway in flight.
func (s *slowStart) creditAvailable(e *endpoint) bool {
	return e.slowStartCredit >= 1 && s.clock.now-e.slowStartCreditAt <= s.overloadWindow &&
		e.inFlight < maxWarmingInFlight
}

// spendCredit deducts the cost of an attempt from the credit of a warming endpoint.
func (s *slowStart) spendCredit(e *endpoint, requestClass *class) {
	if s.warmUpFraction(e) < 1 {
		e.slowStartCredit -= s.relativeCost(requestClass)
	}
}
