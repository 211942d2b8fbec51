package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt and keeps what ran.
type recorder struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	runs  map[string]int
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	if err != nil {
		panic(err)
	}
	return &recorder{began: time.Now(), file: f, runs: map[string]int{}}
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) ran(runner, id string) {
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.note("runner %s: runs %s", runner, id)
}

func (r *recorder) hasRun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id] > 0
}
