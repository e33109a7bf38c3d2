package proxy

import (
	"slices"
	"testing"

	"reedlead/internal/command"
	"reedlead/policy"
)

// openSlot returns the slot of a request without a final reply.
func openSlot(id string) *pipelineSlot {
	return &pipelineSlot{request: &request{Request: &command.Request{Request: policy.Request{ID: id}}}}
}

// TestPipelineQueuesRepliesInOrder checks that a reply waits for the replies to earlier commands, and that nothing is
// queued after the connection's last reply.
func TestPipelineQueuesRepliesInOrder(t *testing.T) {
	var p replyPipeline
	first, second := openSlot("a"), openSlot("b")
	p.add(first)
	p.add(second)
	second.reply = []byte("two")
	if replies, size, reserved := p.queueDue(); replies != 0 || size != 0 || reserved != 0 {
		t.Errorf("behind an open command: %d replies of %d bytes are due, want none", replies, size)
	}
	first.reply = []byte("one")
	if replies, size, _ := p.queueDue(); replies != 2 || size != 6 || string(p.pending) != "onetwo" {
		t.Errorf("%d replies of %d bytes are due, pending %q, want 2 of 6 bytes and onetwo", replies, size, p.pending)
	}
	p.add(&pipelineSlot{reply: []byte("end"), last: true})
	p.add(&pipelineSlot{reply: []byte("behind it")})
	if replies, _, _ := p.queueDue(); replies != 1 || !p.lastReplyQueued || string(p.pending) != "onetwoend" {
		t.Errorf("%d replies are due, pending %q, want 1 and onetwoend, as the last reply", replies, p.pending)
	}
}

// TestPipelineReleasesPermitsOfWrittenReplies checks that the permit of a command is released when the last byte of its
// reply is written, and that requestIDs returns the ids of the requests without a completely written reply.
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
			t.Errorf("%d more bytes written: %d permits released, %v without a completely written reply, want %+v", step.written, permits, unreplied, step)
		}
	}
}
