package reply

import (
	"hash/maphash"

	"reedlead/policy"
)

// maxPastReplies is the number of replies that a history keeps. Duplicates arrive soon after their originals, so older
// replies are not needed.
const maxPastReplies = 8

var hashSeed = maphash.MakeSeed()

// History remembers the most recent replies on one connection to detect duplicates of them. The zero value is empty.
// Only the goroutine that reads the connection may use it.
type History struct{ replies []pastReply } // oldest first

// pastReply identifies a reply by the hash of its bytes, so that the bytes need not be kept.
type pastReply struct {
	hash       uint64
	status     policy.AttemptStatus
	receivedAt policy.Seconds
}

// IsDuplicate reports whether reply b may be a duplicate of an earlier reply. It ignores earlier replies with
// receivedAt <= since. A reply with the same bytes counts as a duplicate. A second rejection counts as a duplicate even
// if its bytes differ: if the gateway mistook a duplicate for the rejection of the present command, it would retry a
// command that the endpoint may be executing.
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

// Add records a reply, dropping the oldest one if the history is full.
func (h *History) Add(b []byte, status policy.AttemptStatus, receivedAt policy.Seconds) {
	if len(h.replies) == maxPastReplies {
		h.replies = h.replies[1:]
	}
	h.replies = append(h.replies, pastReply{maphash.Bytes(hashSeed, b), status, receivedAt})
}
