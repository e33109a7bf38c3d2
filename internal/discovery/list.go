package discovery

import (
	"errors"
	"fmt"
	"net/netip"

	"reedlead/policy"
)

// List is an endpoint list in the JSON form of the discovery API, which the configuration file also uses.
type List struct {
	// Version counts the changes of the list. The versions of different discovery agents are not comparable.
	Version int64 `json:"version"`
	// Full is set if the list is complete and replaces all earlier ones. Otherwise it holds only what has changed.
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
	// StartedMS is the start time of the endpoint's process in Unix milliseconds, or 0 if it is unknown.
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

// PolicyState returns the state as the decision module represents it, and whether the API defines the state.
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

// EndpointState returns the state of a valid entry as the decision module represents it.
func (e Endpoint) EndpointState() policy.EndpointState {
	state, _ := e.State.PolicyState() // a valid entry has a known state
	return state
}

// Causes of an EndpointError, in addition to the parse error of an address.
var (
	// ErrMissingID reports that an entry has no id.
	ErrMissingID = errors.New("missing id")
	// ErrUnknownState reports that an entry has a state that the API does not define.
	ErrUnknownState = errors.New("unknown state")
)

// EndpointError reports an invalid entry of an endpoint list.
type EndpointError struct {
	ID  string
	Err error
}

func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoint list entry with id %q: %v", e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *EndpointError) Unwrap() error { return e.Err }

// Validate returns an *EndpointError for the first invalid entry, or nil if all entries are valid.
func (l List) Validate() error {
	for _, endpoint := range l.Endpoints {
		if err := endpoint.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an *EndpointError if the entry is invalid. A removed endpoint needs no valid address.
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
