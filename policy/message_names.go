package policy

// The incarnation of the sender and the names of the customers of a message follow its records, as entries of
// the size of a health update. The byte at updateClassOffset holds the type of an entry, and the other bytes
// hold 32 bits. Gateways of versions that know no such entries skip them, as updates of a class that they
// don't have, and identify gateways and customers by the header and the keys alone.
//
// The entries are complete, in the order of the records, or there are none. A gateway of an earlier version
// may have forwarded an entry as a health update. Such a one is recognized, as its number does not fit to the
// key of the record.

// The types of entries. Outlier scores of classes with the index of a type are not sent.
const (
	incarnationByte = 251 // the incarnation of the sender
	lowNumberByte   = 252 // a number below 1<<entryBits
	highNumberByte  = 253 // 1<<entryBits plus the entry
	digestByte      = 254 // half of a digest, in two entries; two zeros for an unknown name

	firstEntryByte = incarnationByte
	lastEntryByte  = digestByte
)

// entryBits is the number of bits in an entry.
const entryBits = 32

// nameEntries returns the number of entries for a name.
func nameEntries(name nameCode) int {
	if _, ok := name.number(); ok {
		return 1
	}
	return 2
}

// identitySize returns the size of the incarnation and the names of a message in bytes.
func identitySize(records []usageRecord) int {
	if !hasNames(records) {
		return 0
	}
	entries := 1
	for _, record := range records {
		entries += nameEntries(record.name)
	}
	return entries * updateSize
}

// hasNames reports whether the name of any record is known.
func hasNames(records []usageRecord) bool {
	for _, record := range records {
		if record.name != unknownName {
			return true
		}
	}
	return false
}

// appendNames appends the names of the records.
func appendNames(data []byte, records []usageRecord) []byte {
	for _, record := range records {
		data = appendName(data, record.name)
	}
	return data
}

func appendName(data []byte, name nameCode) []byte {
	number, ok := name.number()
	switch {
	case !ok:
		data = appendEntry(data, digestByte, uint32(name>>entryBits))
		return appendEntry(data, digestByte, uint32(name))
	case number>>entryBits > 0:
		return appendEntry(data, highNumberByte, uint32(number))
	}
	return appendEntry(data, lowNumberByte, uint32(number))
}

// appendEntry appends an entry with its type between its two halves.
func appendEntry(data []byte, entryType byte, value uint32) []byte {
	return append(data, byte(value>>24), byte(value>>16), entryType, byte(value>>8), byte(value))
}

// entryValue returns the bits of the entry at the start of data.
func entryValue(data []byte) uint32 {
	return uint32(data[0])<<24 | uint32(data[1])<<16 | uint32(data[3])<<8 | uint32(data[4])
}

// decodeIdentity sets the incarnation of the message and the names of its records from the entries at the
// start of data, and returns what follows them. It sets nothing if the entries are not complete.
func (m *message) decodeIdentity(data []byte) (rest []byte) {
	if len(data) < updateSize || data[updateClassOffset] != incarnationByte {
		return data
	}
	rest, ok := decodeNames(m.records, data[updateSize:])
	if !ok || !hasNames(m.records) {
		return data
	}
	m.incarnation = entryValue(data)
	return rest
}

// decodeNames sets the names of the records from the entries at the start of data, and returns what follows
// them. If any record has no valid entry, ok is false, and it sets no name.
func decodeNames(records []usageRecord, data []byte) (rest []byte, ok bool) {
	names := make([]nameCode, 0, len(records))
	rest = data
	for _, record := range records {
		name, used := decodeName(rest, record.key)
		if used == 0 {
			return data, false
		}
		names = append(names, name)
		rest = rest[used:]
	}
	for i, name := range names {
		records[i].name = name
	}
	return rest, true
}

// decodeName returns the name at the start of data, and the size of its entries. The size is 0 if data does
// not begin with the name of a customer with the given key.
func decodeName(data []byte, key uint32) (name nameCode, size int) {
	if len(data) < updateSize {
		return unknownName, 0
	}
	switch entryType := data[updateClassOffset]; entryType {
	case lowNumberByte, highNumberByte:
		number := uint64(entryType-lowNumberByte)<<entryBits | uint64(entryValue(data))
		if nameKey(hashName(formatNumber(number))) != key {
			return unknownName, 0
		}
		return numberFlag | nameCode(number), updateSize
	case digestByte:
		return decodeDigest(data)
	}
	return unknownName, 0
}

// decodeDigest returns the digest at the start of data, and the size of its entries, which is 0 if there is
// none.
func decodeDigest(data []byte) (name nameCode, size int) {
	if len(data) < 2*updateSize || data[updateSize+updateClassOffset] != digestByte {
		return unknownName, 0
	}
	name = nameCode(entryValue(data))<<entryBits | nameCode(entryValue(data[updateSize:]))
	if name != unknownName && name&digestFlag == 0 {
		return unknownName, 0
	}
	return name, 2 * updateSize
}

// isIdentityEntry reports whether the entry at the start of data holds an incarnation or a part of a name,
// and is not a health update.
func isIdentityEntry(data []byte) bool {
	entryType := data[updateClassOffset]
	return entryType >= firstEntryByte && entryType <= lastEntryByte
}
