package proxy

import (
	"reedlead/internal/command"
	"reedlead/internal/resp"
	"reedlead/policy"
)

// A command that does not fit into the input budget is shed: its bytes are discarded as they arrive, it gets a reply in
// its place among the connection's commands, and the commands behind it are handled. Its client did nothing wrong, so
// the connection stays open.

// shedCommand is a command of which the reader keeps no bytes.
type shedCommand struct {
	skipper resp.CommandSkipper
	request *command.Request // without arguments; nil if the command is invalid
	err     error            // why the command is invalid
}

// startShedding sheds the command at the start of the buffer, which holds only a part of it, and frees the buffer.
func (r *clientReader) startShedding() {
	content := r.buffer.Bytes()
	r.shed = &shedCommand{}
	r.client.shedding.Store(true)
	r.shed.request, r.shed.err = r.parseIncomplete(resp.LeadingArguments(content))
	if r.shed.request != nil {
		r.shed.request.Args = nil // they point into the buffer
	}
	n, _, _ := r.shed.skipper.Skip(content) // the parser has found neither an end nor an error in these bytes
	r.discard(n)
	r.buffer.Shrink()
	r.publishPartialCommand()
}

// parseIncomplete parses a request of which only the leading arguments are known.
func (r *clientReader) parseIncomplete(args [][]byte) (*command.Request, error) {
	if len(args) == 0 {
		return nil, errOversizedCommand
	}
	if !command.IsRequest(args[0]) {
		return nil, unknownCommand(args[0])
	}
	return r.parser.ParseWithoutBody(args)
}

// continueShedding discards the bytes of the shed command that have arrived. At the end of the command it posts the
// reply. ended reports whether the command has ended, and used is the number of bytes that were discarded. ok is false
// if the connection has ended or its input was rejected.
func (r *clientReader) continueShedding(at policy.Seconds) (used int, ended, ok bool) {
	used, ended, err := r.shed.skipper.Skip(r.buffer.Bytes())
	if err != nil {
		r.rejectInput(at, resp.SyntaxError{Cause: err})
		return 0, false, false
	}
	if !ended {
		return used, false, true
	}
	shed := r.shed
	r.shed = nil
	r.client.shedding.Store(false)
	switch r.acquirePermit(used) {
	case connectionEnded:
		return 0, false, false
	case permitRefused:
		if !r.refuse(at, shed.request, shed.err) {
			return 0, false, false
		}
		return used, true, true
	}
	if shed.err != nil {
		if !r.replyError(at, shed.err) {
			return 0, false, false
		}
		return used, true, true
	}
	c, requests := r.client, r.client.set.requests
	r.services.loop.Post(at, func() { requests.rejectLocally(c, shed.request, inputMemoryExhausted) })
	return used, true, true
}
