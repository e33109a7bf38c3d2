package policy

import (
	"fmt"
	"testing"
)

func TestMessagesOutOfOrderAreNotAccepted(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation uint32
		sequence    uint16
		want        bool
	}{
		{"next in sequence", 3, 101, true},
		{"after a gap", 3, 150, true},
		{"duplicate", 3, 100, false},
		{"overtaken by a newer message", 3, 99, false},
		{"first of a new incarnation", 4, 1, true},
		{"first of a new incarnation with the same low byte", 3 | 1<<8, 1, true},
	} {
		p := peer{incarnation: 3, sequence: 100, acceptedAt: 200}
		if got := p.acceptSequence(tc.incarnation, tc.sequence, 200); got != tc.want {
			t.Errorf("%s: accepted = %v, want %v", tc.name, got, tc.want)
		}
	}
	wrapping := peer{incarnation: 3, sequence: 65535, acceptedAt: 200}
	if !wrapping.acceptSequence(3, 1, 200) || wrapping.acceptSequence(3, 65535, 200) {
		t.Error("sequence 1 after 65535 is not accepted, or the overtaken 65535 is")
	}
}

// A gateway that hears nothing of another one for long must accept its next message, whatever its number: all peers
// share the sequence numbers of a sender, which wrap around.
func TestSequenceNumbersExpire(t *testing.T) {
	const last, next = 40_000, 20_000 // next may be behind last, or 45,536 ahead of it
	p := peer{incarnation: 3, sequence: last, acceptedAt: 200}
	if p.acceptSequence(3, next, 200+sequenceExpiry/2) {
		t.Error("an older number is accepted after half of the time")
	}
	if !p.acceptSequence(3, next, 200+sequenceExpiry) {
		t.Error("a message is dropped for a number that has expired")
	}
}

// TestRestartWithTheSameIncarnationByteIsHeard guards against two owners of a customer: a gateway that has restarted, with
// the low byte of its incarnation as before, is not heard by its peers.
func TestRestartWithTheSameIncarnationByteIsHeard(t *testing.T) {
	g, r, pump := newGatewayPairWith(t, func(s *Settings) { s.Plans[0].Rate, s.Plans[0].Burst = 100, 100 })
	owner := newOwnerOf(t, customerUnderCeiling).settings.Self
	member, now := 1-owner, 100.0
	for i := range 100 {
		now += 0.05
		sendFor(g[member], now, fmt.Sprint("q", i), customerUnderCeiling, "basic")
		pump(now)
	}
	settings := g[member].settings
	settings.StartID = 1 << 8
	*r[member] = recorder{}
	restarted, err := New(settings, 7, now, r[member])
	if err != nil {
		t.Fatal(err)
	}
	if old, now := g[member].protocol.incarnation, restarted.protocol.incarnation; old == now || uint8(old) != uint8(now) {
		t.Fatalf("the incarnations are %x and %x, want different ones with the same low byte", old, now)
	}
	before := len(r[owner].ofKind("send_to_peer", ""))
	for i := range 10 {
		now += 0.05
		sendFor(restarted, now, fmt.Sprint("r", i), customerUnderCeiling, "basic")
		restarted.HandleTimer(now, 1)
	}
	for _, sent := range r[member].ofKind("send_to_peer", "") {
		g[owner].HandlePeerMessage(now, member, sent.data)
	}
	if len(r[owner].ofKind("send_to_peer", "")) == before {
		t.Error("the owner does not reply to the gateway that has restarted")
	}
}

// newTestProtocol returns the protocol of gateway 0 in a fleet of two. The slice collects the messages that it sends.
func newTestProtocol(clock *eventClock) (*peerProtocol, *[]message) {
	sent := &[]message{}
	format := newMessageFormat(testSettings())
	p := newPeerProtocol(testSettings(), clock, 7, &gossipBuffer{}, func(_ int, data []byte) {
		if m, err := format.decode(data, clock.now); err == nil {
			*sent = append(*sent, m)
		}
	})
	return &p, sent
}

func TestPeerIsUnreachableAfterUnansweredReports(t *testing.T) {
	clock := &eventClock{now: 100}
	p, _ := newTestProtocol(clock)
	for range maxUnansweredReports {
		if !p.reachable(1) {
			t.Fatalf("the peer is unreachable after %d unanswered reports, want %d", p.peers[1].unansweredReports, maxUnansweredReports)
		}
		p.recordUnanswered(1)
	}
	if p.reachable(1) || !p.reachable(0) {
		t.Fatal("the peer that does not reply is reachable, or this gateway is not")
	}
	if _, ok := p.receive(1, encodeRecord(1, usageRecord{key: 5})); !ok || !p.reachable(1) {
		t.Fatal("a message of the peer was not accepted, or did not make it reachable")
	}
}

func TestMessagesAreNumberedAndEmptyMessagesDropped(t *testing.T) {
	p, sent := newTestProtocol(&eventClock{now: 100})
	p.send(1, p.newMessage())
	m := p.newMessage()
	m.records = append(m.records, usageRecord{key: 5})
	p.send(1, m)
	if len(*sent) != 1 || (*sent)[0].sequence != 2 || (*sent)[0].incarnation != 7 {
		t.Fatalf("sent %+v, want only the second message, with sequence 2 and incarnation 7", *sent)
	}
}
