package discovery

import (
	"context"
	"io"
	"net/http"
)

// poll polls the agent until it responds, and returns the body of the response. An agent that is down is silent,
// and may never respond to what it was sent meanwhile: it is polled again and again, and the first response is
// read. The first poll stays open beside the later ones, for an agent that is only slow.
// The error is that of the last poll once all have failed, or that of ctx, whose end also ends the response.
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

// noPoll is the number of no poll: cancelAllBut(noPoll) cancels all of them.
const noPoll = -1

// pollGroup is a series of equal polls of which the first response counts. It belongs to the goroutine of
// Client.poll; each poll runs on a goroutine of its own, which ends with the response or when it is cancelled.
type pollGroup struct {
	http    *http.Client
	url     string
	results chan pollResult
	done    chan struct{}        // closed when no result is received any more
	cancels []context.CancelFunc // by the number of the poll
	pending int                  // polls that have not failed
}

// pollResult is the outcome of one poll: the body of the response or an error.
type pollResult struct {
	body   io.ReadCloser
	err    error
	number int
}

// newPollGroup takes the address from the client: a poll that outlives its group must not look at it.
func newPollGroup(c *Client, query string) *pollGroup {
	return &pollGroup{
		http: c.http, url: "http://" + c.address + listPath + query,
		results: make(chan pollResult), done: make(chan struct{}),
	}
}

// start begins another poll, and cancels the oldest one after the first if too many are open.
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
				_ = body.Close() // nobody has read it
			}
		}
	}()
}

// recordFailure notes that a poll has failed.
func (g *pollGroup) recordFailure(result pollResult) {
	g.pending--
	g.cancels[result.number]()
}

// accept returns the body of the first response, and cancels all other polls.
func (g *pollGroup) accept(result pollResult) io.ReadCloser {
	g.cancelAllBut(result.number)
	return responseBody{result.body, g.cancels[result.number]}
}

// cancelAllBut cancels all polls but the one of a number.
func (g *pollGroup) cancelAllBut(accepted int) {
	for number, cancel := range g.cancels {
		if number != accepted {
			cancel()
		}
	}
}

// get polls once; the body is the caller's to close.
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
		_ = response.Body.Close() // nothing of it is read
		return nil, &StatusError{response.Status}
	}
	return response.Body, nil
}

// responseBody is the body of a response that releases the context of its poll when it is closed.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b responseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
