// Package discoverytest provides discovery agents for tests.
package discoverytest

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// ListJSON returns a list in the form of the discovery API. Each entry is an id and a state.
func ListJSON(version int, full bool, entries ...string) string {
	var endpoints []string
	for i := 0; i < len(entries); i += 2 {
		endpoints = append(endpoints, fmt.Sprintf(`{"id":"%s","addr":"127.0.0.1:1","zone":"a","cell":3,"state":"%s",`+
			`"weight":1.0,"started_ms":1500}`, entries[i], entries[i+1]))
	}
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(endpoints, ","))
}

// ScriptedAgent responds to each poll with the lines that a function returns for it.
type ScriptedAgent struct {
	server *httptest.Server
	// Polls are the URIs that were polled, in their order.
	Polls chan string
}

// NewScriptedAgent starts an agent that responds to a query with the lines of response. A response whose lines
// end with "" stays open. The agent ends with the test.
func NewScriptedAgent(t *testing.T, response func(query string) []string) *ScriptedAgent {
	t.Helper()
	agent := &ScriptedAgent{Polls: make(chan string, 64)}
	ended := make(chan struct{})
	agent.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		agent.Polls <- request.URL.RequestURI()
		lines := response(request.URL.RawQuery)
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

// Address is where the agent listens.
func (a *ScriptedAgent) Address() string { return strings.TrimPrefix(a.server.URL, "http://") }

// Poll is a poll to which the test responds by hand.
type Poll struct {
	URI string
	// Cancelled is closed when the client has given up the poll.
	Cancelled <-chan struct{}
	parts     chan string
	ended     chan struct{}
}

// Write writes a part of the response, unless the client has given up the poll.
func (p Poll) Write(text string) {
	select {
	case p.parts <- text:
	case <-p.Cancelled:
	}
}

// End ends the response.
func (p Poll) End() { close(p.ended) }

// NewManualAgent starts an agent that hands each poll to the test. It ends with the test.
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

// write writes a part of a response at once. Clients that have disconnected are what some tests are about.
func write(w http.ResponseWriter, text string) {
	_, _ = io.WriteString(w, text)
	w.(http.Flusher).Flush()
}
