package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/thymerack/thymerack/transport/wallclock"
)

// recheck is how often a token file is looked at for a change.
const recheck = 2 * time.Second

// Tokens are the operators' tokens, read from a file with one a line and read
// again when the file changes. Without a file every token is good.
type Tokens struct {
	path string

	mu      sync.Mutex
	digests [][sha256.Size]byte
	changed time.Time
	looked  time.Time
}

// NewTokens reads the file; an empty path means no tokens are asked for.
func NewTokens(path string) (*Tokens, error) {
	t := &Tokens{path: path}
	if path == "" {
		return t, nil
	}
	return t, t.read(wallclock.Now())
}

func (t *Tokens) read(now time.Time) error {
	t.looked = now
	info, err := os.Stat(t.path)
	if err != nil {
		return fmt.Errorf("operators.token_file can't be read (%w); check the path and its permissions", err)
	}
	if info.ModTime().Equal(t.changed) {
		return nil
	}
	text, err := os.ReadFile(t.path)
	if err != nil {
		return fmt.Errorf("operators.token_file can't be read (%w); check the path and its permissions", err)
	}
	var digests [][sha256.Size]byte
	for line := range strings.Lines(string(text)) {
		if token := strings.TrimSpace(line); token != "" {
			digests = append(digests, sha256.Sum256([]byte(token)))
		}
	}
	if len(digests) == 0 {
		return fmt.Errorf("operators.token_file %s holds no token; write one a line", t.path)
	}
	t.digests = digests
	t.changed = info.ModTime()
	return nil
}

// Good reports whether a token is an operator's. A file that can't be read any
// more leaves the last tokens in force.
func (t *Tokens) Good(token string) bool {
	if t.path == "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := wallclock.Now(); now.Sub(t.looked) > recheck {
		_ = t.read(now)
	}
	digest := sha256.Sum256([]byte(token))
	found := 0
	for i := range t.digests {
		found |= subtle.ConstantTimeCompare(digest[:], t.digests[i][:])
	}
	return found == 1
}
