package main

import (
	"bufio"
	"os"
	"path/filepath"
	"testing"
)

// TestClosedLogPipeDoesNotEndProcess checks that the gateway serves requests after the reader of its log pipe has been
// closed. Writes to the pipe then raise SIGPIPE, which ends a process by default.
func TestClosedLogPipeDoesNotEndProcess(t *testing.T) {
	t.Parallel()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	listen := freeAddress(t)
	text := programConfig{endpoints: []string{serveValues(t, 10)}}.text(listen)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := programCommand(path, 1024, write)
	cmd.Env = append(cmd.Env, "EDGE_LOG=DEBUG")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() {
		_ = cmd.Process.Kill() // the process may have ended
		_ = cmd.Wait()         // the error only says that the process was killed
	}()
	closeQuietly(write)
	if _, err := bufio.NewReader(read).ReadString('\n'); err != nil { // wait until the gateway writes to its log
		t.Fatal(err)
	}
	closeQuietly(read)
	p := &program{t: t, listen: listen}
	eventually(t, "a request is served", func() bool { return requestOnce(listen) != "" })
	conn := p.dial()
	r := bufio.NewReader(conn)
	for range 3 { // each request writes to the log
		writeText(conn, requestCommand("q-log", 1000))
		if line, _, err := readReply(r); err != nil {
			t.Fatalf("request after the log pipe was closed: got %q, %v", line, err)
		}
	}
}
