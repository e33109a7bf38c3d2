package resp

// CommandSkipper finds the end of one command without keeping its bytes. It accepts the same commands as ParseCommand.
// The zero value is at the start of a command.
type CommandSkipper struct {
	started   bool // the line at the start of the command was skipped
	arguments int  // number of arguments that were not skipped completely
	inValue   bool // the header of the current argument was skipped
	left      int  // bytes of the current argument's value that were not skipped
	offset    int  // bytes of the command that were skipped
}

// Skip skips as many bytes at the start of b as it can, and returns their number. done reports whether the command ends
// with them. The caller must pass the bytes that were not skipped again, together with those behind them. After an error
// or the end of the command, Skip must not be called again.
func (s *CommandSkipper) Skip(b []byte) (n int, done bool, err error) {
	for {
		size, more, err := s.skipPart(b[n:])
		n += size
		s.offset += size
		if err != nil {
			return n, false, err
		}
		if s.started && s.arguments == 0 {
			return n, true, nil
		}
		if !more {
			return n, false, nil
		}
	}
}

// skipPart skips the next header, or bytes of a value with the line end behind it. more reports whether the part was
// complete.
func (s *CommandSkipper) skipPart(b []byte) (n int, more bool, err error) {
	switch {
	case len(b) == 0:
		return 0, false, nil
	case !s.started:
		s.arguments, n, err = parseCommandHeader(b)
		s.started = n > 0
		return n, s.started, err
	case !s.inValue:
		s.left, n, err = parseArgumentHeader(b, s.offset)
		s.inValue = n > 0 && err == nil
		return n, s.inValue, err
	}
	return s.skipValue(b)
}

// skipValue skips bytes of a value and, once all of them are skipped, the line end behind it.
func (s *CommandSkipper) skipValue(b []byte) (n int, more bool, err error) {
	n = min(s.left, len(b))
	s.left -= n
	if s.left > 0 || len(b)-n < len(lineEnd) {
		return n, false, nil
	}
	if string(b[n:n+len(lineEnd)]) != lineEnd {
		return n, false, errLengthMismatch
	}
	s.inValue = false
	s.arguments--
	return n + len(lineEnd), true, nil
}
