// Package readbuf gathers what is read from connections, within one budget of memory for all of them.
package readbuf

import (
	"errors"
	"sync/atomic"
)

// InitialSize is the first size of a buffer in bytes, which takes nothing from the budget. Each read has at least half of it
// to read into.
const InitialSize = 4 << 10

// ErrExhausted reports that the budget has no memory left for a buffer. A client gets its text.
var ErrExhausted = errors.New("no room for more input")

// Budget bounds the bytes that readers and the event loop hold for others, beyond the first InitialSize bytes of each
// connection. It is safe for use by many goroutines.
type Budget struct {
	available        atomic.Int64
	readAheadReserve int64 // never changes
}

// NewBudget returns a budget of size bytes. Readers that only read ahead leave readAheadReserve of them to others.
func NewBudget(size, readAheadReserve int64) *Budget {
	b := &Budget{readAheadReserve: readAheadReserve}
	b.available.Store(size)
	return b
}

// Available returns how many bytes can be reserved.
func (b *Budget) Available() int64 { return b.available.Load() }

// AllowsReadAhead reports whether more is available than the reserve, so that a reader may read ahead.
func (b *Budget) AllowsReadAhead() bool { return b.available.Load() > b.readAheadReserve }

// Reserve takes n bytes, and reports whether there were as many.
func (b *Budget) Reserve(n int) bool {
	if b.available.Add(-int64(n)) < 0 {
		b.available.Add(int64(n))
		return false
	}
	return true
}

// Release gives n bytes back.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Buffer gathers what is read from one connection. It belongs to the reader of the connection.
type Buffer struct {
	content  []byte
	budget   *Budget
	reserved int // bytes of the budget
}

// NewBuffer returns an empty buffer that grows beyond InitialSize at the cost of the budget.
func NewBuffer(budget *Budget) Buffer { return Buffer{budget: budget} }

// Bytes returns what was read and not discarded yet. It is valid until the next call of another method.
func (b *Buffer) Bytes() []byte { return b.content }

// Len returns the number of bytes that were read and not discarded yet.
func (b *Buffer) Len() int { return len(b.content) }

// Space returns the space to read into, nil if the budget has none left.
func (b *Buffer) Space() []byte {
	if cap(b.content)-len(b.content) < InitialSize/2 {
		size := max(InitialSize, 2*len(b.content)+InitialSize/2)
		if more := size - InitialSize - b.reserved; more > 0 {
			if !b.budget.Reserve(more) {
				return nil
			}
			b.reserved += more
		}
		b.content = append(make([]byte, 0, size), b.content...)
	}
	return b.content[len(b.content):cap(b.content)]
}

// Commit notes that n bytes were read into the space.
func (b *Buffer) Commit(n int) { b.content = b.content[:len(b.content)+n] }

// Discard drops the first n bytes, and frees a buffer that one large value made grow once it is empty.
func (b *Buffer) Discard(n int) {
	rest := b.content[n:]
	if len(rest) == 0 && cap(b.content) > InitialSize {
		b.Free()
		return
	}
	b.content = b.content[:copy(b.content, rest)]
}

// Free drops all, and gives back what was reserved.
func (b *Buffer) Free() {
	b.budget.Release(b.reserved)
	b.content, b.reserved = nil, 0
}
