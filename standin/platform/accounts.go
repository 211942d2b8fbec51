package platform

import "sync"

// The operations that are counted.
const (
	opGet    = "get"
	opPut    = "put"
	opDelete = "delete"
	opList   = "list"
	opWatch  = "watch"
	opHosts  = "hosts"
)

// Usage counts the calls of one operation.
type Usage struct {
	Calls    int64 `json:"calls"`
	Refused  int64 `json:"refused"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

func (u *Usage) add(o Usage) {
	u.Calls += o.Calls
	u.Refused += o.Refused
	u.BytesIn += o.BytesIn
	u.BytesOut += o.BytesOut
}

// Stats is what the platform counted since it started: by operation, and by
// caller and operation.
type Stats struct {
	Total   Usage                       `json:"total"`
	Ops     map[string]Usage            `json:"ops"`
	Callers map[string]map[string]Usage `json:"callers"`
}

// accounts counts calls per caller and operation.
type accounts struct {
	mu      sync.Mutex
	callers map[string]map[string]*Usage
}

func newAccounts() *accounts {
	return &accounts{callers: map[string]map[string]*Usage{}}
}

// add counts u for the caller's operation.
func (a *accounts) add(caller, op string, u Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ops := a.callers[caller]
	if ops == nil {
		ops = map[string]*Usage{}
		a.callers[caller] = ops
	}
	if ops[op] == nil {
		ops[op] = &Usage{}
	}
	ops[op].add(u)
}

// stats copies the counts.
func (a *accounts) stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{Ops: map[string]Usage{}, Callers: map[string]map[string]Usage{}}
	for caller, ops := range a.callers {
		s.Callers[caller] = map[string]Usage{}
		for op, u := range ops {
			s.Callers[caller][op] = *u
			total := s.Ops[op]
			total.add(*u)
			s.Ops[op] = total
			s.Total.add(*u)
		}
	}
	return s
}
