package policy

const (
	// initialLatencyFraction is the mean latency that a class is taken to have before the first reply, as a
	// fraction of its objective.
	initialLatencyFraction = 0.15
	// minLatencyGain is the least weight of a new latency in the mean of its class.
	minLatencyGain = 0.02
	// weightEpsilon keeps quotients defined where all priority weights are 0.
	weightEpsilon = 1e-9
)

// class is a class of request with what this gateway has learnt of it.
type class struct {
	Class
	index int // its place in the settings
	// meanLatency is the mean latency of good replies. It also stands for the work of one attempt.
	meanLatency Seconds
	successes   int // good replies that meanLatency is made of
	// firstAttempts counts the requests that have accrued slow-start credits.
	firstAttempts float64
	retryDetector clientRetryDetector
}

// newClass returns a class as a gateway knows it at the start.
func newClass(settings Class, index int) *class {
	return &class{
		Class:         settings,
		index:         index,
		meanLatency:   initialLatencyFraction * settings.LatencyObjective,
		retryDetector: newClientRetryDetector(settings.Timeout),
	}
}

// recordLatency adds the latency of a good reply to the mean, at first with equal weights and later with a
// decay.
func (c *class) recordLatency(latency Seconds) {
	c.successes++
	c.meanLatency += (latency - c.meanLatency) * max(minLatencyGain, 1/float64(c.successes+1))
}

// objectiveFrom returns the point in time up to which a reply earns the full weight, for a request sent at
// start.
func (c *class) objectiveFrom(start Seconds) Seconds {
	return start + c.LatencyObjective + c.ObjectiveLatencyMultiple*c.meanLatency
}

// classTable holds the classes of the settings. They are fixed for the life of a Gateway.
type classTable struct {
	byName            map[string]*class
	ordered           []*class // in the order of the settings, so by class.index
	maxPriorityWeight float64  // the largest of all classes
}

// newClassTable returns the table of the classes in the settings.
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

// priorityDeficit is how far the weight of a class lies below the largest one, as a fraction of that: 0
// for the class of the highest priority, towards 1 for those of the lowest.
func (t *classTable) priorityDeficit(requestClass *class) float64 {
	return 1 - requestClass.PriorityWeight/max(t.maxPriorityWeight, weightEpsilon)
}
