package eventloop

import (
	"container/heap"

	"reedlead/policy"
)

// Timer runs a function on the loop at a given time, unless it is stopped first. The loop's goroutine owns it.
type Timer struct {
	at    policy.Seconds
	run   func()
	index int // position in the heap; notQueued if it is not in the heap
}

const notQueued = -1

// timerHeap is a heap of timers ordered by the time at which they are due. Stopped timers are removed from it, so that
// timers of ended requests and attempts do not accumulate.
type timerHeap []*Timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	timer := x.(*Timer)
	timer.index = len(*h)
	*h = append(*h, timer)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	timer.index = notQueued
	return timer
}

// add adds a timer that runs a function at a given time.
func (h *timerHeap) add(at policy.Seconds, run func()) *Timer {
	timer := &Timer{at: at, run: run}
	heap.Push(h, timer)
	return timer
}

// remove removes a timer, so that the heap no longer references its function. It does nothing if the timer is nil or
// no longer in the heap.
func (h *timerHeap) remove(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(h, timer.index)
	}
}

// popFirst removes and returns the timer that is due first.
func (h *timerHeap) popFirst() *Timer { return heap.Pop(h).(*Timer) }
