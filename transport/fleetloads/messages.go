package fleetloads

import (
	"fmt"
	"math"
	"time"

	"github.com/thymerack/thymerack/coordination/fleetload"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxRows bounds the rows of a message: the services with engines times the failure domains.
	maxRows = 1024
	// maxCount exceeds any number of engines, requests or tokens of a row.
	maxCount = 1 << 40
	// maxPartTokens exceeds the memory of any engine, in tokens.
	maxPartTokens = 1 << 32
	// maxLoad exceeds the prefill work of any row, in engines.
	maxLoad = 1e9
	// speedUnits is how many units on the wire a speed of 1 has. maxSpeed exceeds any throughput in
	// prompt tokens per millisecond and any relative speed, in units.
	speedUnits = 1000
	maxSpeed   = 1000 * speedUnits
)

// RangeError reports a value out of range, as sent by a host of another version.
type RangeError struct{ Field string }

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("fleetloads: a message's %s are out of range; run the same version on all hosts", e.Field)
}

// sample is a fleetload.Sample on the wire.
type sample struct {
	Domains []domain `msgpack:"d,omitempty"`
	Speeds  []speeds `msgpack:"s,omitempty"`
	Parts   []parts  `msgpack:"p,omitempty"`
}

// domain is a fleetload.DomainLoad on the wire. Loads are in engines.
type domain struct {
	Service       string  `msgpack:"s"`
	FailureDomain string  `msgpack:"f"`
	Engines       int     `msgpack:"e,omitempty"`
	Prefill       float64 `msgpack:"p,omitempty"`
	LatePrefill   float64 `msgpack:"l,omitempty"`
	Decoding      int     `msgpack:"d,omitempty"`
	DecodeTokens  int     `msgpack:"t,omitempty"`
}

// speeds are the engines' speeds of a service; the lists have the same length. Born is when an engine's
// run began, in Unix milliseconds, and Idle is in seconds.
type speeds struct {
	Service string   `msgpack:"s"`
	Engines []string `msgpack:"e"`
	Born    []int64  `msgpack:"b"`
	Speeds  []int    `msgpack:"v"`
	Idle    []int    `msgpack:"i"`
}

// parts are the parts in use of a service. IDs and Tokens have the same length.
type parts struct {
	Service string   `msgpack:"s"`
	IDs     []uint64 `msgpack:"i"`
	Tokens  []int    `msgpack:"t"`
}

// notice is a fleetload.Notice on the wire.
type notice struct {
	Term          uint64   `msgpack:"t"`
	Number        uint64   `msgpack:"n"`
	Domains       []domain `msgpack:"d,omitempty"`
	Speeds        []speeds `msgpack:"s,omitempty"`
	LocalPrefixes []string `msgpack:"l,omitempty"`
}

func encodeSample(s fleetload.Sample) sample {
	return sample{Domains: encodeDomains(s.Domains), Speeds: encodeSpeeds(s.Speeds), Parts: encodeParts(s.Parts)}
}

func (m sample) decode() (out fleetload.Sample, err error) {
	if out.Domains, err = decodeDomains(m.Domains); err != nil {
		return fleetload.Sample{}, err
	}
	if out.Speeds, err = decodeSpeeds(m.Speeds); err != nil {
		return fleetload.Sample{}, err
	}
	if out.Parts, err = decodeParts(m.Parts); err != nil {
		return fleetload.Sample{}, err
	}
	return out, nil
}

func encodeNotice(n fleetload.Notice) notice {
	return notice{Term: n.Term, Number: n.Number, Domains: encodeDomains(n.Domains), Speeds: encodeSpeeds(n.Speeds), LocalPrefixes: n.LocalPrefixes}
}

func (m notice) decode() (fleetload.Notice, error) {
	domains, err := decodeDomains(m.Domains)
	if err != nil {
		return fleetload.Notice{}, err
	}
	speeds, err := decodeSpeeds(m.Speeds)
	if err != nil {
		return fleetload.Notice{}, err
	}
	if len(m.LocalPrefixes) > maxRows {
		return fleetload.Notice{}, &RangeError{"services with local prefixes"}
	}
	return fleetload.Notice{Term: m.Term, Number: m.Number, Domains: domains, Speeds: speeds, LocalPrefixes: m.LocalPrefixes}, nil
}

