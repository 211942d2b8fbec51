package placement

import (
	"maps"
	"math"
	"slices"

	"github.com/thymerack/thymerack/state"
)

// Engines of a service may differ in speed. A choice among them counts in time instead of in
// requests or sessions: an engine's weight is its speed relative to the usual one. All hosts get the
// weights from one notice. While some have an older one, their choices differ, and a prefix is
// computed or fetched once more.

const (
	// minWeight and maxWeight bound the weights.
	minWeight = 0.25
	maxWeight = 4
	// weightStep is the ratio of two successive weights.
	weightStep = 1 + 1.0/8
	// weightTolerance is the ratio from a weight by which a speed may differ without changing it. It
	// exceeds a step, so that a speed near the middle between two weights changes nothing.
	weightTolerance = 1 + 1.0/7
)

// Weight returns the weight of an engine of the speed, where 1 is the usual one. current is its weight
// so far, 1 if it has none. The weight stays while the speed is within a seventh of it, and is a power
// of 9/8 otherwise.
func Weight(current, speed float64) float64 {
	if !(speed > 0) || math.IsInf(speed, 1) {
		return current
	}
	if math.Abs(math.Log(speed/current)) <= math.Log(weightTolerance) {
		return current
	}
	steps := math.Round(math.Log(speed) / math.Log(weightStep))
	return min(max(math.Pow(weightStep, steps), minWeight), maxWeight)
}

// Weigher turns the measured throughput of a service's engines into weights. It isn't safe for
// concurrent use.
type Weigher struct {
	// current are the weights other than 1, and proposed those that the last throughput asked for
	// instead.
	current, proposed map[state.InstanceID]float64
}

// NewWeigher returns a Weigher that starts from the given weights.
func NewWeigher(current map[state.InstanceID]float64) *Weigher {
	return &Weigher{current: maps.Clone(current)}
}

// Update returns the weights by the present throughput of the engines, in any unit. The median is the
// usual one, and engines of weight 1 are left out. A weight changes if two updates in succession ask for
// it: several slow periods in a row look like a lasting change for a second. Engines without a
// throughput keep their weights until Forget.
func (w *Weigher) Update(throughput map[state.InstanceID]float64) map[state.InstanceID]float64 {
	if len(throughput) > 0 {
		sorted := slices.Sorted(maps.Values(throughput))
		usual := sorted[len(sorted)/2]
		proposed := map[state.InstanceID]float64{}
		current := maps.Clone(w.current)
		if current == nil {
			current = map[state.InstanceID]float64{}
		}
		for id, t := range throughput {
			w.propose(id, t/usual, current, proposed)
		}
		w.current, w.proposed = current, proposed
	}
	return w.current
}

// propose adds to current or to proposed what an engine of the speed gets.
func (w *Weigher) propose(id state.InstanceID, speed float64, current, proposed map[state.InstanceID]float64) {
	before, known := current[id]
	if !known {
		before = 1
	}
	if Weight(before, speed) == before {
		return
	}
	last, again := w.proposed[id]
	if !again || Weight(last, speed) != last {
		proposed[id] = Weight(before, speed)
		return
	}
	if current[id] = last; last == 1 {
		delete(current, id)
	}
}

// Forget drops the engines that aren't listed any more.
func (w *Weigher) Forget(listed func(state.InstanceID) bool) {
	gone := func(id state.InstanceID, _ float64) bool { return !listed(id) }
	w.current = maps.Clone(w.current)
	maps.DeleteFunc(w.current, gone)
}

// SetSpeeds sets the weights of the runners. A runner without an entry has weight 1, and so has a
// later run of the same one. It costs as much as there are entries, and choices take no lock.
func (f *Fleet) SetSpeeds(speeds map[state.InstanceID]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.speeds {
		if _, kept := speeds[id]; !kept {
			f.applySpeed(id, 1)
		}
	}
	for id, speed := range speeds {
		f.applySpeed(id, speed)
	}
	f.speeds = maps.Clone(speeds)
}

// applySpeed sets the weight of a runner, if it is known; f.mu is held.
func (f *Fleet) applySpeed(id state.InstanceID, speed float64) {
	if load := f.loads[id]; load != nil {
		load.setWeight(speed)
	}
}

// setWeight sets the weight; an invalid one counts as 1.
func (l *Load) setWeight(weight float64) {
	if !(weight > 0) {
		weight = 1
	}
	weight = min(max(weight, minWeight), maxWeight)
	if weight == l.Weight() {
		return
	}
	l.weight.Store(newWeightedScore(weight))
}

// Weight returns the runner's speed relative to the usual one of its service; 1 if none was set.
func (l *Load) Weight() float64 {
	if w := l.weight.Load(); w != nil {
		return w.weight
	}
	return 1
}

// inFlightTime returns the requests in flight at a runner with the next one, in the time that a runner
// of weight 1 takes for them.
func inFlightTime(r *Runner) float64 { return float64(r.InFlight()+1) / r.Weight() }

// scoreCells is the number of cells in which a weighted score is linear. In groups of up to 192 runners,
// the least score is in the first cells, where the error is under a hundredth.
const scoreCells = 256

// weightedScore turns a uniform score u from 0 to 1 into 1-(1-u)^(1/weight), by which the least of
// several runners is chosen in proportion to their weights. Between the values at the cells' bounds it
// is linear: exponentials for each runner would lengthen a choice by half.
type weightedScore struct {
	weight float64
	bounds [scoreCells + 1]float64
}

func newWeightedScore(weight float64) *weightedScore {
	w := &weightedScore{weight: weight}
	for i := range w.bounds {
		w.bounds[i] = -math.Expm1(math.Log1p(-float64(i)/scoreCells) / weight)
	}
	return w
}

// maxScore is the highest score below 1, where rounding would reach 1.
var maxScore = math.Nextafter(1, 0)

// of returns the weighted score: the score itself for weight 1, for which w may be nil.
func (w *weightedScore) of(score float64) float64 {
	if w == nil || w.weight == 1 {
		return score
	}
	cell := min(int(score*scoreCells), scoreCells-1)
	low, high := w.bounds[cell], w.bounds[cell+1]
	return min(low+(high-low)*(score*scoreCells-float64(cell)), maxScore)
}
