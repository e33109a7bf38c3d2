package policy

const initialLatencyFraction = 0.15 // of its aim that a class is taken to need before it is known

// classTable holds the classes of requests.
type classTable struct {
	classes           map[string]*class
	classesByIndex    []*class
	maxPriorityWeight float64 // of any class, a unit
}

type class struct {
	Class
	index         int
	meanLatency   float64 // mean latency of good answers
	firstAttempts float64 // first tries, which bring turns at cold servers
	successes     int
	// how many of the tries of late came with which share of the deadline, and with the commonest
	remainingHistogram [remainingBins]int
	observed           int
	modeCount          int
}

// newClass is a class as a gateway knows it at the start.
func newClass(c Class, i int) *class {
	return &class{Class: c, index: i, meanLatency: initialLatencyFraction * c.LatencyObjective}
}
