package policy

import "testing"

func TestMessagesOutOfOrderAreNotAccepted(t *testing.T) {
	for _, tc := range []struct {
		name        string
		incarnation uint8
		sequence    uint16
		want        bool
	}{
		{"the next", 3, 101, true},
		{"one after a gap", 3, 150, true},
		{"a duplicate", 3, 100, false},
		{"one that was overtaken", 3, 99, false},
		{"the first after a restart", 4, 1, true},
	} {
		p := peer{incarnation: 3, sequence: 100}
		if got := p.acceptSequence(tc.incarnation, tc.sequence); got != tc.want {
			t.Errorf("%s: accepted is %v, want %v", tc.name, got, tc.want)
		}
	}
	wrapping := peer{incarnation: 3, sequence: 65535}
	if !wrapping.acceptSequence(3, 1) || wrapping.acceptSequence(3, 65535) {
		t.Error("the sequence does not wrap around")
	}
}

// newTestProtocol returns the protocol of gateway 0 of two, and the messages that it sends.
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

func TestPeerIsUnreachableWhileItLeavesReportsUnanswered(t *testing.T) {
	clock := &eventClock{now: 100}
	p, _ := newTestProtocol(clock)
	for range maxUnansweredReports {
		if !p.reachable(1) {
			t.Fatalf("unreachable after %d unanswered reports, want %d", p.peers[1].unansweredReports, maxUnansweredReports)
		}
		p.recordUnanswered(1)
	}
	if p.reachable(1) || !p.reachable(0) {
		t.Fatal("the silent peer, and it alone, must be unreachable")
	}
	if _, ok := p.receive(1, encodeRecord(1, usageRecord{key: 5})); !ok || !p.reachable(1) {
		t.Fatal("a peer is unreachable after its message came in")
	}
}

func TestMessagesAreNumberedAndEmptyOnesNotSent(t *testing.T) {
	p, sent := newTestProtocol(&eventClock{now: 100})
	p.send(1, p.newMessage())
	m := p.newMessage()
	m.records = append(m.records, usageRecord{key: 5})
	p.send(1, m)
	if len(*sent) != 1 || (*sent)[0].sequence != 2 || (*sent)[0].incarnation != 7 {
		t.Fatalf("sent %+v, want the second message alone", *sent)
	}
}
