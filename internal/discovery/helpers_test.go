package discovery

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 20 * time.Second

// refusingAddress is an address at which no process listens.
const refusingAddress = "127.0.0.1:1"

// receive waits for the next value of a channel.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timeout while waiting for a value")
		panic("unreachable")
	}
}

// runningClient is a client that runs until the end of the test.
type runningClient struct {
	t         *testing.T
	updates   chan []string // ids and states of each update
	addresses chan string
}

// runClient starts a client that has version 4 of the list. The poll retry interval is so long that no poll is retried,
// even in a slow test, unless the function change replaces the interval.
func runClient(t *testing.T, address string, change func(*Options)) *runningClient {
	t.Helper()
	r := &runningClient{t: t, updates: make(chan []string, 64), addresses: make(chan string)}
	options := DefaultOptions(0)
	options.PollRetryInterval = time.Hour
	options.DialContext = (&net.Dialer{}).DialContext
	options.Notify = func(e Event) {
		if update, ok := e.(Update); ok {
			r.updates <- describe(update.List)
		}
	}
	if change != nil {
		change(&options)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		New(address, 4, options).Run(ctx, r.addresses)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return r
}

func describe(list List) (entries []string) {
	for _, e := range list.Endpoints {
		state, _ := e.State.PolicyState()
		entries = append(entries, fmt.Sprint(e.ID, " ", state))
	}
	return entries
}

// wantUpdate waits for the next update and compares its ids and states.
func (r *runningClient) wantUpdate(want string) {
	r.t.Helper()
	if got := fmt.Sprint(receive(r.t, r.updates)); got != want {
		r.t.Errorf("got the update %s, want %s", got, want)
	}
}
