package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// maxPriorEdits is how many earlier edits an envelope names.
const maxPriorEdits = 32

// Envelope is the stored form of an edited configuration.
type Envelope struct {
	// Nonce marks the edit that wrote the value.
	Nonce string `json:"nonce"`
	// Base is the version that the edit was made on.
	Base uint64 `json:"base"`
	// Author is the host that the edit was made at.
	Author string `json:"author"`
	// PriorEdits names the edits before, the latest first.
	PriorEdits []EditRecord    `json:"trail,omitempty"`
	Config     json.RawMessage `json:"config"`
}

// EditRecord names one earlier edit.
type EditRecord struct {
	Nonce string `json:"nonce"`
	// Base is the version it was made on, Version the one it made.
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// parseEnvelope takes an envelope apart; a value without one is its own configuration.
func parseEnvelope(value []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(value, &e); err != nil {
		return e, &state.ConfigError{Where: "the value", Problem: fmt.Sprintf("not JSON: %v", err), Remedy: "write it with thymectl config edit"}
	}
	if len(e.Config) == 0 {
		e = Envelope{Config: value}
	}
	return e, nil
}

// parseConfig decodes a configuration strictly: an unknown field is a misspelt one.
func parseConfig(config []byte) (*state.Config, error) {
	decoder := json.NewDecoder(bytes.NewReader(config))
	decoder.DisallowUnknownFields()
	var c state.Config
	if err := decoder.Decode(&c); err != nil {
		return nil, &state.ConfigError{Where: "the value", Problem: err.Error(), Remedy: "correct or remove that part"}
	}
	if decoder.More() {
		return nil, &state.ConfigError{Where: "the value", Problem: "something follows the configuration", Remedy: "write one JSON object"}
	}
	return &c, nil
}

// next returns the envelope of an edit made on the object at base.
func (e Envelope) next(nonce, author string, base uint64, config []byte) Envelope {
	out := Envelope{Nonce: nonce, Base: base, Author: author, Config: config}
	if e.Nonce == "" {
		return out
	}
	out.PriorEdits = append([]EditRecord{{Nonce: e.Nonce, Base: e.Base, Version: base}}, e.PriorEdits...)
	out.PriorEdits = out.PriorEdits[:min(len(out.PriorEdits), maxPriorEdits)]
	return out
}

// editOutcome is what a value read back tells about an edit.
type editOutcome int

const (
	outcomeUnknown editOutcome = iota
	outcomeCommitted
	outcomeNotCommitted
)

// findEdit looks for an edit made on base in the object read back at version, and
// returns the version that the edit made.
func (e Envelope) findEdit(nonce string, base, version uint64) (editOutcome, uint64) {
	if version == base {
		return outcomeNotCommitted, 0
	}
	if e.Nonce == nonce {
		return outcomeCommitted, version
	}
	if e.Nonce != "" && e.Base == base {
		return outcomeNotCommitted, 0 // another edit was made on the same base
	}
	for _, t := range e.PriorEdits {
		if t.Nonce == nonce {
			return outcomeCommitted, t.Version
		}
		if t.Base == base {
			return outcomeNotCommitted, 0
		}
	}
	return outcomeUnknown, 0
}
