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

// Config is the configuration of a gateway.
type Config struct {
	Name             string
	ListenAddress    string // IP address and port for clients
	DiscoveryAddress string // IP address and port of the discovery agent
	Seed             uint64
	MemoryMB         int // memory limit of the process in MiB; 0: not given
	MaxDescriptors   int // file descriptors that the process may hold

	// PeerListenAddress is where datagrams of other gateways come; not valid without peer messages.
	PeerListenAddress netip.AddrPort
	// PeerAddresses are those of all gateways by their number.
	PeerAddresses []netip.AddrPort
	// BroadcastAddress reaches all of them; not valid if there is no such address.
	BroadcastAddress netip.AddrPort

	// InitialEndpoints is the endpoint list that counts until discovery responds.
	InitialEndpoints discovery.List
	Settings         settings.Settings
}

const defaultMaxDescriptors = 1024

// The causes of a FieldError, beside those of the parsers that are used.
var (
	// ErrMissing reports a field that has to be there.
	ErrMissing = errors.New("missing")
	// ErrNotPositive reports time-outs that must be above 0.
	ErrNotPositive = errors.New("limits.dialTimeoutS and limits.connIdleS must be above 0")
	// ErrPeerCount reports a list of peers that has not one address for each gateway.
	ErrPeerCount = errors.New("not one address for each gateway")
)

// FieldError reports a field of the configuration file that can't be used.
type FieldError struct {
	Field string // by its name in the file
	Err   error
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FieldError) Unwrap() error { return e.Err }

// RequiresRestart reports whether more differs than what a running gateway takes over from a configuration that is
// read again, or than what is new with each start.
func (c Config) RequiresRestart(started Config) bool {
	c.DiscoveryAddress, c.InitialEndpoints, c.Seed = started.DiscoveryAddress, started.InitialEndpoints, started.Seed
	return !reflect.DeepEqual(c, started)
}

// Read reads the configuration file. The error wraps a *FieldError where the file was read and a field can't
// be used.
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

// file is the JSON form of the configuration file; unknown keys are skipped.
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

// Parse reads the text of a configuration file.
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

// validateAddresses checks that the addresses for clients and of discovery can be parsed.
func (f *file) validateAddresses(*Config) error {
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return &FieldError{"listen", err}
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return &FieldError{"discovery", err}
	}
	return nil
}

// parseSeed reads the seed, a hexadecimal number.
func (f *file) parseSeed(c *Config) (err error) {
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return &FieldError{"seed", err}
	}
	return nil
}

// parseSettings reads the settings, and checks those that the network side uses.
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

// validateInitialEndpoints checks the entries of the initial endpoint list.
func (f *file) validateInitialEndpoints(c *Config) error {
	if err := c.InitialEndpoints.Validate(); err != nil {
		return &FieldError{"known", err}
	}
	return nil
}

// parsePeers reads the addresses of the other gateways, where there are peer messages.
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
			return &FieldError{"peers", fmt.Errorf("number %d: %w", number, err)}
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
