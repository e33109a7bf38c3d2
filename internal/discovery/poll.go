package discovery

import (
	"context"
	"io"
	"net/http"
)

// poll polls the agent and returns the body of the first response with HTTP status 200. An agent may never respond to
// polls that were sent while it was down. So poll starts another poll after each PollRetryInterval. The first poll
// stays open in case the agent is only slow.
//
// Once all polls so far have failed, poll returns the error of the one that failed last. When ctx ends, the polls and
// the returned response end too.
func (c *Client) poll(ctx context.Context, query string) (io.ReadCloser, error) {
	group := newPollGroup(c, query)
	defer close(group.done)
	due := make(chan struct{}, 1)
	due <- struct{}{}
	retry := c.options.AfterFunc(c.options.PollRetryInterval, func() {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer retry.Stop()
	for {
		select {
		case <-due:
			retry.Reset(c.options.PollRetryInterval)
			group.start(ctx)
		case result := <-group.results:
			if result.err == nil {
				return group.accept(result), nil
			}
			if group.recordFailure(result); group.pending == 0 {
				return nil, result.err
			}
		case <-ctx.Done():
			group.cancelAllBut(noPoll)
			return nil, ctx.Err()
		}
	}
}

// noPoll is the argument with which cancelAllBut cancels all polls.
const noPoll = -1

// pollGroup is a group of polls of the same URL, and uses the first successful response to any of them. The goroutine
// of Client.poll owns it. Each poll runs on its own goroutine until it gets a response, fails or is cancelled.
type pollGroup struct {
	http    *http.Client
	url     string
	results chan pollResult
	done    chan struct{}        // closed when Client.poll returns
	cancels []context.CancelFunc // indexed by the number of the poll
	pending int                  // number of polls that have not failed
}

// pollResult is the outcome of one poll: the body of the response or an error.
type pollResult struct {
	body   io.ReadCloser
	err    error
	number int
}

// newPollGroup returns a group without polls. The group has its own copy of the client's address: a poll may still run
// after Client.poll has returned, and must not read the client then.
func newPollGroup(c *Client, query string) *pollGroup {
	return &pollGroup{
		http: c.http, url: "http://" + c.address + listPath + query,
		results: make(chan pollResult), done: make(chan struct{}),
	}
}

// start starts another poll. It keeps the first poll and the last maxConcurrentRetries polls, including the new one,
// and cancels the poll before these.
func (g *pollGroup) start(ctx context.Context) {
	number := len(g.cancels)
	if oldest := number - maxConcurrentRetries; oldest > 0 {
		g.cancels[oldest]()
	}
	pollContext, cancel := context.WithCancel(ctx)
	g.cancels = append(g.cancels, cancel)
	g.pending++
	go func() {
		body, err := get(pollContext, g.http, g.url)
		select {
		case g.results <- pollResult{body, err, number}:
		case <-g.done:
			cancel()
			if body != nil {
				_ = body.Close() // the response is not used
			}
		}
	}()
}

// recordFailure records that a poll has failed, and releases its context.
func (g *pollGroup) recordFailure(result pollResult) {
	g.pending--
	g.cancels[result.number]()
}

// accept returns the body of a successful response, and cancels all other polls.
func (g *pollGroup) accept(result pollResult) io.ReadCloser {
	g.cancelAllBut(result.number)
	return responseBody{result.body, g.cancels[result.number]}
}

// cancelAllBut cancels all polls except the one with the given number.
func (g *pollGroup) cancelAllBut(accepted int) {
	for number, cancel := range g.cancels {
		if number != accepted {
			cancel()
		}
	}
}

// get sends one GET request and returns the body of the response, which the caller must close.
func get(ctx context.Context, client *http.Client, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the body is not used
		return nil, &StatusError{response.Status}
	}
	return response.Body, nil
}

// responseBody is the body of a response. Closing it also releases the context of the poll.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
