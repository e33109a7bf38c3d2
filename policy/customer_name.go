package policy

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// nameCode tells apart customers whose names have the same key. It is unknownName, holds a number with
// numberFlag, or holds digestBits of a digest of the name with digestFlag.
type nameCode uint64

// unknownName is the code of a customer that is known only from reports of gateways whose version sends keys
// alone.
const unknownName nameCode = 0

const (
	// The names of customers on sockets are numberDigits hex digits, numbers below 1<<numberBits. Their codes
	// hold the number, so two of them never have the same code.
	numberDigits = 16
	numberBits   = 33

	numberFlag nameCode = 1 << 62
	digestFlag nameCode = 1 << 63
)

// encodeName returns the code of a customer's name.
func encodeName(name string) nameCode {
	if number, ok := parseNumber(name); ok {
		return numberFlag | nameCode(number)
	}
	digest := sha256.Sum256([]byte(name))
	return digestFlag | nameCode(binary.BigEndian.Uint64(digest[:]))
}

// parseNumber returns the number that a name spells. ok is false for another kind of name, also for another
// spelling of a number, which is another customer.
func parseNumber(name string) (number uint64, ok bool) {
	if len(name) != numberDigits {
		return 0, false
	}
	var bytes [numberDigits / 2]byte
	if _, err := hex.Decode(bytes[:], []byte(name)); err != nil {
		return 0, false
	}
	number = binary.BigEndian.Uint64(bytes[:])
	return number, number < 1<<numberBits && formatNumber(number) == name
}

// formatNumber returns the name that spells a number.
func formatNumber(number uint64) string {
	return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, number))
}

// number returns the number that a code holds. ok is false if it holds none.
func (n nameCode) number() (number uint64, ok bool) {
	return uint64(n &^ numberFlag), n&(numberFlag|digestFlag) == numberFlag
}

// nameKey returns the key of a customer from the hash of its name.
func nameKey(hash uint64) uint32 { return uint32(hash >> 32) }
