package main

import (
	"bufio"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// TestALogThatNobodyReadsEndsNoProcess guards against a process that is ended by SIGPIPE as the reader of its log
// goes away.
func TestALogThatNobodyReadsEndsNoProcess(t *testing.T) {
	t.Parallel()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	listen := freeAddress(t)
	text := programConfig{backends: []string{serveValues(t, 10)}}.text(listen)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := programCommand(path, 1024, write)
	cmd.Env = append(cmd.Env, "EDGE_LOG=DEBUG")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	write.Close()
	bufio.NewReader(read).ReadString('\n') // discovery refuses, which is logged
	read.Close()
	p := &program{t: t, listen: listen}
	eventually(t, "it is served", func() bool { return get(listen) != "" })
	conn := p.dial()
	r := bufio.NewReader(conn)
	for range 3 { // each of them is logged
		io.WriteString(conn, call("q-log", 1000))
		if line, _, err := readAnswer(r); err != nil {
			t.Fatalf("got %q, %v", line, err)
		}
	}
}
