package forward

import (
	"sync"
	"time"
)

const (
	// firstLead is assumed before anything is known: some steps of a batch (0.5 to 5 ms
	// each) and the moving of a prompt's memory.
	firstLead = 30 * time.Millisecond
	// leadGain is the weight of a stream in the mean lead.
	leadGain = 0.05
)

// leads learns, for each service, the time from the end of a prompt's reading to the
// first event: memory is moved and a first step done. The zero value is ready.
type leads struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// note takes the time to a first event into account.
func (l *leads) note(service string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == nil {
		l.mean = map[string]time.Duration{}
	}
	mean, known := l.mean[service]
	if !known {
		mean = firstLead
	}
	l.mean[service] = mean + time.Duration(leadGain*float64(took-mean))
}

// of is the mean lead of a service.
func (l *leads) of(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mean, known := l.mean[service]; known {
		return mean
	}
	return firstLead
}
