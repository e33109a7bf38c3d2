package policy

import (
	"bytes"
	"slices"
	"testing"
)

// namedRecord returns a record of the customer with the given name.
func namedRecord(name string) usageRecord {
	return usageRecord{key: nameKey(hashName(name)), name: encodeName(name)}
}

// Names must be the same after encoding and decoding, in the order of the records, and leave the updates behind
// them as they are.
func TestNamesRoundTrip(t *testing.T) {
	sent := message{
		incarnation: 0x01020307, sequence: 700,
		records: []usageRecord{namedRecord("0000000000000000"), namedRecord("00000001ffffffff"), namedRecord("a text"), {key: 7}},
		updates: []healthUpdate{{endpointHash: 9, class: loadUpdate, value: 1, at: 50}},
	}
	got, err := testFormat.decode(testFormat.encode(sent, 50), 50)
	if err != nil || got.incarnation != sent.incarnation || !slices.Equal(got.records, sent.records) || !slices.Equal(got.updates, sent.updates) {
		t.Errorf("got %+v and error %v, want %+v", got, err, sent)
	}
}

// Two names must never have the same key and code, so that no two customers share their state.
func TestDifferentNamesHaveDifferentCodes(t *testing.T) {
	names := []string{
		customerWithoutCeiling, customerUnderCeiling, "0000000000000000", "0000000000000001", "0000000100000000", "0000000100000001",
		"000000000000000A", "000000000000000a", "0000000200000000", "a", "", "0",
	}
	seen := map[nameCode]string{}
	for _, name := range names {
		code := encodeName(name)
		if other, ok := seen[code]; ok || code == unknownName {
			t.Errorf("%q has the code %x, like %q or an unknown name", name, code, other)
		}
		seen[code] = name
	}
}

// The layout of names must stay as it is: gateways of all versions with names must understand it.
func TestNameLayout(t *testing.T) {
	records := []usageRecord{namedRecord("0000000001020304"), namedRecord("0000000105060708"), {key: 1, name: digestFlag | 9}}
	want := []byte{
		1, 2, lowNumberByte, 3, 4,
		5, 6, highNumberByte, 7, 8,
		0x80, 0, digestByte, 0, 0, 0, 0, digestByte, 0, 9,
	}
	if got := appendNames(nil, records); !bytes.Equal(got, want) {
		t.Errorf("encoded as %v, want %v", got, want)
	}
}

// A gateway of an earlier version may forward an entry as a health update. It must not be taken for the name of a
// customer, nor for an update.
func TestForwardedEntriesAreIgnored(t *testing.T) {
	for _, entryType := range []byte{incarnationByte, lowNumberByte, highNumberByte, digestByte} {
		message := append(encodeRecord(1, usageRecord{key: 5}), 0, 0, entryType, 0, 9)
		got, err := testFormat.decode(message, 100)
		if err != nil || len(got.records) != 1 || got.records[0].name != unknownName || got.incarnation != 1 || len(got.updates) != 0 {
			t.Errorf("entry of type %d: got %+v and error %v, want one record without a name and no update", entryType, got, err)
		}
	}
}

// FuzzDecodeMessage checks that no datagram makes decode panic, and that the customers and the sender of a message are the
// same after it is encoded and decoded once more. Other values are clamped to their ranges when they are encoded.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(encodeRecord(1, usageRecord{key: 5}))
	f.Add(encodeRecord(1, namedRecord(customerUnderCeiling)))
	f.Add(encodeRecord(1, namedRecord("a text")))
	f.Add([]byte{messageVersion, 1, 0, 1, 0, 0, 0, incarnationByte, 0, 9}) // an incarnation without records
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := testFormat.decode(data, 100)
		if err != nil {
			return
		}
		second, err := testFormat.decode(testFormat.encode(first, 100), 100)
		if err != nil || second.incarnation != first.incarnation || len(second.records) != len(first.records) {
			t.Fatalf("decoded as %+v, and once more as %+v with error %v", first, second, err)
		}
		for i, record := range first.records {
			if again := second.records[i]; again.key != record.key || again.name != record.name || again.planIndex != record.planIndex {
				t.Errorf("record %+v was decoded once more as %+v", record, again)
			}
		}
	})
}
