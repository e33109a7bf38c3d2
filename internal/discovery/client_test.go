package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"reedlead/internal/discovery/discoverytest"
)

// TestSilentAgentIsPolledAgain checks that the client starts further polls while an agent does not respond, and uses
// the first response to any of these polls. An agent may never respond to a poll that was sent while it was down.
func TestSilentAgentIsPolledAgain(t *testing.T) {
	list := discoverytest.ListJSON(7, false, "x", "in_service")
	pollOften := func(o *Options) { o.PollRetryInterval = 75 * time.Millisecond }
	firstTwo := func(t *testing.T, polls chan discoverytest.Poll) (first, second discoverytest.Poll) {
		first, second = receive(t, polls), receive(t, polls)
		select {
		case <-first.Cancelled:
			t.Fatal("the first poll was cancelled before the second one")
		default:
		}
		return first, second
	}
	t.Run("response to a later poll", func(t *testing.T) {
		address, polls := discoverytest.NewManualAgent(t)
		client := runClient(t, address, pollOften)
		first, second := firstTwo(t, polls)
		go second.Write(list)
		go func() { // responds to the later polls as well, in case the second one is cancelled before its response
			for {
				select {
				case poll := <-polls:
					go poll.Write(list)
				case <-first.Cancelled:
					return
				}
			}
		}()
		client.wantUpdate("[x in_service]")
		receive(t, first.Cancelled)
	})
	t.Run("response to the first poll", func(t *testing.T) {
		address, polls := discoverytest.NewManualAgent(t)
		client := runClient(t, address, pollOften)
		first, second := firstTwo(t, polls)
		for range maxConcurrentRetries { // the last one cancels the second poll; the first stays open
			receive(t, polls)
		}
		first.Write(list)
		client.wantUpdate("[x in_service]")
		receive(t, second.Cancelled)
	})
}

// TestSilentWatchIsReopened checks that the client does not stay on a broken connection. After ReadTimeout without
// input on a watch, it must open another watch from the last version. If the response with the complete list falls
// silent, it must poll that list again.
func TestSilentWatchIsReopened(t *testing.T) {
	address, polls := discoverytest.NewManualAgent(t)
	client := runClient(t, address, func(o *Options) { o.ReadTimeout = 200 * time.Millisecond })
	for version := range 3 {
		watch := receive(t, polls)
		if want := fmt.Sprintf("/api/targets?watch=1&after=%d", version+4); watch.URI != want {
			t.Fatalf("polled %q, want %q", watch.URI, want)
		}
		watch.Write(discoverytest.ListJSON(version+5, false, "x", "in_service"))
		receive(t, client.updates)
		receive(t, watch.Cancelled) // by the client, as the test does not end the response
	}
	receive(t, polls).Write("nonsense ")
	for range 2 {
		poll := receive(t, polls)
		if poll.URI != "/api/targets" {
			t.Fatalf("polled %q, want the complete list", poll.URI)
		}
		poll.Write(`{"version":9,`)
		receive(t, poll.Cancelled)
	}
}

// TestEndedWatchIsReopenedWithinDrainGrace checks that the backoffs stay within half of the grace period for draining
// endpoints, after many watches that ended without an update and while the agent refuses connections.
func TestEndedWatchIsReopenedWithinDrainGrace(t *testing.T) {
	quiet := discoverytest.NewScriptedAgent(t, func(string) []string { return nil }) // an empty line, then the end
	for _, tc := range []struct {
		name, address, switchTo string
	}{
		{"quiet", quiet.Address(), ""},
		{"refusing", "127.0.0.1:2", ""},
		{"switched, refusing", "127.0.0.1:2", "127.0.0.1:3"}, // polls the complete list at the second address
	} {
		t.Run(tc.name, func(t *testing.T) {
			backoffs, endBackoff := make(chan time.Duration, 64), make(chan time.Time)
			client := runClient(t, tc.address, func(o *Options) {
				o.PollRetryInterval = PollRetryIntervalFor(200 * time.Millisecond)
				o.After = func(d time.Duration) <-chan time.Time { backoffs <- d; return endBackoff }
			})
			if tc.switchTo != "" {
				receive(t, backoffs)
				client.addresses <- tc.switchTo
			}
			for range 12 {
				if d := receive(t, backoffs); d > 100*time.Millisecond {
					t.Errorf("got a backoff of %v, want at most half of the grace period", d)
				}
				endBackoff <- time.Time{}
			}
			receive(t, backoffs) // the client stays in this backoff until the test ends
		})
	}
}

// TestUnusableListsBackOff checks that the backoffs grow to their maximum while the agent sends only unusable lists.
func TestUnusableListsBackOff(t *testing.T) {
	var backoffs []time.Duration
	backoffStarted, endBackoff := make(chan time.Duration), make(chan time.Time)
	agent := discoverytest.NewScriptedAgent(t, func(string) []string { return []string{"nonsense"} })
	runClient(t, agent.Address(), func(o *Options) {
		o.After = func(d time.Duration) <-chan time.Time { backoffStarted <- d; return endBackoff }
	})
	for range 10 {
		backoffs = append(backoffs, receive(t, backoffStarted))
		endBackoff <- time.Time{}
	}
	receive(t, backoffStarted)
	if !slices.IsSorted(backoffs) || backoffs[9] != maxUnusableBackoff {
		t.Errorf("got backoffs of %v, want them to grow to the maximum", backoffs)
	}
}

