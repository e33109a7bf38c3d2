package eventloop

import (
	"container/heap"

	"reedlead/policy"
)

// Timer runs a function on the loop at a time, unless it is stopped before. The goroutine of the loop owns it.
type Timer struct {
	at    policy.Seconds
	run   func()
	index int // in the heap, notQueued outside
}

const notQueued = -1

// timerHeap is a heap.Interface by the time at which timers are due. It is bounded by what is open: a request
// and an attempt hold one timer each until they end, the decision module and the loop's owner a few.
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

// add queues a function to be run at a time.
func (h *timerHeap) add(at policy.Seconds, run func()) *Timer {
	timer := &Timer{at: at, run: run}
	heap.Push(h, timer)
	return timer
}

// remove takes a timer off the heap, and with it all that it holds. It does nothing for nil or a timer that has run.
func (h *timerHeap) remove(timer *Timer) {
	if timer != nil && timer.index >= 0 {
		heap.Remove(h, timer.index)
	}
}

// popFirst takes the timer that is due first off the heap.
func (h *timerHeap) popFirst() *Timer { return heap.Pop(h).(*Timer) }
