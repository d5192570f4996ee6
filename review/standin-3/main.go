// Standin-3 plays the cases of the third review against the project's own processes: it is the
// platform, the backends, the clients and the operator.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	repo := flag.String("repo", ".", "the repository's root")
	out := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *repo, *out, *trouble))
}

func run(name, repo, out string, trouble bool) int {
	play := map[string]func(*fleet, bool) error{"stall": stall, "lag": lag}[name]
	if play == nil {
		fmt.Println("no such case:", name)
		return cannotRun
	}
	rec, err := newRecord(out)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	tmp, err := os.MkdirTemp("", "standin-3-")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer os.RemoveAll(tmp)
	repo, err = filepath.Abs(repo)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	f, err := newFleet(repo, tmp, rec)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() {
		f.stop()
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.CopyFS(keep, os.DirFS(tmp))
		}
	}()
	if err := play(f, trouble); err != nil {
		fmt.Println(err)
		return cannotRun
	}
	time.Sleep(100 * time.Millisecond)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.write("answers %d, not answered %v, bounced packets %d", rec.answers, rec.failures, rec.bounces)
	fmt.Printf("%s: answers %d, not answered %v, rules broken %d times\n", name, rec.answers, rec.failures, len(rec.violations))
	for i, v := range rec.violations {
		if i < 10 {
			fmt.Println("  ", v)
		}
	}
	if len(rec.violations) > 0 {
		return broken
	}
	return held
}
