package policy

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
)

// Regression test: the message format did not fit all settings. A record held at most 63.75 wanted units, so members
// were never granted larger requests. Gateways did not start if the settings had many plans.
func TestMessageFormatFitsTheSettings(t *testing.T) {
	for name, tc := range map[string]struct {
		units  float64 // of a request
		plan   string
		change func(*Settings)
	}{
		"as usual": {1, "basic", func(*Settings) {}},
		"large units": {300, "basic", func(s *Settings) {
			s.MaxRequestUnits, s.Plans[0].Rate, s.Plans[0].Burst = 600, 600, 2400
		}},
		"large counts": {25_000, "basic", func(s *Settings) {
			s.MaxRequestUnits, s.Plans[0].Rate, s.Plans[0].Burst = 30_000, 50_000, 200_000
		}},
		"20 plans": {1, "p19", func(s *Settings) { s.Plans = plansLike(s.Plans[0], 20) }},
		"60 plans": {1, "p59", func(s *Settings) { s.Plans = plansLike(s.Plans[0], 60) }},
	} {
		t.Run(name, func(t *testing.T) {
			g, r, pump := newGatewayPairWith(t, tc.change)
			sent, seen := [2]int{}, [2]int{}
			for i := range 500 {
				now := 100 + float64(i)*0.02
				sendRequest(g[i%2], now, fmt.Sprint("q", i), "read", tc.plan, tc.units)
				pump(now)
				for k := range 2 {
					sent[k] += len(replyToAll(g[k], r[k], &seen[k], now))
				}
			}
			// The quota allows 2 requests per second for 10 s and a burst of 8.
			if all := sent[0] + sent[1]; all < 22 || all > 31 {
				t.Errorf("%d requests were sent, want 22 to 31 for a quota of 28", all)
			}
			if sent[0] < 5 || sent[1] < 5 {
				t.Errorf("the gateways sent %d and %d of equally many requests, want at least 5 each", sent[0], sent[1])
			}
		})
	}
}

// plansLike returns n plans. The last one has the limits of p. The others have a rate of 0.1 and a burst of 1.
func plansLike(p Plan, n int) (list []Plan) {
	last := p
	for i := range n - 1 {
		p.Name, p.Rate, p.Burst = fmt.Sprint("p", i), 0.1, 1
		list = append(list, p)
	}
	last.Name = fmt.Sprint("p", n-1)
	return append(list, last)
}

// Encoding and decoding must not change a record, in formats with and without scaled units and the additional byte
// for the plan index. All values are multiples of the wire format's resolution, so none is rounded.
func TestRecordsRoundTrip(t *testing.T) {
	for _, f := range []messageFormat{testFormat, {unitsPerWireUnit: 12.5}, {unitsPerWireUnit: 3, widePlanIndex: true}} {
		for plan := range 3 * plansInFlags {
			if !f.widePlanIndex && plan >= plansInFlags {
				break
			}
			want := usageRecord{
				key: 7, planIndex: plan, remainingKnown: true, total: 40 * f.unitsPerWireUnit, remaining: -2 * f.unitsPerWireUnit, demand: 9 * f.unitsPerWireUnit, inFlight: 3,
				unacknowledged: 5 * f.unitsPerWireUnit, wantedUnits: 20 * f.unitsPerWireUnit, firstWantedUnits: 2 * f.unitsPerWireUnit, priorityDeficit: 1,
			}
			update := healthUpdate{endpointHash: 9, class: loadUpdate, value: 1, at: 50}
			sent := message{incarnation: 3, sequence: 700, records: []usageRecord{want}, updates: []healthUpdate{update}}
			got, err := f.decode(f.encode(sent, 50), 50)
			if err != nil || got.incarnation != sent.incarnation || got.sequence != sent.sequence {
				t.Fatalf("format %+v: got %+v and error %v, want %+v", f, got, err, sent)
			}
			if len(got.records) != 1 || got.records[0] != want {
				t.Fatalf("format %+v: got records %+v, want %+v", f, got.records, want)
			}
			if len(got.updates) != 1 || got.updates[0] != update {
				t.Fatalf("format %+v: got updates %+v, want %+v", f, got.updates, update)
			}
		}
	}
}

