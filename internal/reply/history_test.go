package reply

import (
	"testing"

	"reedlead/policy"
)

// TestHistoryDetectsDuplicates checks which replies count as duplicates of three earlier ones: a value received at time
// 10, a rejection received at 11 and an error received at 12.
func TestHistoryDetectsDuplicates(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		status policy.AttemptStatus
		since  policy.Seconds
		want   bool
	}{
		"the same bytes": {"value", policy.OK, 9, true},
		"the same bytes as a reply received too early": {"value", policy.OK, 10, false},
		"other bytes":       {"other", policy.OK, 9, false},
		"another rejection": {"-BUSY 2", policy.Rejected, 9, true},
		"another error":     {"-ERR 2", policy.Error, 9, false},
	} {
		var h History
		h.Add([]byte("value"), policy.OK, 10)
		h.Add([]byte("-BUSY 1"), policy.Rejected, 11)
		h.Add([]byte("-ERR 1"), policy.Error, 12)
		if got := h.IsDuplicate([]byte(tc.text), tc.status, tc.since); got != tc.want {
			t.Errorf("%s: IsDuplicate returns %t", name, got)
		}
	}
}

// TestHistoryIsBounded checks that a full history drops its oldest reply when a new one is added.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	h.Add([]byte("oldest"), policy.OK, 1)
	for range maxPastReplies {
		h.Add([]byte("later"), policy.OK, 2)
	}
	if len(h.replies) != maxPastReplies || h.IsDuplicate([]byte("oldest"), policy.OK, 0) {
		t.Errorf("got %d replies, want maxPastReplies without the oldest", len(h.replies))
	}
}
