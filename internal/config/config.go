// Package config reads the configuration file of a gateway.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"

	"reedlead/internal/discovery"
	"reedlead/internal/settings"
)

// Config holds the configuration of a gateway.
type Config struct {
	Name             string
	ListenAddress    string // IP address and port for clients
	DiscoveryAddress string // IP address and port of the discovery agent
	Seed             uint64
	MemoryMB         int // memory limit of the process in MiB; 0 means that none is configured
	MaxDescriptors   int // maximum number of open file descriptors

	// PeerListenAddress receives datagrams from other gateways. It is the zero AddrPort if peer messages are disabled.
	PeerListenAddress netip.AddrPort
	// PeerAddresses holds the peer address of every gateway, indexed by the gateway's number. It is nil if peer messages
	// are disabled.
	PeerAddresses []netip.AddrPort
	// BroadcastAddress reaches all gateways with one datagram. It is the zero AddrPort if none is configured or
	// peer messages are disabled.
	BroadcastAddress netip.AddrPort

	// InitialEndpoints is the endpoint list with which the gateway starts.
	InitialEndpoints discovery.List
	Settings         settings.Settings
}

const defaultMaxDescriptors = 1024

// Causes of a FieldError that this package defines.
var (
	// ErrMissing reports that a required field is missing.
	ErrMissing = errors.New("missing")
	// ErrNotPositive reports a timeout that is not above 0.
	ErrNotPositive = errors.New("limits.dialTimeoutS and limits.connIdleS must be above 0")
	// ErrPeerCount reports that the number of peer addresses differs from the number of gateways.
	ErrPeerCount = errors.New("want one address per gateway")
)

// FieldError reports a missing or invalid field of the configuration file.
type FieldError struct {
	Field string // its name in the file
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// RequiresRestart reports whether c, a reloaded configuration, differs from started, the configuration of the running
// gateway, in a field that takes effect only at a restart. It ignores the discovery address, which a reload applies, and
// the initial endpoints and the seed, which are new for every start.
func (c Config) RequiresRestart(started Config) bool {
	c.DiscoveryAddress, c.InitialEndpoints, c.Seed = started.DiscoveryAddress, started.InitialEndpoints, started.Seed
	return !reflect.DeepEqual(c, started)
}

// Read reads and parses the configuration file at path.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// file is the configuration file as it is encoded in JSON. Unknown keys are ignored.
type file struct {
	Name, Listen, Discovery, Seed string

	Limits struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	}
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
	Known      discovery.List
	Settings   json.RawMessage
}

// Parse parses and checks the text of a configuration file. It leaves the ranges of most settings to policy.New.
func Parse(text []byte) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, err
	}
	c := Config{
		Name: f.Name, ListenAddress: f.Listen, DiscoveryAddress: f.Discovery, MemoryMB: f.Limits.MemoryMB,
		MaxDescriptors: f.Limits.Sockets, InitialEndpoints: f.Known,
	}
	if c.MaxDescriptors <= 0 {
		c.MaxDescriptors = defaultMaxDescriptors
	}
	c.InitialEndpoints.Full = true
	for _, step := range []func(*Config) error{f.validateAddresses, f.parseSeed, f.parseSettings, f.validateInitialEndpoints, f.parsePeers} {
		if err := step(&c); err != nil {
			return c, err
		}
	}
	return c, nil
}

// validateAddresses checks the listen address and the address of the discovery agent.
func (f *file) validateAddresses(*Config) error {
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return &FieldError{"listen", err}
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return &FieldError{"discovery", err}
	}
	return nil
}

// parseSeed parses the seed, a hexadecimal number of up to 64 bits.
func (f *file) parseSeed(c *Config) (err error) {
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return &FieldError{"seed", err}
	}
	return nil
}

// parseSettings parses the settings, and checks the dial timeout and the idle timeout of connections.
func (f *file) parseSettings(c *Config) (err error) {
	if len(f.Settings) == 0 {
		return &FieldError{"settings", ErrMissing}
	}
	if c.Settings, err = settings.Parse(f.Settings); err != nil {
		return &FieldError{"settings", err}
	}
	if c.Settings.DialTimeout <= 0 || c.Settings.ConnectionIdleTimeout <= 0 {
		return &FieldError{"settings", ErrNotPositive}
	}
	return nil
}

// validateInitialEndpoints checks every entry of the initial endpoint list.
func (f *file) validateInitialEndpoints(c *Config) error {
	if err := c.InitialEndpoints.Validate(); err != nil {
		return &FieldError{"known", err}
	}
	return nil
}

// parsePeers parses the addresses for peer messages. It does nothing if peer messages are disabled.
func (f *file) parsePeers(c *Config) (err error) {
	if !c.Settings.PeerMessages {
		return nil
	}
	if c.PeerListenAddress, err = netip.ParseAddrPort(f.PeerListen); err != nil {
		return &FieldError{"peer_listen", err}
	}
	if len(f.Peers) != c.Settings.GatewayCount {
		return &FieldError{"peers", fmt.Errorf("%w: %d addresses given for %d gateways", ErrPeerCount, len(f.Peers), c.Settings.GatewayCount)}
	}
	for number, text := range f.Peers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return &FieldError{"peers", fmt.Errorf("address of gateway %d: %w", number, err)}
		}
		c.PeerAddresses = append(c.PeerAddresses, address)
	}
	if f.PeersAll == "" {
		return nil
	}
	if c.BroadcastAddress, err = netip.ParseAddrPort(f.PeersAll); err != nil {
		return &FieldError{"peers_all", err}
	}
	return nil
}
