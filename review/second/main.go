//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases are the cases by the name of their folder.
var cases = map[string]func(*lab){}

// timeLimit bounds a case, whatever happens in it.
const timeLimit = 110 * time.Second

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE, from the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1]))
}

// run plays one case and returns the exit code.
func run(name string) (code int) {
	dir := filepath.Join("review", name)
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	l := &lab{dir: dir, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	l.note("case %s, trouble %v", name, l.trouble)
	result := make(chan any, 1)
	go func() {
		defer func() { result <- recover() }()
		cases[name](l)
	}()
	var failure any
	select {
	case failure = <-result:
	case <-time.After(timeLimit):
		failure = cannotRun("the case did not end in time")
	}
	l.end()
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	switch {
	case failure != nil:
		l.note("could not run: %v", failure)
		fmt.Printf("case %s: could not run: %v\n", name, failure)
		return 2
	case len(broken) > 0:
		l.note("result: broken, %d times", len(broken))
		fmt.Printf("case %s: rule broken, %d times; the first: %s\n", name, len(broken), broken[0])
		return 1
	}
	l.note("result: held")
	fmt.Printf("case %s: rule held\n", name)
	return 0
}
