package proxy

import (
	"cmp"
	"slices"
	"time"

	"reedlead/internal/netcalls"
	"reedlead/policy"
)

// A reader that finds no room in the input budget asks the event loop to take memory back from clients that have stopped
// within a command. Their commands are shed, and their connections stay open until the command timeout.

const (
	// inputStallTimeout is the time in seconds without input after which a partial command may be shed for others.
	inputStallTimeout policy.Seconds = 0.1
	// inputMemoryWait is the maximum time for which a reader waits for memory. Within it, the commands of its client that
	// are behind the partial one wait too.
	inputMemoryWait = 50 * time.Millisecond
	// inputMemoryPoll is the interval at which a waiting reader checks the budget.
	inputMemoryPoll = 2 * time.Millisecond
)

// publishPartialCommand tells the event loop whether the reader holds a partial command, and how much of the input
// budget it holds for that.
func (r *clientReader) publishPartialCommand() {
	r.client.partialCommand.Store(r.hasPartialCommand())
	r.client.partialInput.Store(int64(r.buffer.Reserved()))
}

// awaitSpace returns space to read into after memory was taken back from other clients. It returns nil if they hold none
// that may be taken back, if this reader has to give up its own, or if the client has disconnected. It waits for
// inputMemoryWait at most.
func (r *clientReader) awaitSpace() []byte {
	c, shared := r.client, r.services
	reclaimed := make(chan bool, 1)
	wanted := int64(r.buffer.Growth())
	shared.loop.Post(shared.clock.Now(), func() { reclaimed <- c.set.reclaimInput(c, wanted) })
	select {
	case some := <-reclaimed:
		if !some {
			return nil
		}
	case <-c.done:
		return nil
	case <-shared.loop.Ended():
		return nil
	}
	ticker := time.NewTicker(inputMemoryPoll)
	defer ticker.Stop()
	for end := time.Now().Add(c.set.inputMemoryWait); time.Now().Before(end); {
		if space := r.buffer.Space(); space != nil {
			return space
		}
		if c.shedRequested.Load() || netcalls.ClosedByPeer(c.rawConn) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-c.done:
			return nil
		}
	}
	return nil
}

// shedIfRequested sheds the partial command if the event loop has asked for its memory.
func (r *clientReader) shedIfRequested() {
	if r.client.shedRequested.CompareAndSwap(true, false) && r.shed == nil && r.buffer.Reserved() > 0 {
		r.startShedding()
	}
}

// reclaimInput asks for the memory of partial commands whose clients have sent nothing for inputStallTimeout, those
// first that have sent nothing for longest, until wanted bytes are asked for. It reports whether there were any. Event
// loop only.
func (s *clientSet) reclaimInput(newcomer *clientConn, wanted int64) (some bool) {
	now := s.services.clock.Now()
	var stalled []*clientConn
	for c := range s.conns {
		if c != newcomer && c.partialInput.Load() > 0 && now-c.lastInputAt.Load() > s.inputStallTimeout {
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(a, b *clientConn) int { return cmp.Compare(a.lastInputAt.Load(), b.lastInputAt.Load()) })
	for _, c := range stalled {
		if wanted <= 0 {
			break
		}
		wanted -= c.partialInput.Load()
		c.requestShedding()
	}
	return len(stalled) > 0
}

// requestShedding interrupts the reader, so that it sheds its partial command. Event loop only.
func (c *clientConn) requestShedding() {
	c.shedRequested.Store(true)
	_ = c.conn.SetReadDeadline(pastDeadline) // fails if the connection has ended, which the reader reports
}
