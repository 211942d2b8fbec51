package forward

import (
	"log/slog"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/contention"
)

// prefillOrder is the decision about a prompt's order at its engine, as it is logged.
type prefillOrder struct {
	class   contention.Class
	rank    int
	outcome contention.Outcome
}

// noteOrder records a decision and reports it to the observer.
func (d *Dispatcher) noteOrder(r *Request, rec *record, f backlog.Forecast) {
	o := f.Outcome
	if o == contention.Unset { // of an owner of an earlier version
		o = contention.InTime
		if f.Deferred() {
			o = contention.Late
		}
	}
	rec.order = &prefillOrder{r.Contention, f.Rank, o}
	d.o.Observer.PrefillOrdered(r, o)
}

func (o *prefillOrder) attrs() []slog.Attr {
	return []slog.Attr{
		slog.Int("urgency", o.class.Level), slog.Int("rank", o.rank), slog.String("order", o.outcome.String()),
	}
}
