package fleet

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Engine is an engine that is a process of its own.
type Engine struct {
	ID   string
	Addr string
	cmd  *exec.Cmd

	mu    sync.Mutex
	stage string
}

// StartEngine starts the stand-in engine beside this program and lists it.
func (f *Fleet) StartEngine(id, stage, addr, domain string) (*Engine, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, stage: stage, cmd: exec.Command(filepath.Join(filepath.Dir(own), "engine"), id, stage, addr)}
	out, err := e.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	for e.Addr == "" && lines.Scan() {
		e.Addr, _ = strings.CutPrefix(lines.Text(), "ADDR ")
	}
	if e.Addr == "" {
		return nil, errors.New("an engine didn't start")
	}
	f.List(id, ServiceEngines, e.Addr, domain, stage)
	go func() {
		for lines.Scan() {
			what, rest, _ := strings.Cut(lines.Text(), " ")
			if what == "STAGE" {
				e.mu.Lock()
				e.stage = rest
				e.mu.Unlock()
				f.listStage(id, rest)
				continue
			}
			f.Logf("%s", rest)
		}
		_ = e.cmd.Wait() // only that it ended matters
	}()
	return e, nil
}

// Stage is what the engine serves now.
func (e *Engine) Stage() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

// Kill kills the engine's process.
func (e *Engine) Kill() { _ = e.cmd.Process.Signal(syscall.SIGKILL) }
