package policy

import (
	"cmp"
	"math"
)

const (
	// maxUnansweredReports is how many reports in a row a peer leaves unanswered before it counts as
	// unreachable. Two may be lost by chance.
	maxUnansweredReports = 3
	// unreachablePeriod is how long an unreachable peer is left out before it is tried again.
	unreachablePeriod Seconds = 1.0
	// unboundedMessageRate stands for a Settings.PeerMessageRate of 0, which bounds nothing.
	unboundedMessageRate = 1e6
	// receivedTimeConstant is the time in which a received message loses all but 1/e of its weight.
	receivedTimeConstant Seconds = 1.0
	// ownerQueryFraction is the part of Settings.PeerMessageRate that members may use to ask again after the
	// owner has rejected their requests.
	ownerQueryFraction = 0.5
	// maxBackoffLoad bounds the load of received messages, in multiples of that part, that lengthens backoffs.
	maxBackoffLoad = 3
)

// peer is another gateway as this one sees it.
type peer struct {
	// unansweredReports counts the reports without a reply since the peer's last message.
	unansweredReports int
	lastUnansweredAt  Seconds
	// incarnation and sequence are those of the newest message that was accepted from the peer.
	incarnation uint8
	sequence    uint16
}

// reachable tells whether the peer can be expected to reply.
func (p *peer) reachable(now Seconds) bool {
	return p.unansweredReports < maxUnansweredReports || now-p.lastUnansweredAt > unreachablePeriod
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

// peerProtocol numbers the messages to other gateways, accepts theirs in order, and knows which of the
// gateways are reachable. What the records say is not its concern.
type peerProtocol struct {
	clock       *eventClock
	self        int
	messageRate float64 // messages a second that a gateway can receive
	format      messageFormat
	incarnation uint8
	sequence    uint16 // of the last message
	// receivedRate is the decaying average of messages a second that come in, at receivedAt.
	receivedRate float64
	receivedAt   Seconds
	peers        []peer
	gossip       *gossipBuffer // the health updates to send along
	sendToPeer   func(gateway int, data []byte)
}

// newPeerProtocol returns the protocol of a gateway whose start the incarnation tells from earlier ones.
func newPeerProtocol(
	s Settings, clock *eventClock, incarnation uint8,
	gossip *gossipBuffer, sendToPeer func(gateway int, data []byte),
) peerProtocol {
	return peerProtocol{
		clock: clock, self: s.Self, format: newMessageFormat(s), incarnation: incarnation,
		gossip: gossip, sendToPeer: sendToPeer,
		messageRate: cmp.Or(max(s.PeerMessageRate, 0), unboundedMessageRate),
		peers:       make([]peer, s.GatewayCount),
	}
}

// newMessage returns an empty message with the next sequence number.
func (p *peerProtocol) newMessage() message {
	p.sequence++
	return message{incarnation: p.incarnation, sequence: p.sequence}
}

// send sends a message, with gossip in the space left. A message without records is dropped.
func (p *peerProtocol) send(gateway int, m message) {
	if len(m.records) == 0 {
		return
	}
	m.updates = p.gossip.recent(p.format.maxUpdates(len(m.records)), p.clock.now)
	p.sendToPeer(gateway, p.format.encode(m, p.clock.now))
}

// receive decodes a message, and returns false if it is malformed, a duplicate, or overtaken by a newer one.
func (p *peerProtocol) receive(from int, data []byte) (message, bool) {
	now := p.clock.now
	received, err := p.format.decode(data, now)
	if err != nil || from < 0 || from >= len(p.peers) || from == p.self {
		return message{}, false
	}
	sender := &p.peers[from]
	if !sender.acceptSequence(received.incarnation, received.sequence) {
		return message{}, false
	}
	sender.unansweredReports = 0
	p.receivedRate = p.receivedRate*math.Exp((p.receivedAt-now)/receivedTimeConstant) + 1
	p.receivedAt = now
	return received, true
}

// reachable tells whether a gateway can be expected to reply.
func (p *peerProtocol) reachable(gateway int) bool {
	return gateway == p.self || p.peers[gateway].reachable(p.clock.now)
}

// recordUnanswered notes that a report to a gateway got no reply in time.
func (p *peerProtocol) recordUnanswered(gateway int) {
	recipient := &p.peers[gateway]
	recipient.unansweredReports++
	recipient.lastUnansweredAt = p.clock.now
}

// queryBackoff returns how long the given number of members is to ask for nothing after a rejection. They
// share a part of what this gateway can receive, the less the more messages come in.
func (p *peerProtocol) queryBackoff(members int) Seconds {
	queryRate := max(p.messageRate*ownerQueryFraction, 1)
	return float64(members) / queryRate * min(p.receivedRate/queryRate, maxBackoffLoad)
}
