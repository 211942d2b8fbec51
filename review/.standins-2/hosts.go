package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one machine of the system, whose process is the project's own program.
type host struct {
	name, ip, zone string
	dir, settings  string
	front          string
	ready          string
	memoryMB       int

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	ended   bool
	started int
	peakMB  int
	log     *os.File
}

// The machines of a case have loopback addresses of a network of its own, and the same ports.
var (
	network   = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	readyPort = freePorts()
	frontPort = readyPort + 1
	peerPort  = readyPort + 2
)

// freePorts returns the first of twenty ports that are free at the case's first machine.
func freePorts() int {
	for {
		first, free := 20000+rand.IntN(10000), true
		for i := range 20 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.11:%d", network, first+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
}

// deployWords are the words of the deploy file's run line.
func deployWords() []string {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		panic(err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`))
		}
	}
	panic("deploy/system.toml has no run line")
}

func newHost(dir, name, ip, zone, store string, memoryMB int, extra map[string]any) *host {
	h := &host{name: name, ip: ip, zone: zone, dir: dir, memoryMB: memoryMB,
		front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)}
	settings := map[string]any{
		"node": name, "role": "host", "class": "front", "serves": []string{"front"}, "ip": ip, "zone": zone, "region": "r",
		"zones":  map[string]string{"z1": "r", "z2": "r"},
		"listen": map[string]string{"front": h.front, "ready": h.ready}, "port-range": []int{peerPort, peerPort + 15},
		"seeds": []string{}, "bootstrap": true, "in-loss-budget": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "max-fds": 4200, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"},
		"tolerate":  map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catchup-s": 4, "drain-ms": 2000, "grace-s": 8,
			"loss-slack-ms": 200, "config-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "retry-ratio": 0.2, "retry-window-s": 10,
			"retry-slack": 54, "recovery-s": 12, "transit-ms": 120, "retry-after-s": 3.5, "require-fence": false, "lease-ms": 3000, "thaw-ms": 300},
		"provider": map[string]any{"addr": store, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "min-ttl-ms": 1000},
	}
	for k, v := range extra {
		settings[k] = v
	}
	raw, _ := json.MarshalIndent(settings, "", " ")
	allMu.Lock()
	all = append(all, h)
	allMu.Unlock()
	h.settings = filepath.Join(dir, name+".json")
	if err := os.WriteFile(h.settings, raw, 0o644); err != nil {
		panic(err)
	}
	return h
}

// start starts the process; restart says whether the platform starts it again when it ends.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	words := deployWords()
	h.cmd = exec.Command(words[0], words[1:]...)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "THYMERACK_NODE_FILE=" + h.settings}
	h.started++
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(h.cmd, h.done)
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

func (h *host) alive() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// all are the hosts of the case, for their end when the case itself is ended.
var (
	allMu sync.Mutex
	all   []*host
)

// endOnSignal ends all processes when the case is ended from outside.
func endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		allMu.Lock()
		for _, h := range all {
			h.mu.Lock()
			h.stop()
		}
		os.Exit(2)
	}()
}

// stop ends the process at the end of a case.
func (h *host) stop() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
	}
}

// residentMB is the memory of the process as the kernel counts it.
func (h *host) residentMB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func waitReady(hosts []*host, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		all := true
		for _, h := range hosts {
			all = all && h.isReady()
		}
		if all {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
