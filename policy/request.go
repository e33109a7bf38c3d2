package policy

// requestTable holds the requests that are open, and those of them that wait for an endpoint.
type requestTable struct {
	requests      map[string]*request
	openRequests  []*request
	dispatchQueue []*request
}
