package policy

const (
	// maxUnansweredReports is how many reports in a row a peer leaves unanswered before it counts as
	// unreachable. Two may be lost by chance.
	maxUnansweredReports = 3
	// unreachablePeriod is how long an unreachable peer is left out before it is tried again.
	unreachablePeriod Seconds = 1.0
)

// peer is another gateway as this one sees it.
type peer struct {
	// unanswered counts the reports without a reply since the peer's last message.
	unanswered       int
	lastUnansweredAt Seconds
	lastSentAt       Seconds
	// incarnation and sequence are those of the newest message that was accepted from the peer.
	incarnation uint8
	sequence    uint16
	// reports are the customers that the next message reports on.
	reports []*customer
	// pending tells that the peer is on the list of those with reports.
	pending bool
	// urgent tells that a request or a free concurrency slot waits for the report, which therefore does
	// not wait for a batch.
	urgent bool
}

// reachable tells whether the peer can be expected to reply.
func (p *peer) reachable(now Seconds) bool {
	return p.unanswered < maxUnansweredReports || now-p.lastUnansweredAt > unreachablePeriod
}

// acceptSequence records the number of a message that came in, and returns false if it was overtaken by a
// newer one of the same incarnation, or is a duplicate.
func (p *peer) acceptSequence(incarnation uint8, sequence uint16) bool {
	sameIncarnation := incarnation == p.incarnation && p.sequence != 0
	if sameIncarnation && int16(sequence-p.sequence) <= 0 { // the difference is right across a wraparound
		return false
	}
	p.incarnation, p.sequence = incarnation, sequence
	return true
}
