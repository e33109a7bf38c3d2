package kit

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Call is a command that came whole to an endpoint.
type Call struct {
	Endpoint           *Endpoint
	Name, Customer, ID string
	Fields             map[string]string
	Body               string
	FirstAt, LastAt    time.Time // when its first and its last byte were read
	Left               time.Duration
	Peer               string
}

// Answer tells what an endpoint does with a command. The zero value is silence.
type Answer struct {
	After time.Duration // work before the reply
	Reply []byte        // nil: no reply
	Close bool          // close the connection after it
}

// Value is the reply of a sound endpoint: the value, no figures on use, no load report.
func Value(text string) []byte {
	return fmt.Appendf(nil, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(text), text)
}

// ValueFor is the value that a sound endpoint makes for a request: it names the request and the endpoint.
func ValueFor(id, endpoint string) string { return "value-for-" + id + "-by-" + endpoint }

// Endpoint is a backend. Handle decides on each command that came whole.
type Endpoint struct {
	ID, Addr string
	Handle   func(Call) Answer
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// NewEndpoint starts an endpoint on a free port, or at an address if one is given.
func NewEndpoint(id, addr string, handle func(Call) Answer) (*Endpoint, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, Addr: l.Addr().String(), Handle: handle, listener: l, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

// Stop ends the endpoint as the death of its process would.
func (e *Endpoint) Stop() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *Endpoint) serve(c net.Conn) {
	gone := make(chan struct{})
	calls := make(chan any, 64)
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	go e.read(c, calls, gone)
	for item := range calls {
		switch item := item.(type) {
		case []byte:
			if _, err := c.Write(item); err != nil {
				return
			}
		case Call:
			answer := e.Handle(item)
			if answer.After > 0 {
				select {
				case <-time.After(answer.After):
				case <-gone: // work stops when its request is cancelled
					return
				}
			}
			if answer.Reply == nil && !answer.Close {
				<-gone
				return
			}
			if _, err := c.Write(answer.Reply); err != nil || answer.Close {
				return
			}
		}
	}
}

func (e *Endpoint) read(c net.Conn, calls chan<- any, gone chan struct{}) {
	defer close(calls)
	defer close(gone)
	r := bufio.NewReaderSize(c, 1<<16)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		words, err := ReadCommand(r)
		if err != nil {
			return
		}
		last := time.Now()
		switch {
		case (words[0] == "CALL.GET" && len(words) == 4) || (words[0] == "CALL.POST" && len(words) == 5):
			call := Call{
				Endpoint: e, Name: words[0], Customer: words[1], ID: words[2], Fields: Fields(words[3]),
				FirstAt: first, LastAt: last, Peer: c.RemoteAddr().String(),
			}
			if len(words) == 5 {
				call.Body = words[4]
			}
			ms, _ := strconv.Atoi(call.Fields["d"])
			call.Left = time.Duration(ms) * time.Millisecond
			calls <- call
		case words[0] == "PING":
			calls <- []byte("+PONG\r\n")
		case words[0] == "CLIENT" || words[0] == "SELECT":
			calls <- []byte("+OK\r\n")
		case words[0] == "INFO":
			calls <- []byte("-NOPERM\r\n")
		default:
			calls <- []byte("-ERR\r\n")
		}
	}
}
