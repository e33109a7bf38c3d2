// Package discovery follows the endpoint list of a discovery agent over HTTP.
//
// A Client keeps one watch open, on which the agent sends a JSON value for each change, and polls the
// complete list where changes may have been missed. Its Events notify the caller of what it has found.
package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// DefaultReadTimeout is how long a response may be silent. A watch sends a heartbeat, an empty line, every
	// 2 s. Soon after one that is missing the connection is taken for broken; the agent responds at once, so a
	// needless poll costs little.
	DefaultReadTimeout = 2500 * time.Millisecond

	// pollRetryShare is the timeout of a poll as a share of the grace period for attempts on draining endpoints. A
	// change counts as announced once the agent has it, whether or not a watch is open, and the attempts must end
	// within the grace period from then. So an agent that was down has to be found again within a share of it.
	pollRetryShare       = 0.3
	defaultDrainGrace    = 250 * time.Millisecond // where the settings name none
	maxPollRetryInterval = 500 * time.Millisecond
	maxConcurrentRetries = 3 // polls that may be open at a time beside the first
	maxBackoff           = 50 * time.Millisecond
	minUnusableBackoff   = 50 * time.Millisecond
	maxUnusableBackoff   = time.Second // a complete list costs the agent; an unusable one is not polled for more often
	maxValueSize         = 4 << 20     // bytes of one JSON value
	listPath             = "/api/targets"
	completeListQuery    = ""
	watchQuery           = "?watch=1&after=%d" // of the version after which changes are wanted
)

var (
	// ErrValueTooLong reports a value of more than 4 MiB.
	ErrValueTooLong = errors.New("list value over 4 MiB")
	// ErrUnusableList reports that a value came, in whole or in part, that can't be used.
	ErrUnusableList = errors.New("unusable list")
)

// StatusError reports a response with another HTTP status than 200.
type StatusError struct {
	Status string // with its code
}

func (e *StatusError) Error() string { return "discovery responded with " + e.Status }

// VersionError reports a change whose version is older than one before it.
type VersionError struct {
	Got, Last int64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("list version %d is older than the last, %d", e.Got, e.Last)
}

// Event is something that a Client has found: an Update, a SkippedEndpoint or a WatchEnded.
type Event interface{ isEvent() }

// Update is a new list or a change of it, which has been validated.
type Update struct{ List List }

// SkippedEndpoint reports an entry of the complete list that can't be used and was left out.
type SkippedEndpoint struct{ Err error }

// WatchEnded reports that a watch, or the poll before it, has ended or failed. The client will open another.
type WatchEnded struct {
	Err     error
	Address string
	Version int64 // of the last update
}

func (Update) isEvent()          {}
func (SkippedEndpoint) isEvent() {}
func (WatchEnded) isEvent()      {}

// Timer is a *time.Timer that runs a function, but for tests.
type Timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// Options configure a Client. All fields must be set.
type Options struct {
	// PollRetryInterval is how long a poll may stay without a response until the agent is polled again beside it.
	PollRetryInterval time.Duration
	// ReadTimeout is how long a response may be silent, or one value of it take.
	ReadTimeout time.Duration
	// DialContext connects to the agent.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// After and AfterFunc are those of package time, but for tests.
	After     func(time.Duration) <-chan time.Time
	AfterFunc func(time.Duration, func()) Timer
	// Notify is called with the events in their order, on goroutines of the client, one call at a time.
	Notify func(Event)
}

// DefaultOptions are those for real time. DialContext and Notify are left to the caller.
func DefaultOptions(drainGrace time.Duration) Options {
	return Options{
		PollRetryInterval: PollRetryIntervalFor(drainGrace),
		ReadTimeout:       DefaultReadTimeout,
		After:             time.After,
		AfterFunc:         func(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) },
	}
}

// PollRetryIntervalFor is how long an agent that does not respond is left alone, by the grace period for attempts on
// draining endpoints; 0 stands for the default one. A long grace period puts nothing off for longer than
// 0.5 s: a change must be acted on within 6 s from when the agent has it and can be reached, whatever was
// before. docs/endings.md adds the waits up.
func PollRetryIntervalFor(drainGrace time.Duration) time.Duration {
	grace := cmp.Or(drainGrace, defaultDrainGrace)
	return min(time.Duration(grace.Seconds()*pollRetryShare*float64(time.Second)), maxPollRetryInterval)
}

// Client follows the list of one discovery agent at a time. The goroutine of Run owns it, and lends it to
// that of the watch, for whose end it waits before it goes on.
type Client struct {
	options         Options
	http            *http.Client
	address         string
	version         int64         // of the last update
	resync          bool          // changes may be missing: the complete list has to be polled
	unusableBackoff time.Duration // the backoff after the next watch that brings nothing but unusable values
}

// New returns a client that starts with a watch for what comes after a version of the list.
func New(address string, version int64, options Options) *Client {
	return &Client{
		options: options, address: address, version: version, unusableBackoff: minUnusableBackoff,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: options.DialContext,
		}},
	}
}

// Run follows the list until ctx ends. An address that comes on addresses, which may be nil, is switched
// to at once. The agent there may count its versions in its own way, so the complete list is polled.
func (c *Client) Run(ctx context.Context, addresses <-chan string) {
	for ctx.Err() == nil {
		before := c.version
		switched, err := c.watchUntilSwitched(ctx, addresses)
		if ctx.Err() != nil {
			return
		}
		if !switched {
			c.options.Notify(WatchEnded{err, c.address, c.version})
			backoff := c.nextBackoff(err, c.version != before)
			switched = c.waitUntilSwitched(ctx, addresses, backoff)
		}
		if switched {
			c.unusableBackoff = minUnusableBackoff
		}
	}
}

// watchUntilSwitched runs a watch to its end, or until another address comes.
func (c *Client) watchUntilSwitched(ctx context.Context, addresses <-chan string) (switched bool, err error) {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	var watchErr error
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchErr = c.watch(watchContext)
	}()
	select {
	case <-ended:
		return false, watchErr
	case address := <-addresses:
		cancel()
		<-ended
		c.switchAddress(address)
		return true, nil
	}
}

// nextBackoff returns the backoff after a watch that ended with an error. An agent that refuses or is silent
// is polled again soon, but complete lists cost, so unusable ones lengthen the backoff.
func (c *Client) nextBackoff(err error, updated bool) time.Duration {
	backoff := min(c.options.PollRetryInterval, maxBackoff)
	if updated || !errors.Is(err, ErrUnusableList) {
		c.unusableBackoff = minUnusableBackoff
		return backoff
	}
	backoff = max(backoff, c.unusableBackoff)
	c.unusableBackoff = min(2*c.unusableBackoff, maxUnusableBackoff)
	return backoff
}

// waitUntilSwitched waits for a duration, or until another address comes or ctx ends.
func (c *Client) waitUntilSwitched(ctx context.Context, addresses <-chan string, d time.Duration) (switched bool) {
	select {
	case <-ctx.Done():
		return false
	case address := <-addresses:
		c.switchAddress(address)
		return true
	case <-c.options.After(d):
		return false
	}
}

// switchAddress goes on at another agent. What is known stays until its complete list has come.
func (c *Client) switchAddress(address string) {
	c.address, c.resync = address, true
}

// update notifies of a list that was validated.
func (c *Client) update(list List) {
	c.version = list.Version
	c.options.Notify(Update{list})
}
