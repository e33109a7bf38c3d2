// Package discovery follows the endpoint list of a discovery agent over HTTP.
//
// A Client keeps one watch open, on which the agent sends a JSON value for each change. It polls the complete list when
// it may have missed changes, and reports what it receives to the caller as Events.
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
	// DefaultReadTimeout is the default of Options.ReadTimeout. On a watch, the agent sends a heartbeat, an empty
	// line, every 2 s. The client takes the connection for broken soon after a heartbeat is missing, as a needless
	// poll costs little.
	DefaultReadTimeout = 2500 * time.Millisecond

	// pollRetryShare is the interval between the polls of a silent agent, as a fraction of the grace period for
	// attempts on draining endpoints. The period starts when the agent knows that the endpoint drains, even if the
	// client has no watch open. The attempts must end within the period, so the client must reach a recovered agent
	// within a fraction of it.
	pollRetryShare       = 0.3
	defaultDrainGrace    = 250 * time.Millisecond // if the settings have none
	maxPollRetryInterval = 500 * time.Millisecond
	maxConcurrentRetries = 3 // open polls besides the first
	maxBackoff           = 50 * time.Millisecond
	minUnusableBackoff   = 50 * time.Millisecond
	maxUnusableBackoff   = time.Second // each complete list costs the agent work
	maxValueSize         = 4 << 20     // bytes of one JSON value
	listPath             = "/api/targets"
	completeListQuery    = ""
	watchQuery           = "?watch=1&after=%d" // the argument is Client.version
)

var (
	// ErrValueTooLong reports that a value and the blank lines before it have more than 4 MiB.
	ErrValueTooLong = errors.New("list value over 4 MiB")
	// ErrUnusableList reports that a list, or a part of one, was received but can't be used.
	ErrUnusableList = errors.New("unusable list")
)

// StatusError reports a response whose HTTP status is not 200.
type StatusError struct {
	Status string // code and text, such as "503 Service Unavailable"
}

func (e *StatusError) Error() string { return "discovery agent responded with HTTP status " + e.Status }

// VersionError reports a change whose version is older than that of the last update.
type VersionError struct {
	Got, Last int64
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("list version %d is older than the last update, version %d", e.Got, e.Last)
}

// Event is an event of a Client: an Update, a SkippedEndpoint or a WatchEnded.
type Event interface{ isEvent() }

// Update is a complete list or a change of it, with valid entries only.
type Update struct{ List List }

// SkippedEndpoint reports an invalid entry that was left out of a complete list.
type SkippedEndpoint struct{ Err error }

// WatchEnded reports that a watch has ended or failed, or that the poll of the complete list before it has failed. The
// client tries again after a backoff.
type WatchEnded struct {
	Err     error
	Address string
	Version int64 // of the last update, or as given to New
}

func (Update) isEvent()          {}
func (SkippedEndpoint) isEvent() {}
func (WatchEnded) isEvent()      {}

// Timer is a timer that runs a function. It is a *time.Timer except in tests.
type Timer interface {
	Reset(time.Duration) bool
	Stop() bool
}

// Options configure a Client. All fields must be set.
type Options struct {
	// PollRetryInterval is the time without a response after which the agent is polled again.
	PollRetryInterval time.Duration
	// ReadTimeout limits the time without input during a response, and the time in which one value must arrive.
	ReadTimeout time.Duration
	// DialContext connects to the agent.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// After and AfterFunc are the functions of package time, except in tests.
	After     func(time.Duration) <-chan time.Time
	AfterFunc func(time.Duration, func()) Timer
	// Notify is called with the events in order, one call at a time, by Run or by a goroutine that Run starts.
	Notify func(Event)
}

// DefaultOptions returns options that use the timers of package time. The caller must set DialContext and Notify.
func DefaultOptions(drainGrace time.Duration) Options {
	return Options{
		PollRetryInterval: PollRetryIntervalFor(drainGrace),
		ReadTimeout:       DefaultReadTimeout,
		After:             time.After,
		AfterFunc:         func(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) },
	}
}

// PollRetryIntervalFor returns the PollRetryInterval for a grace period for attempts on draining endpoints; 0 stands
// for the default grace period. The interval is at most 0.5 s, so that the client acts on a change within 6 s of the
// time at which the agent has it and can be reached, whatever has failed before. docs/endings.md adds up the waits.
func PollRetryIntervalFor(drainGrace time.Duration) time.Duration {
	grace := cmp.Or(drainGrace, defaultDrainGrace)
	return min(time.Duration(grace.Seconds()*pollRetryShare*float64(time.Second)), maxPollRetryInterval)
}

// Client follows the endpoint list of one discovery agent at a time. The goroutine that calls Run owns it, except while
// a watch runs on another goroutine: Run waits for the end of the watch before it uses the client again.
type Client struct {
	options         Options
	http            *http.Client
	address         string
	version         int64         // of the last update, or as given to New
	resync          bool          // changes may have been missed: the complete list has to be polled
	unusableBackoff time.Duration // minimum backoff after the next unusable list
}

// New returns a client that starts with a watch at address for the changes of the list after the given version.
func New(address string, version int64, options Options) *Client {
	return &Client{
		options: options, address: address, version: version, unusableBackoff: minUnusableBackoff,
		http: &http.Client{Transport: &http.Transport{
			DisableKeepAlives: true, DisableCompression: true,
			DialContext: options.DialContext,
		}},
	}
}

// Run follows the list until ctx ends. When it receives an address from addresses, which may be nil, it switches to the
// agent at that address at once. It polls the complete list there, as each agent may number its versions differently.
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

// watchUntilSwitched runs a watch until it ends or another address is received. It reports whether an address was
// received, and otherwise returns the error of the watch.
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

// nextBackoff returns the backoff after a watch that ended with an error. updated says whether the watch changed
// c.version. The backoff is short if it did, or if the error does not wrap ErrUnusableList. Otherwise it doubles with
// each unusable list in a row, up to maxUnusableBackoff, as each complete list costs the agent work.
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

// waitUntilSwitched waits until a duration has passed, another address is received or ctx ends. It reports whether an
// address was received.
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

// switchAddress switches to another agent. The endpoints of the last update stay in use until the new agent has sent
// its complete list.
func (c *Client) switchAddress(address string) {
	c.address, c.resync = address, true
}

// update records the version of a validated list, and passes the list to Notify.
func (c *Client) update(list List) {
	c.version = list.Version
	c.options.Notify(Update{list})
}
