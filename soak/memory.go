package soak

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/thymerack/thymerack/platform/platformtest"
)

// memoryPoll is the time between two looks at the hosts' memory.
const memoryPoll = 100 * time.Millisecond

// watchMemory notes hosts whose resident memory exceeds that of their machine, until stop is closed.
func (f *fleet) watchMemory(stop <-chan struct{}) {
	over := map[*host]bool{}
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryPoll):
		}
		for _, h := range f.hosts {
			bytes := h.resident()
			if bytes > f.mostResident {
				f.mostResident = bytes
			}
			if bytes > platformtest.HostMemory && !over[h] {
				over[h] = true
				f.problem("host %s takes %d MB, more than its machine has", h.addrs.Name, bytes>>20)
			}
		}
	}
}

// resident returns the resident memory of the host's process in bytes; 0 if it has none.
func (h *host) resident() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil || h.cmd.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	fields := bytes.Fields(text)
	if err != nil || len(fields) < 2 {
		return 0 // the process has ended
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
