package policy

const (
	// initialLatencyFraction is the assumed mean latency of a class before its first success, as a fraction of
	// the latency objective.
	initialLatencyFraction = 0.15
	// minLatencyGain is the minimum weight of a new latency in the mean of its class.
	minLatencyGain = 0.02
	// weightEpsilon avoids division by zero if all priority weights are 0.
	weightEpsilon = 1e-9
)

// class holds the settings of a class of requests and its statistics at this gateway.
type class struct {
	Class
	index int // position in Settings.Classes
	// meanLatency is the mean latency of successful attempts, also used as an estimate of the work of an
	// attempt.
	meanLatency Seconds
	successes   int // latencies that recordLatency has added
	// creditedRequests counts the requests that have accrued slow-start credits.
	creditedRequests float64
	retryDetector    clientRetryDetector
}

// newClass returns a class without recorded latencies. Its meanLatency starts at an estimate.
func newClass(settings Class, index int) *class {
	return &class{
		Class:         settings,
		index:         index,
		meanLatency:   initialLatencyFraction * settings.LatencyObjective,
		retryDetector: newClientRetryDetector(settings.Timeout),
	}
}

// recordLatency adds the latency of a successful attempt to the mean. The mean is arithmetic at first, with
// the initial estimate as one of the values. It becomes exponentially weighted once the weight of a new
// latency has fallen to minLatencyGain.
func (c *class) recordLatency(latency Seconds) {
	c.successes++
	c.meanLatency += (latency - c.meanLatency) * max(minLatencyGain, 1/float64(c.successes+1))
}

// objectiveFrom returns the time at which the latency objective ends if it counts from start, including the
// extension by ObjectiveLatencyMultiple.
func (c *class) objectiveFrom(start Seconds) Seconds {
	return start + c.LatencyObjective + c.ObjectiveLatencyMultiple*c.meanLatency
}

// classTable holds a class for each entry of Settings.Classes. Classes are never added or removed; only their
// statistics change.
type classTable struct {
	byName            map[string]*class
	ordered           []*class // in the order of the settings, indexed by class.index
	maxPriorityWeight float64  // over all classes
}

func newClassTable(settings []Class) *classTable {
	table := &classTable{byName: map[string]*class{}}
	for index, classSettings := range settings {
		table.maxPriorityWeight = max(table.maxPriorityWeight, classSettings.PriorityWeight)
		entry := newClass(classSettings, index)
		table.ordered = append(table.ordered, entry)
		table.byName[classSettings.Name] = entry
	}
	return table
}

// priorityDeficit returns the fraction by which the priority weight of the class is below the largest one,
// from 0 to 1. It is 1 if all weights are 0.
func (t *classTable) priorityDeficit(requestClass *class) float64 {
	return 1 - requestClass.PriorityWeight/max(t.maxPriorityWeight, weightEpsilon)
}
