// Command engine is one engine as a process of its own, whose streams have no length and end with their connection. It prints
// its address, the changes of its stage and what it does.
package main

import (
	"fmt"
	"os"
	"sync"

	"review/fleet"
)

func main() {
	id, stage, addr := os.Args[1], os.Args[2], os.Args[3]
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	book := fleet.NewProcessBook(func(format string, args ...any) { say("LOG "+format, args...) }, func(_, stage string) { say("STAGE %s", stage) })
	r, err := fleet.NewRunner(book, id, stage, addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r.Unframed = true
	say("ADDR %s", r.Addr())
	select {}
}
