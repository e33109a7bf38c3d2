package kit

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

// Record writes record.txt: what was sent, answered and run, with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) *Record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(CouldNot)
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}
}

// Since returns the seconds from the start to a time.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Now returns the seconds since the start.
func (r *Record) Now() float64 { return r.Since(time.Now()) }

// At writes a line with a time.
func (r *Record) At(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{r.Since(t)}, args...)...)
}

// Log writes a line with the present time.
func (r *Record) Log(format string, args ...any) { r.At(time.Now(), format, args...) }

// Say writes a line, and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close flushes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
