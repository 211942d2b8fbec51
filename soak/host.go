package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/thymerack/thymerack/platform"
	"github.com/thymerack/thymerack/platform/platformtest"
)

// host is one host: its process, which is replaced by restarts, and its link to
// the store.
type host struct {
	addrs platformtest.HostAddrs
	bin   string
	dir   string
	store *proxy

	// restarting is held by whoever ends and starts the process.
	restarting sync.Mutex

	mu   sync.Mutex
	cmd  *exec.Cmd
	ends chan struct{}
	// run counts the processes; expected is set before a signal that ends one.
	run      int
	expected bool
	problem  func(format string, args ...any)
}

func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	settings := filepath.Join(h.dir, h.addrs.Name+".json")
	addrs := h.addrs
	addrs.FirstStart = h.run == 0
	if err := os.WriteFile(settings, platformtest.SettingsFile(addrs), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.dir, h.addrs.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.bin, "--platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start host %s: %w; build the program first", h.addrs.Name, err)
	}
	h.cmd, h.ends, h.expected = cmd, make(chan struct{}), false
	h.run++
	go h.wait(cmd, h.ends)
	return nil
}

func (h *host) wait(cmd *exec.Cmd, ends chan struct{}) {
	_ = cmd.Wait() // its status is judged by whether the end was expected
	h.mu.Lock()
	if !h.expected {
		h.problem("host %s ended by itself: %s", h.addrs.Name, cmd.ProcessState)
	}
	h.mu.Unlock()
	close(ends)
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		h.expected = true
	}
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s) // a process that has just ended needs none
	}
}

// kill ends the process at once and starts another after the pause.
func (h *host) kill(pause time.Duration) error {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.signal(syscall.SIGKILL)
	<-h.ended()
	time.Sleep(pause)
	return h.start()
}

// terminate asks the process to end, which it must in its grace, and starts another.
func (h *host) terminate() error {
	h.restarting.Lock()
	defer h.restarting.Unlock()
	began := time.Now()
	h.signal(syscall.SIGTERM)
	select {
	case <-h.ended():
	case <-time.After(platformtest.Grace + 5*time.Second):
		h.problem("host %s did not end %s after SIGTERM", h.addrs.Name, time.Since(began))
		h.signal(syscall.SIGKILL)
		<-h.ended()
	}
	return h.start()
}

func (h *host) ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ends
}

// incarnation names the present process.
func (h *host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s/%d", h.addrs.Name, h.run)
}

func (h *host) stop() {
	h.signal(syscall.SIGKILL)
	if ends := h.ended(); ends != nil {
		<-ends
	}
	h.store.close()
}
