package readbuf

import (
	"bytes"
	"testing"
)

// fill reads n bytes of a kind into a buffer, and reports whether there was space for them.
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

// TestBufferGrowthIsBoundedByBudget guards against memory beyond the budget, and against a part of it that is never
// given back.
func TestBufferGrowthIsBoundedByBudget(t *testing.T) {
	const size = 4 * InitialSize
	budget := NewBudget(size, size/2)
	one, other := NewBuffer(budget), NewBuffer(budget)
	if !fill(&one, 'a', InitialSize/2) || budget.Available() != size {
		t.Errorf("a first read leaves %d of %d bytes", budget.Available(), size)
	}
	if !fill(&one, 'b', 2*InitialSize) || budget.Available() >= size {
		t.Errorf("%d bytes in a buffer leave %d of %d", one.Len(), budget.Available(), size)
	}
	if fill(&other, 'c', 8*InitialSize) {
		t.Error("a buffer grows beyond the budget")
	}
	if want := append(bytes.Repeat([]byte{'a'}, InitialSize/2), bytes.Repeat([]byte{'b'}, 2*InitialSize)...); !bytes.Equal(one.Bytes(), want) {
		t.Error("the buffer has changed as it grew")
	}
	one.Discard(InitialSize / 2)
	if !bytes.Equal(one.Bytes(), bytes.Repeat([]byte{'b'}, 2*InitialSize)) {
		t.Error("a part that was not discarded has changed")
	}
	one.Discard(one.Len())
	other.Free()
	if budget.Available() != size {
		t.Errorf("%d of %d bytes are given back", budget.Available(), size)
	}
}

// TestBudgetReservesMemoryFromReadAhead guards the share of the budget that is not for reading ahead.
func TestBudgetReservesMemoryFromReadAhead(t *testing.T) {
	budget := NewBudget(100, 40)
	if !budget.AllowsReadAhead() {
		t.Error("nothing is reserved yet")
	}
	if !budget.Reserve(60) || budget.AllowsReadAhead() {
		t.Error("the reserve alone is left")
	}
	if budget.Reserve(41) || budget.Available() != 40 {
		t.Errorf("%d bytes are left after a refused reservation", budget.Available())
	}
}
