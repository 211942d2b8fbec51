// Command driver plays one case of a review: it starts the project's own program as hosts, with stand-ins of
// the platform's store, its runners and its clients in this process, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD, at the root of the repository")
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(rec *recorder, dir string, trouble bool) int{"burst": burst, "kept": kept, "silent": silent}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	endOnSignal()
	code := play(newRecorder(os.Args[2]), dir, trouble)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	os.Exit(code)
}
