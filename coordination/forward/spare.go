package forward

import (
	"context"
	"slices"
	"time"

	"github.com/thymerack/thymerack/coordination/backlog"
	"github.com/thymerack/thymerack/coordination/placement"
	"github.com/thymerack/thymerack/state"
)

const (
	// maxSpareAsked bounds the generating engines that are asked for one prompt: with half
	// of them idle, seven in eight prompts find one.
	maxSpareAsked = 3
	// spareSlower is how many times slower an engine that generates reads a prompt: half
	// the speed, by the platform's pages.
	spareSlower = 2
)

// takeSpare looks for an idle engine among those that generate for a prompt that the
// engines which only read would read too late. While prompts come in bursts few answers
// are generated, and these engines have room; one with answers under way is spared, since
// reading would hold them up. What source keeps is fetched. The turn has no runner if none
// is found in time.
func (d *Dispatcher) takeSpare(ctx context.Context, r *Request, rec *record, work backlog.Work, source *placement.Runner, limit time.Duration) turn {
	asked := slices.Clone(rec.tried)
	for range maxSpareAsked {
		runner := d.o.Placer.Decode(r.Service, "", "", asked)
		if runner == nil || runner.Instance.Role != state.RoleDecode {
			break
		}
		ask := d.readingAsk(r, runner, work, shortWait, limit)
		ask.Reading.Idle, ask.Reading.Slower = true, spareSlower
		o := offer{runner, d.o.Gate.Enter(ctx, ask)}
		if o.Place != nil {
			t := turnAt(o, source)
			t.spare = true
			return t
		}
		asked = append(asked, runner.Instance.ID)
	}
	return turn{}
}
