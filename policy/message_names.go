package policy

// The names of the customers of a message follow its records, as entries of the size of a health update. The
// byte at updateClassOffset holds the type of an entry, and the other bytes hold 32 bits. Gateways of
// versions that know no such entries skip them, as updates of a class that they don't have, and identify
// customers by their keys alone.
//
// Either each record has entries, in the order of the records, or none has. A gateway of an earlier version
// may have forwarded an entry as a health update. Such a one is recognized, as its number does not fit to the
// key of the record.

// The types of entries. Outlier scores of classes with the index of a type are not sent.
const (
	lowNumberByte  = 252 // a number below 1<<entryBits
	highNumberByte = 253 // 1<<entryBits plus the entry
	digestByte     = 254 // half of a digest, in two entries; two zeros for an unknown name

	firstEntryByte = lowNumberByte
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

// namesSize returns the size of the names of a message in bytes.
func namesSize(records []usageRecord) int {
	if !hasNames(records) {
		return 0
	}
	entries := 0
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
	if !hasNames(records) {
		return data
	}
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

// decodeNames sets the names of the records from the entries at the start of data, and returns what follows
// them. If any record has no valid entry, it sets no name.
func decodeNames(records []usageRecord, data []byte) (rest []byte) {
	names := make([]nameCode, 0, len(records))
	rest = data
	for _, record := range records {
		name, used := decodeName(rest, record.key)
		if used == 0 {
			return data
		}
		names = append(names, name)
		rest = rest[used:]
	}
	for i, name := range names {
		records[i].name = name
	}
	return rest
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

// isNameEntry reports whether the entry at the start of data is a part of a name, not a health update.
func isNameEntry(data []byte) bool {
	entryType := data[updateClassOffset]
	return entryType >= firstEntryByte && entryType <= lastEntryByte
}
