package proxy

// maxPipelined is how many commands of one connection may be open at a time.
const maxPipelined = 32

// pipelineSlot is the place of one reply in the order of its connection's commands.
type pipelineSlot struct {
	request *request // nil where the reply was known at once
	reply   []byte   // in RESP; nil until it is final
	last    bool     // the connection ends with it
}

// unwrittenReply is a reply that the socket has not taken completely. It keeps its permit until then, so that a client
// that does not read is not read from either.
type unwrittenReply struct {
	requestID string // empty where it replies to another command
	remaining int    // bytes that the socket has not taken
	hasPermit bool
}

// replyPipeline keeps the replies of one connection in the order of its commands. The event loop owns it.
type replyPipeline struct {
	slots           []*pipelineSlot  // of open commands and of replies behind them; at most maxPipelined+1
	pending         []byte           // replies that are due and were not handed to a writer yet
	unwritten       []unwrittenReply // those that are pending or with a writer, oldest first
	lastReplyQueued bool             // the reply with which the connection ends is among them, or written
}

// add appends the slot of the next command.
func (p *replyPipeline) add(slot *pipelineSlot) { p.slots = append(p.slots, slot) }

// empty reports whether no reply is open or pending.
func (p *replyPipeline) empty() bool { return len(p.slots) == 0 && len(p.pending) == 0 }

// unfinished is the number of replies that are open or not completely written.
func (p *replyPipeline) unfinished() int { return len(p.slots) + len(p.unwritten) }

// queueDue moves the replies that are final, and have no open one before them, to the pending bytes. It returns their
// number and their bytes.
func (p *replyPipeline) queueDue() (replies, bytes int) {
	before := len(p.pending)
	for replies < len(p.slots) && p.slots[replies].reply != nil && !p.lastReplyQueued {
		slot := p.slots[replies]
		unwritten := unwrittenReply{remaining: len(slot.reply), hasPermit: !slot.last}
		if slot.request != nil {
			unwritten.requestID = slot.request.ID
		}
		p.pending = append(p.pending, slot.reply...)
		p.unwritten = append(p.unwritten, unwritten)
		p.lastReplyQueued = slot.last
		replies++
	}
	clear(p.slots[:replies])
	p.slots = p.slots[:copy(p.slots, p.slots[replies:])]
	return replies, len(p.pending) - before
}

// recordWritten notes that the socket has taken n more bytes. It returns how many replies with a permit were completed
// by that.
func (p *replyPipeline) recordWritten(n int) (permits int) {
	completed := 0
	for completed < len(p.unwritten) && n >= p.unwritten[completed].remaining {
		n -= p.unwritten[completed].remaining
		if p.unwritten[completed].hasPermit {
			permits++
		}
		completed++
	}
	p.unwritten = p.unwritten[:copy(p.unwritten, p.unwritten[completed:])]
	if len(p.unwritten) > 0 {
		p.unwritten[0].remaining -= n
	}
	return permits
}

// drop forgets all that is open or pending. The ids of unwritten replies are kept for the log.
func (p *replyPipeline) drop() { p.slots, p.pending = nil, nil }

// requestIDs are the requests that have no final reply yet, and those whose reply is not completely written, oldest
// first.
func (p *replyPipeline) requestIDs() (ids []string) {
	for _, unwritten := range p.unwritten {
		if unwritten.requestID != "" {
			ids = append(ids, unwritten.requestID)
		}
	}
	for _, slot := range p.slots {
		if slot.request != nil {
			ids = append(ids, slot.request.ID)
		}
	}
	return ids
}
