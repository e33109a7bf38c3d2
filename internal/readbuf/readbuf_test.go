package readbuf

import (
	"bytes"
	"testing"
)

// fill appends n bytes with the value kind to a buffer, and reports whether there was space for all of them.
func fill(b *Buffer, kind byte, n int) bool {
	for n > 0 {
		space := b.Space()
		if space == nil {
			return false
		}
		part := min(n, len(space))
		copy(space, bytes.Repeat([]byte{kind}, part))
		b.Commit(part)
		n -= part
	}
	return true
}

// TestBufferGrowthIsBoundedByBudget checks that buffers do not grow beyond the budget, that they keep their content as
// they grow, and that they release the reserved memory when they are emptied or freed.
func TestBufferGrowthIsBoundedByBudget(t *testing.T) {
	const size = 4 * InitialSize
	budget := NewBudget(size, size/2)
	one, other := NewBuffer(budget, 0), NewBuffer(budget, 0)
	if !fill(&one, 'a', InitialSize/2) || budget.Available() != size {
		t.Errorf("%d of %d bytes are available after a first read, want all", budget.Available(), size)
	}
	if !fill(&one, 'b', 2*InitialSize) || budget.Available() >= size {
		t.Errorf("with %d bytes in a buffer, %d of %d bytes are available, want fewer", one.Len(), budget.Available(), size)
	}
	if fill(&other, 'c', 8*InitialSize) {
		t.Error("a buffer grew beyond the budget")
	}
	if want := append(bytes.Repeat([]byte{'a'}, InitialSize/2), bytes.Repeat([]byte{'b'}, 2*InitialSize)...); !bytes.Equal(one.Bytes(), want) {
		t.Error("the content changed as the buffer grew")
	}
	one.Discard(InitialSize / 2)
	if !bytes.Equal(one.Bytes(), bytes.Repeat([]byte{'b'}, 2*InitialSize)) {
		t.Error("the content changed after a partial discard")
	}
	one.Discard(one.Len())
	other.Free()
	if budget.Available() != size {
		t.Errorf("%d of %d bytes are available after one buffer was emptied and the other freed, want all", budget.Available(), size)
	}
}

// TestBudgetReservesMemoryFromReadAhead checks that reading ahead is not allowed when only the read-ahead reserve is
// available, and that a failed reservation takes nothing.
func TestBudgetReservesMemoryFromReadAhead(t *testing.T) {
	budget := NewBudget(100, 40)
	if !budget.AllowsReadAhead() {
		t.Error("an unused budget does not allow reading ahead")
	}
	if !budget.Reserve(60) || budget.AllowsReadAhead() {
		t.Error("reading ahead is allowed with only the reserve available")
	}
	if budget.Reserve(41) || budget.Available() != 40 {
		t.Errorf("%d bytes are available after a failed reservation of 41 bytes, want 40", budget.Available())
	}
}

// TestReserveLeavesMemoryToOthers checks that a buffer does not take the part of the budget that it must leave to other
// users, and that these can take it.
func TestReserveLeavesMemoryToOthers(t *testing.T) {
	budget := NewBudget(16*InitialSize, 0)
	rest := budget.Share(0.25)
	buffer := NewBuffer(budget, rest)
	if fill(&buffer, 'a', 32*InitialSize) {
		t.Error("a buffer grew beyond the budget")
	}
	if available := budget.Available(); available < rest {
		t.Errorf("%d bytes are left by a buffer, want at least %d", available, rest)
	}
	if !budget.Reserve(int(rest)) {
		t.Error("another user can't take what the buffer must leave")
	}
}
