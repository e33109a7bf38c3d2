package proxy

// maxPipelined is the maximum number of commands per connection whose reply is not completely written.
const maxPipelined = 32

// pipelineSlot reserves the position of a reply in the order of its connection's commands.
type pipelineSlot struct {
	request *request // nil if the proxy replies without the decision module
	reply   []byte   // in RESP; nil until it is final
	last    bool     // the connection is closed after this reply
	// withoutPermit is set if the command holds no permit, because the reader has refused it.
	withoutPermit bool
	// reserved is the number of bytes of the reply budget that are reserved for reply while it waits for the replies before
	// it.
	reserved int
}

// unwrittenReply is a reply that is queued but not completely written to the socket. Unless it is the connection's last
// reply, or that to a refused command, it holds the permit of its command until it is written, so that the reader stops
// handling commands of a client that does not read its replies.
type unwrittenReply struct {
	requestID string // empty if the command is not a request
	remaining int    // bytes not written yet
	hasPermit bool
}

// replyPipeline keeps the replies of a connection in the order of its commands. The event loop owns it.
type replyPipeline struct {
	// slots holds the open commands and the final replies behind them: at most maxPipelined, plus one for the last reply
	// and those of refused commands.
	slots           []*pipelineSlot
	pending         []byte           // queued replies that are neither written nor handed to a writer goroutine
	unwritten       []unwrittenReply // replies that are pending or with a writer, oldest first
	lastReplyQueued bool             // the last reply of the connection was queued
}

// add appends the slot for the next command.
func (p *replyPipeline) add(slot *pipelineSlot) { p.slots = append(p.slots, slot) }

// empty reports whether there is neither an open command nor a pending reply.
func (p *replyPipeline) empty() bool { return len(p.slots) == 0 && len(p.pending) == 0 }

// unfinished returns the number of commands whose reply is not completely written.
func (p *replyPipeline) unfinished() int { return len(p.slots) + len(p.unwritten) }

// isFirst reports whether no reply comes before that of a slot.
func (p *replyPipeline) isFirst(slot *pipelineSlot) bool {
	return len(p.slots) > 0 && p.slots[0] == slot
}

// queueDue moves final replies from the front of the pipeline to pending. It stops before the first open command, and
// after the connection's last reply. It returns how many replies it moved, their total size in bytes, and the number of
// bytes that were reserved for them.
func (p *replyPipeline) queueDue() (replies, bytes, reserved int) {
	before := len(p.pending)
	for replies < len(p.slots) && p.slots[replies].reply != nil && !p.lastReplyQueued {
		slot := p.slots[replies]
		unwritten := unwrittenReply{remaining: len(slot.reply), hasPermit: !slot.last && !slot.withoutPermit}
		if slot.request != nil {
			unwritten.requestID = slot.request.ID
		}
		p.pending = append(p.pending, slot.reply...)
		p.unwritten = append(p.unwritten, unwritten)
		p.lastReplyQueued = slot.last
		reserved += slot.reserved
		replies++
	}
	clear(p.slots[:replies])
	p.slots = p.slots[:copy(p.slots, p.slots[replies:])]
	return replies, len(p.pending) - before, reserved
}

// recordWritten records that n more bytes were written to the socket. It returns the number of permits to release: one
// for each reply that is now completely written and holds one.
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

// drop discards the open commands, the final replies behind them and the pending replies. It returns the number of bytes
// that were reserved for the final replies.
func (p *replyPipeline) drop() (reserved int) {
	for _, slot := range p.slots {
		reserved += slot.reserved
	}
	p.slots, p.pending = nil, nil
	return reserved
}

// requestIDs returns the ids of the requests whose reply is not completely written, oldest first.
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
