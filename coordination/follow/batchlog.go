package follow

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/store"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxBatchLines bounds the lines of one message that an update logs for single instances. The
	// rest is counted, so that the volume doesn't grow with the fleet: all instances are listed at
	// the start of each host, and after an outage.
	maxBatchLines = 20
	// maxBatchNames bounds the names in the line that counts the rest.
	maxBatchNames = 5
)

// batchLog logs what one update of the list changes, with a bounded number of lines.
type batchLog struct {
	log      *slog.Logger
	revision uint64
	// source is the call that brought the update, and age how old the copy before it was.
	source Source
	age    time.Duration
	counts map[string]int
	// unlogged are the first instances of each message that have no line of their own.
	unlogged map[string][]string
}

func newBatchLog(log *slog.Logger, revision uint64, source Source, age time.Duration) *batchLog {
	return &batchLog{log: log, revision: revision, source: source, age: age, counts: map[string]int{}, unlogged: map[string][]string{}}
}

// add logs a change of an instance with further attributes, or counts it.
func (b *batchLog) add(message string, i state.Instance, attrs ...any) {
	b.counts[message]++
	if b.counts[message] <= maxBatchLines {
		all := []any{"instance", i.ID, "service", i.Service, "draining", i.Draining, "role", string(i.Role), "revision", store.FormatVersion(b.revision), "source", string(b.source), "copy_age", b.age}
		b.log.Info(message, append(all, attrs...)...)
		return
	}
	if names := b.unlogged[message]; len(names) < maxBatchNames {
		b.unlogged[message] = append(names, i.ID.String())
	}
}

// finish logs the counts of the changes without a line of their own.
func (b *batchLog) finish() {
	messages := []string{}
	for message := range b.unlogged {
		messages = append(messages, message)
	}
	slices.Sort(messages)
	for _, message := range messages {
		b.log.Info(fmt.Sprintf("%s (further ones)", message), "instances", b.counts[message]-maxBatchLines, "first", b.unlogged[message], "revision", store.FormatVersion(b.revision))
	}
}
