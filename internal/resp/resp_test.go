package resp

import (
	"bytes"
	"testing"

	"github.com/tidwall/redcon"
)

// FuzzParseCommand checks that no input makes the parser panic, which would end the process. It also checks that redcon
// parses each accepted command in the same way, and that a command without its last byte counts as incomplete.
func FuzzParseCommand(f *testing.F) {
	request := redcon.AppendArray(nil, 4)
	for _, arg := range []string{
		"CALL.GET", "00000000b4d65521", "a", "c=look,t=basic,d=600000,units=2,spread=2,first=1",
	} {
		request = redcon.AppendBulkString(request, arg)
	}
	for _, seed := range []string{
		string(request), "*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n$1\r\na\r\n", "*1\r\n$+1\r\na\r\n",
		"*2\r\n+OK\r\n:1\r\n", "*1\r\n$-2\r\nab\r\n", "*-1\r\n", "*0\r\n", "*1\r\n$60000000\r\n", "$1\r\na\r\n", "*1\r\n$01\r\na\r\n",
		"*1\r\n$1\nab\r\n", "*\r\n", "*1\r\n$\r\n", "*1\r\n$1\r\nabc", "PING\r\n", "*1\r\n*1\r\n$1\r\na\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		args, n, err := ParseCommand(b, nil)
		if n < 0 || n > len(b) || n > 0 && err != nil {
			t.Fatalf("ParseCommand returns size %d for %d bytes, %v", n, len(b), err)
		}
		if n == 0 {
			return
		}
		complete, codec, _, rest, err := redcon.ReadNextCommand(b[:n], nil)
		if !complete || err != nil || len(rest) != 0 || len(codec) != len(args) {
			t.Fatalf("redcon returns arguments %q, %v for command %q", codec, err, b[:n])
		}
		for i := range args {
			if !bytes.Equal(args[i], codec[i]) {
				t.Fatalf("argument %d is %q, redcon returns %q", i, args[i], codec[i])
			}
		}
		if _, m, err := ParseCommand(b[:n-1], nil); m != 0 || err != nil {
			t.Fatalf("without its last byte: got size %d, %v, want 0", m, err)
		}
	})
}
