// Package readbuf provides the read buffers of connections. The growth of the buffers is charged to a shared budget.
package readbuf

import (
	"errors"
	"sync/atomic"
)

// InitialSize is the initial size of a buffer, in bytes. It is not charged to the budget. Space enlarges a buffer whose
// free part is smaller than half of InitialSize.
const InitialSize = 4 << 10

// ErrExhausted reports that the budget does not allow a buffer to grow.
var ErrExhausted = errors.New("no memory for more input")

// Budget limits how many bytes the connections may reserve together. A buffer reserves its space beyond InitialSize; other
// users call Reserve and Release. A Budget is safe for concurrent use.
type Budget struct {
	available        atomic.Int64
	size             int64 // immutable
	readAheadReserve int64 // immutable
}

// NewBudget returns a budget of size bytes. Connections may read ahead while more than readAheadReserve bytes are
// available.
func NewBudget(size, readAheadReserve int64) *Budget {
	b := &Budget{size: size, readAheadReserve: readAheadReserve}
	b.available.Store(size)
	return b
}

// Available returns the number of bytes that can be reserved.
func (b *Budget) Available() int64 { return b.available.Load() }

// AllowsReadAhead reports whether more than the readAheadReserve of NewBudget is available.
func (b *Budget) AllowsReadAhead() bool { return b.available.Load() > b.readAheadReserve }

// Share returns a fraction of the budget's size, in bytes.
func (b *Budget) Share(fraction float64) int64 { return int64(float64(b.size) * fraction) }

// Reserve takes n bytes from the budget and reports whether they were available. If they were not, it takes nothing.
func (b *Budget) Reserve(n int) bool { return b.ReserveLeaving(n, 0) }

// ReserveLeaving is like Reserve, but it takes nothing either if less than rest bytes would be left.
func (b *Budget) ReserveLeaving(n int, rest int64) bool {
	if b.available.Add(-int64(n)) < rest {
		b.available.Add(int64(n))
		return false
	}
	return true
}

// Release returns n reserved bytes to the budget.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Buffer holds the unprocessed input of one connection. Only the goroutine that reads the connection may use it.
type Buffer struct {
	content  []byte
	budget   *Budget
	rest     int64 // bytes that the buffer leaves in the budget
	reserved int   // bytes taken from the budget
}

// NewBuffer returns an empty buffer that takes memory beyond InitialSize from the budget, as long as rest bytes are left.
func NewBuffer(budget *Budget, rest int64) Buffer { return Buffer{budget: budget, rest: rest} }

// Bytes returns the bytes that were read and not yet discarded. The slice is valid until the buffer is changed.
func (b *Buffer) Bytes() []byte { return b.content }

// Len returns the number of bytes that were read and not yet discarded.
func (b *Buffer) Len() int { return len(b.content) }

// Reserved returns the number of bytes that the buffer has taken from the budget.
func (b *Buffer) Reserved() int { return b.reserved }

// nextSize returns the size to which the buffer grows next.
func (b *Buffer) nextSize() int { return max(InitialSize, 2*len(b.content)+InitialSize/2) }

// Growth returns the number of bytes that the buffer takes from the budget when it grows, or a negative number if it has
// taken more than it needs.
func (b *Buffer) Growth() int { return b.nextSize() - InitialSize - b.reserved }

// HasSpace reports whether Space returns a free part of the buffer without growing it.
func (b *Buffer) HasSpace() bool { return cap(b.content)-len(b.content) >= InitialSize/2 }

// Space returns the free part of the buffer to read into, growing the buffer if necessary. It returns nil if the budget
// does not allow that.
func (b *Buffer) Space() []byte {
	if !b.HasSpace() {
		if more := b.Growth(); more > 0 {
			if !b.budget.ReserveLeaving(more, b.rest) {
				return nil
			}
			b.reserved += more
		}
		b.content = append(make([]byte, 0, b.nextSize()), b.content...)
	}
	return b.content[len(b.content):cap(b.content)]
}

// Commit adds the first n bytes of the slice that Space returned to the buffer's content.
func (b *Buffer) Commit(n int) { b.content = b.content[:len(b.content)+n] }

// Discard removes the first n bytes. A buffer that has grown beyond InitialSize is freed when it becomes empty.
func (b *Buffer) Discard(n int) {
	rest := b.content[n:]
	if len(rest) == 0 && cap(b.content) > InitialSize {
		b.Free()
		return
	}
	b.content = b.content[:copy(b.content, rest)]
}

// Shrink returns the reserved memory to the budget if the content fits into a buffer of InitialSize.
func (b *Buffer) Shrink() {
	if b.reserved == 0 || len(b.content) > InitialSize {
		return
	}
	content := append(make([]byte, 0, InitialSize), b.content...)
	b.Free()
	b.content = content
}

// Free discards the content and returns the reserved memory to the budget.
func (b *Buffer) Free() {
	b.budget.Release(b.reserved)
	b.content, b.reserved = nil, 0
}
