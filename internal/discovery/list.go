package discovery

import (
	"errors"
	"fmt"
	"net/netip"

	"reedlead/policy"
)

// List is a list of endpoints in the JSON form of the discovery API. It is also the form of the
// list in the configuration file.
type List struct {
	// Version counts the changes of the list at one discovery agent.
	Version int64 `json:"version"`
	// Full is set where the list replaces all earlier ones; else it holds what has changed.
	Full      bool       `json:"full"`
	Endpoints []Endpoint `json:"servers"`
}

// Endpoint is one entry of a List.
type Endpoint struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"` // IP address and port
	Zone   string  `json:"zone"`
	Cell   int     `json:"cell"`
	State  State   `json:"state"`
	Weight float64 `json:"weight"`
	// StartedMS is the start of the endpoint's process in Unix milliseconds; 0: not known.
	StartedMS int64 `json:"started_ms"`
}

// State is the state of an endpoint in the form of the discovery API.
type State string

// The states of the discovery API.
const (
	StateInService   State = "in_service"
	StateTerminating State = "terminating"
	StateTerminated  State = "terminated"
)

// PolicyState translates the state into the one of the decision module; false if it is not known.
func (s State) PolicyState() (state policy.EndpointState, known bool) {
	switch s {
	case StateInService:
		return policy.InService, true
	case StateTerminating:
		return policy.Draining, true
	case StateTerminated:
		return policy.Removed, true
	}
	return 0, false
}

// EndpointState returns the state of an entry that was validated.
func (e Endpoint) EndpointState() policy.EndpointState {
	state, _ := e.State.PolicyState() // Validate has checked that it is known
	return state
}

// Causes of an EndpointError, beside that of an address that can't be parsed.
var (
	// ErrMissingID reports an entry without an id.
	ErrMissingID = errors.New("missing id")
	// ErrUnknownState reports a state that is not in the API.
	ErrUnknownState = errors.New("unknown state")
)

// EndpointError reports an entry of a list that can't be used.
type EndpointError struct {
	ID  string
	Err error
}

func (e *EndpointError) Error() string { return fmt.Sprintf("entry %q: %v", e.ID, e.Err) }

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// Validate returns an *EndpointError for the first entry that can't be used.
func (l List) Validate() error {
	for _, endpoint := range l.Endpoints {
		if err := endpoint.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an *EndpointError if the entry can't be used. A removed endpoint needs no address.
func (e Endpoint) Validate() error {
	if e.ID == "" {
		return &EndpointError{e.ID, ErrMissingID}
	}
	state, known := e.State.PolicyState()
	if !known {
		return &EndpointError{e.ID, fmt.Errorf("%w %q", ErrUnknownState, string(e.State))}
	}
	if _, err := netip.ParseAddrPort(e.Addr); err != nil && state != policy.Removed {
		return &EndpointError{e.ID, err}
	}
	return nil
}
