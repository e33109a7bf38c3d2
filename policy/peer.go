package policy

import (
	"cmp"
	"math"
)

const (
	// maxUnansweredReports is the number of reports without a reply after which a peer counts as unreachable,
	// if no message from the peer arrives in between. Each customer in a message counts as one report, so the
	// loss of two messages about one customer is tolerated.
	maxUnansweredReports = 3
	// unreachablePeriod is the time for which an unreachable peer is not tried again. It starts when the
	// peer's last missing reply is found to be overdue.
	unreachablePeriod Seconds = 1.0
	// unboundedMessageRate, in messages per second, is used if Settings.PeerMessageRate sets no limit.
	unboundedMessageRate = 1e6
	// receivedTimeConstant is the time in which the weight of a received message decays to 1/e.
	receivedTimeConstant Seconds = 1.0
	// ownerQueryFraction is the fraction of Settings.PeerMessageRate that members may use to ask the owner
	// again after a rejection.
	ownerQueryFraction = 0.5
	// maxBackoffLoad is the maximum load factor of a backoff. The load factor is the rate of received messages
	// divided by the rate available to owner queries.
	maxBackoffLoad = 3
	// sequenceExpiry is the time without an accepted message after which a sequence number says nothing about
	// the order of messages.
	sequenceExpiry Seconds = 5
)

// peer is the state that this gateway keeps for another gateway.
type peer struct {
	// unansweredReports counts the reports without a reply since the last message accepted from the peer.
	unansweredReports int
	lastUnansweredAt  Seconds // time of the last increase of unansweredReports
	// incarnation and sequence identify the newest message accepted from the peer.
	incarnation uint32
	sequence    uint16
	acceptedAt  Seconds // time of that message
}

// reachable reports whether the peer is expected to reply, or is due to be tried again.
func (p *peer) reachable(now Seconds) bool {
	return p.unansweredReports < maxUnansweredReports || now-p.lastUnansweredAt > unreachablePeriod
}

// acceptSequence records the sequence number of a message received at now. It returns false if the message
// is a duplicate or was overtaken by a newer message of the same incarnation. After sequenceExpiry it
// accepts any number: all peers share the numbers of a sender, which may have wrapped around.
func (p *peer) acceptSequence(incarnation uint32, sequence uint16, now Seconds) bool {
	ordered := incarnation == p.incarnation && p.sequence != 0 && now-p.acceptedAt < sequenceExpiry
	if ordered && int16(sequence-p.sequence) <= 0 { // the signed difference handles a wraparound
		return false
	}
	p.incarnation, p.sequence, p.acceptedAt = incarnation, sequence, now
	return true
}

// peerProtocol numbers the messages to other gateways, drops received messages that are duplicated or out of
// order, and tracks which gateways are reachable. It does not interpret usage records.
type peerProtocol struct {
	clock       *eventClock
	self        int
	messageRate float64 // messages per second that a gateway can receive
	format      messageFormat
	incarnation uint32
	sequence    uint16 // of the last message that was created
	// receivedRate is the exponentially decaying average of messages received per second, as of receivedAt.
	receivedRate float64
	receivedAt   Seconds
	peers        []peer
	gossip       *gossipBuffer // the health updates that messages carry
	sendToPeer   func(gateway int, data []byte)
}

// newPeerProtocol returns the protocol of a gateway. The incarnation distinguishes this run of the gateway
// from earlier ones.
func newPeerProtocol(
	s Settings, clock *eventClock, incarnation uint32,
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

// send sends a message, with health updates in the space after its records. A message without records is
// dropped.
func (p *peerProtocol) send(gateway int, m message) {
	if len(m.records) == 0 {
		return
	}
	m.updates = p.gossip.recent(p.format.maxUpdates(m.records), p.clock.now)
	p.sendToPeer(gateway, p.format.encode(m, p.clock.now))
}

// receive decodes a message from another gateway. It returns false if the sender is invalid or the message
// is malformed, a duplicate, or overtaken by a newer one. An accepted message makes the sender reachable
// again.
func (p *peerProtocol) receive(from int, data []byte) (message, bool) {
	now := p.clock.now
	received, err := p.format.decode(data, now)
	if err != nil || from < 0 || from >= len(p.peers) || from == p.self {
		return message{}, false
	}
	sender := &p.peers[from]
	if !sender.acceptSequence(received.incarnation, received.sequence, now) {
		return message{}, false
	}
	sender.unansweredReports = 0
	p.receivedRate = p.receivedRate*math.Exp((p.receivedAt-now)/receivedTimeConstant) + 1
	p.receivedAt = now
	return received, true
}

// reachable reports whether a gateway is this gateway or a reachable peer.
func (p *peerProtocol) reachable(gateway int) bool {
	return gateway == p.self || p.peers[gateway].reachable(p.clock.now)
}

// recordUnanswered records that a gateway did not reply to a report in time.
func (p *peerProtocol) recordUnanswered(gateway int) {
	recipient := &p.peers[gateway]
	recipient.unansweredReports++
	recipient.lastUnansweredAt = p.clock.now
}

// queryBackoff returns the time during which a member must not ask again after a rejection. All members
// together may use ownerQueryFraction of the messages that this gateway can receive, so the backoff is
// proportional to their number. It is also proportional to the load factor, which is limited to
// maxBackoffLoad.
func (p *peerProtocol) queryBackoff(members int) Seconds {
	queryRate := max(p.messageRate*ownerQueryFraction, 1)
	return float64(members) / queryRate * min(p.receivedRate/queryRate, maxBackoffLoad)
}
