package resp

import (
	"bytes"
	"testing"
)

// skipInParts passes b to a CommandSkipper in parts of partSize bytes, as a reader with a small buffer does, and returns
// the size of the command, or 0 if b does not hold all of it.
func skipInParts(b []byte, partSize int) (size int, err error) {
	var skipper CommandSkipper
	var unskipped []byte
	for len(b) > 0 {
		part := b[:min(partSize, len(b))]
		b = b[len(part):]
		unskipped = append(unskipped, part...)
		n, done, err := skipper.Skip(unskipped)
		size += n
		if err != nil {
			return 0, err
		}
		if done {
			return size, nil
		}
		unskipped = bytes.Clone(unskipped[n:])
	}
	return 0, nil
}

// FuzzCommandSkipper checks that CommandSkipper accepts the commands that ParseCommand accepts, finds the same end,
// however the input is split. The error may be another one, as both report what is wrong with the bytes so far.
func FuzzCommandSkipper(f *testing.F) {
	for _, seed := range []string{
		"*2\r\n$4\r\nPING\r\n$0\r\n\r\nrest", "*0\r\n", "*1\r\n$3\r\nabcd\r\n", "*1\r\n$65537\r\n", "*17\r\n", "*-1\r\n",
		"*1\r\n$-1\r\n", "*1\r\n+OK\r\n", "*1\r\n$5\r\nab", "PING\r\n", "*1\r\n$2\r\nab\r", "*1\r\n$2\r\nab\rx",
		"*2\r\n$65000\r\n" + string(bytes.Repeat([]byte{'b'}, 65000)) + "\r\n$9000\r\n",
	} {
		for _, partSize := range []byte{1, 2, 7, 200} {
			f.Add([]byte(seed), partSize)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte, partSize byte) {
		if len(b) == 0 || partSize == 0 {
			return
		}
		_, want, wantErr := ParseCommand(b, nil)
		got, err := skipInParts(b, int(partSize))
		if got != want || (err == nil) != (wantErr == nil) {
			t.Fatalf("got size %d, %v, ParseCommand returns %d, %v", got, err, want, wantErr)
		}
	})
}

// TestSkipperKeepsOnlyHeaders checks that the skipper leaves at most an incomplete header or line end to be passed again.
func TestSkipperKeepsOnlyHeaders(t *testing.T) {
	command := []byte("*2\r\n$9\r\nCALL.POST\r\n$60000\r\n" + string(bytes.Repeat([]byte{'b'}, 60000)) + "\r\n")
	for size := range command {
		var skipper CommandSkipper
		n, done, err := skipper.Skip(command[:size])
		if done || err != nil || size-n >= maxHeaderLine {
			t.Fatalf("of %d bytes %d are skipped (done: %t, %v), want all but a part of a header", size, n, done, err)
		}
	}
}

// TestLeadingArguments checks that the complete arguments of a partial command are returned.
func TestLeadingArguments(t *testing.T) {
	const command = "*3\r\n$4\r\nCALL\r\n$2\r\nid\r\n$5\r\nabcde\r\n"
	for size, want := range map[int]int{1: 0, 13: 0, 14: 1, 21: 1, 22: 2, len(command) - 1: 2} {
		if got := LeadingArguments([]byte(command[:size])); len(got) != want {
			t.Errorf("the first %d bytes have arguments %q, want %d", size, got, want)
		}
	}
}
