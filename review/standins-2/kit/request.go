package kit

import (
	"fmt"
	"sync/atomic"
)

var requestCount atomic.Uint64

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", 0x9b1f000000000000+requestCount.Add(1)) }

// Customer returns the name of a customer.
func Customer(n int) string { return fmt.Sprintf("%016x", 0x10000+n) }

// Request is a request of a client.
type Request struct {
	Customer, ID, Class, Plan, Key, Body string
	D, Units, Spread, First              int
	Post                                 bool
}

// Encode returns the command of a request.
func (r Request) Encode() []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", r.Class, r.Plan, r.D)
	if r.Key != "" {
		fields += ",k=" + r.Key
	}
	fields += fmt.Sprintf(",units=%d,spread=%d,first=%d", r.Units, r.Spread, r.First)
	if r.Post {
		return Command("CALL.POST", r.Customer, r.ID, fields, r.Body)
	}
	return Command("CALL.GET", r.Customer, r.ID, fields)
}
