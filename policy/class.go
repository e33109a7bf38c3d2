package policy

// classTable holds the classes of requests.
type classTable struct {
	classes           map[string]*class
	classesByIndex    []*class
	maxPriorityWeight float64 // of any class, a unit
}
