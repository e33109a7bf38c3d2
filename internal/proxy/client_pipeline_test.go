package proxy

import (
	"slices"
	"testing"

	"reedlead/internal/command"
	"reedlead/policy"
)

// openSlot is the slot of a request that has no final reply yet.
func openSlot(id string) *pipelineSlot {
	return &pipelineSlot{request: &request{Request: &command.Request{Request: policy.Request{ID: id}}}}
}

// TestPipelineQueuesRepliesInOrder guards against a reply that overtakes an open one, and against one behind the last.
func TestPipelineQueuesRepliesInOrder(t *testing.T) {
	var p replyPipeline
	first, second := openSlot("a"), openSlot("b")
	p.add(first)
	p.add(second)
	second.reply = []byte("two")
	if replies, size := p.queueDue(); replies != 0 || size != 0 {
		t.Errorf("behind an open one: %d replies of %d bytes are due", replies, size)
	}
	first.reply = []byte("one")
	if replies, size := p.queueDue(); replies != 2 || size != 6 || string(p.pending) != "onetwo" {
		t.Errorf("%d replies of %d bytes are due: %q", replies, size, p.pending)
	}
	p.add(&pipelineSlot{reply: []byte("end"), last: true})
	p.add(&pipelineSlot{reply: []byte("behind it")})
	if replies, _ := p.queueDue(); replies != 1 || !p.lastReplyQueued || string(p.pending) != "onetwoend" {
		t.Errorf("%d replies are due up to the last one: %q", replies, p.pending)
	}
}

// TestPipelineReleasesPermitsOfWrittenReplies guards against a permit that is released before its reply is written, or
// never, and against requests without a reply that are not named.
func TestPipelineReleasesPermitsOfWrittenReplies(t *testing.T) {
	var p replyPipeline
	for _, id := range []string{"a", "b"} {
		slot := openSlot(id)
		slot.reply = []byte("value")
		p.add(slot)
	}
	p.add(openSlot("c"))
	p.queueDue()
	for _, step := range []struct {
		written, permits int
		unreplied        []string
	}{
		{0, 0, []string{"a", "b", "c"}},
		{4, 0, []string{"a", "b", "c"}},
		{1, 1, []string{"b", "c"}},
		{5, 1, []string{"c"}},
	} {
		permits := p.recordWritten(step.written)
		if unreplied := p.requestIDs(); permits != step.permits || !slices.Equal(unreplied, step.unreplied) {
			t.Errorf("%d more bytes written: %d permits, %v without a reply, want %+v", step.written, permits, unreplied, step)
		}
	}
}
