package discovery

import (
	"errors"
	"testing"
)

// TestEndpointErrorNamesItsCause checks that the error of an invalid entry has the id of the entry and wraps the cause.
func TestEndpointErrorNamesItsCause(t *testing.T) {
	cases := map[string]struct {
		entry Endpoint
		want  error
	}{
		"no id":                      {Endpoint{Addr: "127.0.0.1:1", State: StateInService}, ErrMissingID},
		"unknown state":              {Endpoint{ID: "s0", Addr: "127.0.0.1:1", State: "asleep"}, ErrUnknownState},
		"neither id nor known state": {Endpoint{}, ErrMissingID},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var endpointErr *EndpointError
			if err := c.entry.Validate(); !errors.As(err, &endpointErr) || !errors.Is(err, c.want) || endpointErr.ID != c.entry.ID {
				t.Errorf("got the error %v, want an EndpointError of entry %q that wraps: %v", err, c.entry.ID, c.want)
			}
		})
	}
}
