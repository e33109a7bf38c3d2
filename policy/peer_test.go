package policy

import "testing"

func TestMessagesOutOfOrderAreNotAccepted(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation uint8
		sequence    uint16
		want        bool
	}{
		{"next in sequence", 3, 101, true},
		{"after a gap", 3, 150, true},
		{"duplicate", 3, 100, false},
		{"overtaken by a newer message", 3, 99, false},
		{"first of a new incarnation", 4, 1, true},
	} {
		p := peer{incarnation: 3, sequence: 100}
		if got := p.acceptSequence(tc.incarnation, tc.sequence); got != tc.want {
			t.Errorf("%s: accepted = %v, want %v", tc.name, got, tc.want)
		}
	}
	wrapping := peer{incarnation: 3, sequence: 65535}
	if !wrapping.acceptSequence(3, 1) || wrapping.acceptSequence(3, 65535) {
		t.Error("sequence 1 after 65535 is not accepted, or the overtaken 65535 is")
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
