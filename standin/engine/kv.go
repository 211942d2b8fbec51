package engine

import (
	"time"

	"github.com/google/uuid"

	"github.com/thymerack/thymerack/protocol/engineapi"
)

// KVExport stands for the bytes of an exported KV cache. It names the prompt by
// the key of its answer; the transfer takes the time of the real bytes.
type KVExport struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Bytes  int64  `json:"bytes"`
}

// kvStore keeps a limited number of exports, the newest.
type kvStore struct {
	limit   int
	exports map[string]KVExport
	handles []string
}

func (k *kvStore) add(x KVExport) string {
	handle := uuid.NewString()
	k.exports[handle] = x
	k.handles = append(k.handles, handle)
	if len(k.handles) > k.limit {
		delete(k.exports, k.handles[0])
		k.handles = k.handles[1:]
	}
	return handle
}

func (k *kvStore) clear() {
	clear(k.exports)
	k.handles = nil
}

// Export keeps the KV cache of a prefill that is done.
func (e *Engine) Export(s *Sequence) engineapi.PrefillAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes := int64(s.prompt) * e.o.KVBytesPerToken
	handle := e.kv.add(KVExport{Model: s.Model, Prompt: s.key, Bytes: bytes})
	return engineapi.PrefillAnswer{Attempt: s.Attempt, Handle: handle, PromptTokens: s.prompt, Bytes: bytes}
}

// KV returns an export and the time that its transfer takes, or ErrHandle.
func (e *Engine) KV(handle string) (KVExport, time.Duration, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, ok := e.kv.exports[handle]
	if !ok {
		return KVExport{}, 0, ErrHandle
	}
	seconds := float64(x.Bytes) / e.o.KVBytesPerSecond
	return x, time.Duration(seconds * float64(time.Second)), nil
}