func encodeDomains(loads []fleetload.DomainLoad) []domain {
	var out []domain
	for _, l := range loads {
		out = append(out, domain(l))
	}
	return out
}

func decodeDomains(rows []domain) ([]fleetload.DomainLoad, error) {
	if len(rows) > maxRows {
		return nil, &RangeError{"rows"}
	}
	var out []fleetload.DomainLoad
	for _, d := range rows {
		if !validLoad(d.Prefill) || !validLoad(d.LatePrefill) || !validCount(d.Engines) || !validCount(d.Decoding) || !validCount(d.DecodeTokens) {
			return nil, &RangeError{"loads"}
		}
		out = append(out, fleetload.DomainLoad(d))
	}
	return out, nil
}

// validLoad is false for NaN as well.
func validLoad(engines float64) bool { return engines >= 0 && engines <= maxLoad }

func validCount(n int) bool { return n >= 0 && n <= maxCount }

func encodeSpeeds(engines []fleetload.EngineSpeed) []speeds {
	var out []speeds
	index := map[string]int{}
	for _, e := range engines {
		i, known := index[e.Service]
		if !known {
			i = len(out)
			index[e.Service] = i
			out = append(out, speeds{Service: e.Service})
		}
		s := &out[i]
		s.Engines, s.Born = append(s.Engines, e.Engine.Name), append(s.Born, e.Engine.Born)
		s.Speeds = append(s.Speeds, min(max(1, int(math.Round(e.Speed*speedUnits))), maxSpeed))
		s.Idle = append(s.Idle, int(e.Idle/time.Second))
	}
	return out
}

func decodeSpeeds(services []speeds) ([]fleetload.EngineSpeed, error) {
	var out []fleetload.EngineSpeed
	for _, s := range services {
		n := len(s.Engines)
		if len(s.Born) != n || len(s.Speeds) != n || len(s.Idle) != n || len(out)+n > fleetload.MaxSpeeds {
			return nil, &RangeError{"uneven engines"}
		}
		for i, name := range s.Engines {
			if s.Speeds[i] < 1 || s.Speeds[i] > maxSpeed || s.Idle[i] < 0 || s.Idle[i] > math.MaxInt32 {
				return nil, &RangeError{"speeds"}
			}
			out = append(out, fleetload.EngineSpeed{
				Engine: state.InstanceID{Name: name, Born: s.Born[i]}, Service: s.Service,
				Speed: float64(s.Speeds[i]) / speedUnits, Idle: time.Duration(s.Idle[i]) * time.Second,
			})
		}
	}
	return out, nil
}

func encodeParts(uses []fleetload.PartUse) []parts {
	var out []parts
	index := map[string]int{}
	for _, u := range uses {
		i, known := index[u.Service]
		if !known {
			i = len(out)
			index[u.Service] = i
			out = append(out, parts{Service: u.Service})
		}
		out[i].IDs = append(out[i].IDs, u.ID)
		out[i].Tokens = append(out[i].Tokens, u.Tokens)
	}
	return out
}

func decodeParts(services []parts) ([]fleetload.PartUse, error) {
	var out []fleetload.PartUse
	for _, p := range services {
		if len(p.IDs) != len(p.Tokens) || len(out)+len(p.IDs) > fleetload.MaxParts {
			return nil, &RangeError{"prompt parts"}
		}
		for i, id := range p.IDs {
			if p.Tokens[i] < 0 || p.Tokens[i] > maxPartTokens {
				return nil, &RangeError{"prompt parts"}
			}
			out = append(out, fleetload.PartUse{Service: p.Service, ID: id, Tokens: p.Tokens[i]})
		}
	}
	return fleetload.LimitParts(out), nil
}