// indent returns a JSON value indented over several lines.
func indent(t *testing.T, value string) string {
	t.Helper()
	var b bytes.Buffer
	if err := json.Indent(&b, []byte(value), "", "  "); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// TestWatchDecodesIndentedAndSplitLists checks that lists are decoded if they are indented, arrive in several parts, or
// have blank lines between them.
func TestWatchDecodesIndentedAndSplitLists(t *testing.T) {
	address, polls := discoverytest.NewManualAgent(t)
	client := runClient(t, address, nil)
	watch := receive(t, polls)
	complete := indent(t, discoverytest.ListJSON(5, true, "x", "in_service", "y", "in_service"))
	change := indent(t, discoverytest.ListJSON(6, false, "x", "terminating"))
	watch.Write(complete + "\n\n\n" + change[:40])
	client.wantUpdate("[x in_service y in_service]")
	watch.Write(change[40:] + "\n" + discoverytest.ListJSON(7, false, "y", "terminating"))
	client.wantUpdate("[x draining]")
	client.wantUpdate("[y draining]")
	watch.End()
	if next := receive(t, polls); next.URI != "/api/targets?watch=1&after=7" {
		t.Errorf("polled %q after the watch, want a watch after version 7", next.URI)
	}
}

// TestEndlessListIsBounded checks that the client stops reading a value that exceeds maxValueSize, as an endless value
// would exhaust the memory. It must then poll the complete list, as the change in the value is lost.
func TestEndlessListIsBounded(t *testing.T) {
	const partSize = 4 << 10
	address, polls := discoverytest.NewManualAgent(t)
	client := runClient(t, address, nil)
	watch := receive(t, polls)
	watch.Write(`{"version":5,"full":false,"servers":[`)
	go func() {
		for range maxValueSize/partSize + 1 {
			watch.Write(strings.Repeat(" ", partSize))
		}
	}()
	poll := receive(t, polls)
	if poll.URI != "/api/targets" {
		t.Fatalf("polled %q, want the complete list", poll.URI)
	}
	poll.Write(discoverytest.ListJSON(8, true, "z", "in_service"))
	poll.End()
	client.wantUpdate("[z in_service]")
}

// TestAddressSwitchPollsImmediately checks that a client polls a new address at once, without waiting for the end of a
// poll, a response or a backoff at the old address.
func TestAddressSwitchPollsImmediately(t *testing.T) {
	backingOff := make(chan struct{}, 1)
	for _, tc := range []struct {
		during  string
		refuses bool                                                      // the old address refuses connections
		reach   func(*testing.T, *runningClient, chan discoverytest.Poll) // waits until the client is in that state
	}{
		{during: "a backoff", refuses: true, reach: func(t *testing.T, _ *runningClient, _ chan discoverytest.Poll) {
			receive(t, backingOff)
		}},
		{during: "a poll", reach: func(t *testing.T, _ *runningClient, polls chan discoverytest.Poll) {
			receive(t, polls)
		}},
		{during: "a complete list", reach: func(t *testing.T, _ *runningClient, polls chan discoverytest.Poll) {
			receive(t, polls).Write("nonsense ")
			poll := receive(t, polls)
			if poll.URI != "/api/targets" {
				t.Fatalf("polled %q, want the complete list", poll.URI)
			}
			poll.Write(`{"version":9,`)
		}},
		{during: "a watch", reach: func(t *testing.T, client *runningClient, polls chan discoverytest.Poll) {
			receive(t, polls).Write(discoverytest.ListJSON(9, true, "x", "in_service"))
			receive(t, client.updates)
		}},
	} {
		t.Run(tc.during, func(t *testing.T) {
			oldAddress, oldPolls := discoverytest.NewManualAgent(t)
			newAddress, newPolls := discoverytest.NewManualAgent(t)
			if tc.refuses {
				oldAddress = "127.0.0.1:2"
			}
			client := runClient(t, oldAddress, func(o *Options) {
				o.After = func(d time.Duration) <-chan time.Time {
					if !tc.refuses {
						return time.After(d)
					}
					backingOff <- struct{}{}
					return nil // the backoff does not end by itself
				}
			})
			tc.reach(t, client, oldPolls)
			client.addresses <- newAddress
			poll := receive(t, newPolls)
			if poll.URI != "/api/targets" {
				t.Errorf("polled %q at the new address, want the complete list", poll.URI)
			}
			poll.Write(discoverytest.ListJSON(2, true, "y", "in_service"))
			client.wantUpdate("[y in_service]")
		})
	}
}

// TestPollRetryIntervalByDrainGrace checks that the poll retry interval is a fraction of the grace period for draining
// endpoints, and at most 0.5 s.
func TestPollRetryIntervalByDrainGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		0: 75 * time.Millisecond, 250 * time.Millisecond: 75 * time.Millisecond,
		50 * time.Millisecond: 15 * time.Millisecond, time.Second: 300 * time.Millisecond, time.Minute: 500 * time.Millisecond,
	} {
		if got := PollRetryIntervalFor(grace).Round(time.Microsecond); got != want {
			t.Errorf("grace period of %v: got a poll retry interval of %v, want %v", grace, got, want)
		}
	}
}
