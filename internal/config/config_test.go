package config

import (
	"errors"
	"strings"
	"testing"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:7946",
"peers":["127.0.1.1:7946","127.0.1.2:7946"],"peers_all":"127.0.1.255:7946",
"known":{"version":41,"servers":[{"id":"s","addr":"127.0.0.1:1","state":"in_service"}]},
"settings":{"balancers":2,"limits":{"peerMessages":true,"dialTimeoutS":0.25,"connIdleS":15}}}`

// TestParseNamesInvalidField checks that Parse accepts a complete configuration file, and that the error for an invalid
// field names it.
func TestParseNamesInvalidField(t *testing.T) {
	c, err := Parse([]byte(goodConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || len(c.PeerAddresses) != 2 || c.MaxDescriptors != 1024 || !c.InitialEndpoints.Full || c.InitialEndpoints.Version != 41 {
		t.Errorf("got configuration %+v", c)
	}
	for _, tc := range []struct{ old, new, field, want string }{
		{goodConfig, "{", "", "unexpected end"},
		{"127.0.0.1:6379", "nowhere", "listen", "listen: "},
		{"127.0.0.1:8500", "", "discovery", "discovery: "},
		{"8c1f30d27a5be964", "seed", "seed", "seed: "},
		{`"balancers":2`, `"balancers":3`, "peers", "2 addresses given for 3"},
		{"127.0.1.2:7946", "x", "peers", "peers: address of gateway 1"},
		{"127.0.1.255:7946", "x", "peers_all", "peers_all: "},
		{`"peer_listen":"127.0.0.1:7946"`, `"peer_listen":""`, "peer_listen", "peer_listen: "},
		{"in_service", "resting", "known", "known: endpoint list entry"},
		{"0.25", "0", "settings", "dialTimeoutS"},
		{`"settings"`, `"set"`, "settings", "settings: missing"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			_, err := Parse([]byte(strings.Replace(goodConfig, tc.old, tc.new, 1)))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got error %v, want one with %q", err, tc.want)
			}
			var field *FieldError
			if errors.As(err, &field) != (tc.field != "") || field != nil && field.Field != tc.field {
				t.Errorf("got %#v, want an error for field %q", err, tc.field)
			}
		})
	}
}
