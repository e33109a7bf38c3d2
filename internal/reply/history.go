package reply

import (
	"hash/maphash"

	"reedlead/policy"
)

// maxPastReplies is how many replies a history keeps: a duplicate of an older one has come long before.
const maxPastReplies = 8

var hashSeed = maphash.MakeSeed()

// History holds the last replies of one connection, by which a duplicate of one is known. The zero value is empty.
// It belongs to the reader of the connection.
type History struct{ replies []pastReply } // oldest first

type pastReply struct {
	hash       uint64
	status     policy.AttemptStatus
	receivedAt policy.Seconds
}

// IsDuplicate reports whether a reply may be a duplicate of one that was received after a time: one of the same bytes.
// A rejection is trusted least, and any other rejection since then will do: one that belonged to the command before
// must not be taken for that of this command, which may be executing.
func (h *History) IsDuplicate(b []byte, status policy.AttemptStatus, since policy.Seconds) bool {
	hash := maphash.Bytes(hashSeed, b)
	for _, past := range h.replies {
		if past.receivedAt <= since {
			continue
		}
		if past.hash == hash || status == policy.Rejected && past.status == status {
			return true
		}
	}
	return false
}

// Add notes a reply and when it was received.
func (h *History) Add(b []byte, status policy.AttemptStatus, receivedAt policy.Seconds) {
	if len(h.replies) == maxPastReplies {
		h.replies = h.replies[1:]
	}
	h.replies = append(h.replies, pastReply{maphash.Bytes(hashSeed, b), status, receivedAt})
}
