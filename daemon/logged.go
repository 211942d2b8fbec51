package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/thymerack/thymerack/coordination/dispatch"
	"github.com/thymerack/thymerack/coordination/explain"
	"github.com/thymerack/thymerack/coordination/upstream"
	"github.com/thymerack/thymerack/state"
	"github.com/thymerack/thymerack/transport/front"
)

// loggedDispatcher logs the end of every request at level debug. No prompt and
// no answer is logged.
type loggedDispatcher struct {
	front.Dispatcher
	d *Daemon
}

// Generate implements front.Dispatcher.
func (l *loggedDispatcher) Generate(ctx context.Context, r *dispatch.Request, c *dispatch.Completion, sink dispatch.Sink) error {
	err := l.Dispatcher.Generate(ctx, r, c, sink)
	l.ended(ctx, r, err, slog.Int("tokens", len(sink.Tokens())))
	return err
}

// Call implements front.Dispatcher.
func (l *loggedDispatcher) Call(ctx context.Context, r *dispatch.Request, c upstream.Call) (upstream.Answer, error) {
	a, err := l.Dispatcher.Call(ctx, r, c)
	l.ended(ctx, r, err, slog.Int("status", a.Status))
	return a, err
}

func (l *loggedDispatcher) ended(ctx context.Context, r *dispatch.Request, err error, outcome slog.Attr) {
	if !l.d.log.Enabled(ctx, slog.LevelDebug) {
		return
	}
	attrs := []slog.Attr{
		slog.String("request_id", r.ID), slog.String("customer", r.Customer), slog.String("class", r.Class),
		slog.String("service", r.Service), slog.Uint64("config_version", l.d.rollout.Version()),
		slog.Duration("took", l.d.clock.Now().Sub(r.ArrivedAt).Round(time.Microsecond)), outcome,
	}
	if err != nil {
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	l.d.log.LogAttrs(ctx, slog.LevelDebug, "request ended", attrs...)
}

// loggedBook logs every decision at level debug and keeps its record.
type loggedBook struct {
	*explain.Recorder
	log *slog.Logger
}

// Record implements the recorders of coordination.
func (l *loggedBook) Record(d state.Decision) {
	l.Recorder.Record(d)
	l.log.Debug("decision", "kind", string(d.Kind), "subject", d.Subject, "chosen", d.Chosen, "why", d.Why, "config_version", d.ConfigVersion)
}
