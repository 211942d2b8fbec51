package rollout

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/thymerack/thymerack/state"
)

// maxPriorEdits bounds the prior edits that an envelope lists, and with it the
// size of the stored value. The outcome of an edit that is followed by more edits
// than that before it is read back is unknown.
const maxPriorEdits = 32

// Envelope is the stored form of an edited configuration.
type Envelope struct {
	// Nonce identifies the edit that wrote the value.
	Nonce string `json:"nonce"`
	// Base is the version of the object that the edit replaced; 0 if it created the
	// object.
	Base uint64 `json:"base"`
	// Author is the name of the host that wrote the edit.
	Author string `json:"author"`
	// PriorEdits lists up to maxPriorEdits earlier edits, the latest first.
	PriorEdits []EditRecord `json:"trail,omitempty"`
	// Config is the configuration, an encoded state.Config.
	Config json.RawMessage `json:"config"`
}

// EditRecord identifies a prior edit.
type EditRecord struct {
	Nonce string `json:"nonce"`
	// Base is the version that the edit replaced, Version the one it created.
	Base    uint64 `json:"base"`
	Version uint64 `json:"version"`
}

// parseEnvelope decodes a stored value. A value without an envelope is returned as
// the Config of an otherwise empty one.
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

// parseConfig decodes a configuration. It refuses unknown fields, because a
// misspelt field would otherwise be ignored silently.
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

// next returns the envelope of an edit that replaces e, stored at version base. If
// e has no nonce, the edit that wrote it can't be identified and the new envelope
// lists no prior edits.
func (e Envelope) next(nonce, author string, base uint64, config []byte) Envelope {
	out := Envelope{Nonce: nonce, Base: base, Author: author, Config: config}
	if e.Nonce == "" {
		return out
	}
	out.PriorEdits = append([]EditRecord{{Nonce: e.Nonce, Base: e.Base, Version: base}}, e.PriorEdits...)
	out.PriorEdits = out.PriorEdits[:min(len(out.PriorEdits), maxPriorEdits)]
	return out
}

// editOutcome is whether an edit took effect, as far as the stored object shows.
type editOutcome int

const (
	// outcomeUnknown means that the object doesn't show whether the edit took effect.
	outcomeUnknown editOutcome = iota
	outcomeCommitted
	outcomeNotCommitted
)

// findEdit searches e, read at version, for the edit with this nonce made on base.
// It returns the version that the edit created, 0 unless it took effect. Only one
// edit can take effect on a base, so another edit on the same base means that this
// one didn't.
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