// encodeRecord returns an encoded message with one record and incarnation 1.
func encodeRecord(sequence uint16, record usageRecord) []byte {
	return testFormat.encode(message{incarnation: 1, sequence: sequence, records: []usageRecord{record}}, 0)
}

// All gateways of a fleet must use the same layout. Any change to these bytes needs a new messageVersion, so that
// gateways of different versions reject each other's messages.
func TestMessageLayout(t *testing.T) {
	format := messageFormat{unitsPerWireUnit: 1, widePlanIndex: true}
	sent := message{
		incarnation: 3, sequence: 0x0102,
		records: []usageRecord{
			{
				key: 0x0a0b0c0d, planIndex: 2*plansInFlags + 5, remainingKnown: true, total: 64.25, remaining: -1, demand: 2.5,
				inFlight: 258, unacknowledged: 1.75, wantedUnits: 2, firstWantedUnits: 1, priorityDeficit: 1,
			},
			{key: 7, fromOwner: true, ceilingPool: true, wantedUnits: 2, backoff: 0.5},
		},
		updates: []healthUpdate{
			{endpointHash: 0x0908, class: 4, value: 0.6, at: 99},
			{endpointHash: 0x0706, class: loadUpdate, value: 1, at: 100},
		},
	}
	want := []byte{
		messageVersion, 3, 0x01, 0x02, 2,
		0x0a, 0x0b, 0x0c, 0x0d, remainingKnownFlag | 5, 0x01, 0x01, 0xff, 0xfc, 0, 10, 1, 2, 7, 8, 4, 255, 2,
		0, 0, 0, 7, ownerFlag | ceilingPoolFlag, 0, 0, 0, 0, 0, 0, 0, 0, 0, 8, 10, 0, 0,
		0x09, 0x08, 4, 153, 50,
		0x07, 0x06, loadUpdateByte, 255, 0,
	}
	if got := format.encode(sent, 100); !bytes.Equal(got, want) {
		t.Fatalf("encoded as\n%v, want\n%v", got, want)
	}
}

// Messages that are truncated, extended or of another version must be rejected with the matching error.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	good := encodeRecord(1, usageRecord{key: 5})
	for name, tc := range map[string]struct {
		data []byte
		want error
	}{
		"empty":            {nil, errMessageLength},
		"truncated header": {good[:headerSize-1], errMessageLength},
		"truncated record": {good[:len(good)-1], errMessageLength},
		"truncated update": {append(bytes.Clone(good), 1, 2, 3), errMessageLength},
		"too long":         {make([]byte, maxMessageSize+1), errMessageLength},
		"another version":  {append([]byte{messageVersion + 1}, good[1:]...), errMessageVersion},
		"complete":         {good, nil},
		"with an update":   {append(bytes.Clone(good), 1, 2, 3, 4, 5), nil},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := testFormat.decode(tc.data, 100); !errors.Is(err, tc.want) {
				t.Errorf("got error %v, want %v", err, tc.want)
			}
		})
	}
}

func TestFullMessageStaysWithinMaxMessageSize(t *testing.T) {
	for _, format := range []messageFormat{testFormat, {unitsPerWireUnit: 1, widePlanIndex: true}} {
		for _, record := range []usageRecord{{key: 1}, namedRecord("00000001ffffffff"), namedRecord("a text")} {
			full := message{}
			for format.hasRoomFor(full.records, record) {
				full.records = append(full.records, record)
			}
			full.updates = make([]healthUpdate, format.maxUpdates(full.records))
			size := len(format.encode(full, 100))
			if size > maxMessageSize || size <= maxMessageSize-updateSize {
				t.Errorf("format %+v: a full message has %d bytes, want at most %d with no room for another update", format, size, maxMessageSize)
			}
			decoded, err := format.decode(format.encode(full, 100), 100)
			if err != nil || !slices.Equal(decoded.records, full.records) {
				t.Errorf("format %+v: a full message loses records or is decoded with error %v", format, err)
			}
		}
	}
}
