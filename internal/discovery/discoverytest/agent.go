// Package discoverytest provides fake discovery agents for tests.
package discoverytest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// ListJSON returns an endpoint list in the JSON form of the discovery API. entries holds an id and a state for each
// endpoint.
func ListJSON(version int, full bool, entries ...string) string {
	var endpoints []string
	for i := 0; i < len(entries); i += 2 {
		endpoints = append(endpoints, fmt.Sprintf(`{"id":"%s","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"%s",`+
			`"weight":1.0,"started_ms":1500}`, entries[i], entries[i+1]))
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(endpoints, ","))
}

// ScriptedAgent is an agent that responds to each poll with the lines that a function returns.
type ScriptedAgent struct {
	server *httptest.Server
	// Polls receives the URI of each poll.
	Polls chan string
}

// NewScriptedAgent starts an agent that responds to each poll with the lines that linesFor returns for the query of
// the poll. If the last line is empty, the agent does not end the response. The agent is stopped at the end of the
// test.
func NewScriptedAgent(t *testing.T, linesFor func(query string) []string) *ScriptedAgent {
	t.Helper()
	agent := &ScriptedAgent{Polls: make(chan string, 64)}
	ended := make(chan struct{})
	agent.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		agent.Polls <- request.URL.RequestURI()
		lines := linesFor(request.URL.RawQuery)
		write(w, strings.Join(lines, "\n")+"\n")
		if len(lines) > 0 && lines[len(lines)-1] == "" {
			select {
			case <-ended:
			case <-request.Context().Done():
			}
		}
	}))
	t.Cleanup(func() { close(ended); agent.server.Close() })
	return agent
}

// Address returns the host and port at which the agent listens.
func (a *ScriptedAgent) Address() string { return strings.TrimPrefix(a.server.URL, "http://") }

// Poll is a poll whose response the test writes part by part.
type Poll struct {
	URI string
	// Cancelled is closed when the client cancels the poll, and after the response has ended.
	Cancelled <-chan struct{}
	parts     chan string
	ended     chan struct{}
}

// Write writes a part of the response, unless the client has cancelled the poll or the response has ended.
func (p Poll) Write(text string) {
	select {
	case p.parts <- text:
	case <-p.Cancelled:
	}
}

// End ends the response.
func (p Poll) End() { close(p.ended) }

// NewManualAgent starts an agent that sends each poll to the test, which writes the response. The agent is stopped at
// the end of the test.
func NewManualAgent(t *testing.T) (address string, polls chan Poll) {
	t.Helper()
	polls = make(chan Poll, 256)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		poll := Poll{request.URL.RequestURI(), request.Context().Done(), make(chan string), make(chan struct{})}
		polls <- poll
		for {
			select {
			case text := <-poll.parts:
				write(w, text)
			case <-poll.ended:
				return
			case <-poll.Cancelled:
				return
			case <-ended:
				return
			}
		}
	}))
	t.Cleanup(func() { close(ended); server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://"), polls
}

// write writes and flushes a part of a response. It ignores errors, as the client may have disconnected.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}
