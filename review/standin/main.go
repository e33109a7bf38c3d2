// Command standin plays one case of the review: the clients, the backends and the platform round the project's own
// programs. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// play is what a case gets: its record, its folder, a temporary folder, and whether to make the trouble.
type play struct {
	*record
	caseDir, dir string
	trouble      bool
}

// cases holds the cases by name. Each registers itself.
var cases = map[string]func(*play) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, caseDir string) int {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if os.Getenv("CASE_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	rec, err := newRecord(caseDir + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", name, trouble)
	done := make(chan int, 1)
	go func() { done <- cases[name](&play{record: rec, caseDir: caseDir, dir: dir, trouble: trouble}) }()
	select {
	case code := <-done:
		rec.say("exit %d", code)
		return code
	case <-time.After(110 * time.Second):
		rec.say("not finished in time")
		return exitNotRun
	}
}
