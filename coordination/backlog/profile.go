package backlog

import (
	"math"
	"slices"
	"time"
)

const (
	// An engine's lasting speed is the median of its last maxSpeedSamples samples, without those
	// older than speedWindow beyond the last minWindowSamples. A slow period of 600 ms is a fifth
	// of the window, which moves a median by less than a standard deviation. A lasting change
	// takes the majority after half of the window.
	maxSpeedSamples  = 32
	minWindowSamples = 6
	speedWindow      = 3 * time.Second
	// minSpeedSamples is the number of samples from which the lasting speed is known.
	minSpeedSamples = 6
	// A first estimate counts as that many samples, less those that were seen since: more if it
	// was measured by another owner than if it is the usual speed.
	usualSpeedSamples = 3
	knownSpeedSamples = 8
	// speedPrompts is how many prefills make a sample while the queue doesn't become empty. An
	// engine computes the end of a prompt and the start of the next one in the same step, so the
	// duration of a pair is more exact than that of one of them.
	speedPrompts = 2
	// ratioScaleMS is added to both durations of a ratio, in milliseconds: a delay of the network
	// is not to count much at the shortest prefills.
	ratioScaleMS = 0.5
)

// profile holds the lasting speed of one run of an engine, apart from its present state (see
// slowPeriod). Samples keep their features, so the speed always relates to the estimator's present
// model.
type profile struct {
	estimator *Estimator
	samples   []speedSample
	batch     speedSample
	// batchInvalid is set if a prefill was aborted since the last sample.
	batchInvalid bool
	// logSpeed is the natural logarithm of the lasting speed relative to the estimator's model, and
	// firstEstimate its value before there are samples, which counts as firstSamples.
	logSpeed, firstEstimate float64
	firstSamples            int
	// logFleetSpeed is the natural logarithm of the speed that the fleet has measured; 0 if that is
	// the usual speed or there is none.
	logFleetSpeed float64
	counted       scaleEntry
}

// speedSample is the duration of prefills that ended in succession.
type speedSample struct {
	at time.Time
	// features are the sum of those of the prefills. tookMS is their measured duration and fetchMS
	// the part of it in which parts were fetched, in milliseconds.
	features        features
	tookMS, fetchMS float64
	// outOfOrder is set if another prefill than the expected one ended. The duration may then
	// include one whose answer was lost.
	outOfOrder bool
}

func newProfile(e *Estimator) profile {
	return profile{estimator: e, firstSamples: usualSpeedSamples}
}

// setFleetSpeed takes over the speed that the fleet has measured for the engine; known is false if
// that is the usual one. It is the first estimate of a profile without samples.
func (p *profile) setFleetSpeed(speed float64, known bool) {
	logSpeed := 0.0
	if known && speed > 0 {
		logSpeed = min(max(math.Log(speed), -math.Log(maxFactor)), -math.Log(minFactor))
	}
	if logSpeed == p.logFleetSpeed {
		return
	}
	p.logFleetSpeed = logSpeed
	if len(p.samples) == 0 {
		p.firstEstimate, p.firstSamples = logSpeed+p.estimator.scale.center(), knownSpeedSamples
	}
	p.update()
}

// add adds a completed prefill that took that long since the one before it. last says that the
// queue is empty now. It returns the finished sample, if any.
func (p *profile) add(now time.Time, x features, fetchMS, tookMS float64, last bool) (speedSample, bool) {
	for i := range x {
		p.batch.features[i] += x[i]
	}
	p.batch.at, p.batch.tookMS, p.batch.fetchMS = now, p.batch.tookMS+tookMS, p.batch.fetchMS+fetchMS
	if !p.batchInvalid && !last && p.batch.features[0] < speedPrompts {
		return speedSample{}, false
	}
	sample, valid := p.batch, !p.batchInvalid
	p.startBatch()
	return sample, valid
}

// startBatch discards the prefills since the last sample.
func (p *profile) startBatch() { p.batch, p.batchInvalid = speedSample{}, false }

// learn adds a sample to the lasting speed.
func (p *profile) learn(s speedSample) {
	p.samples = append(p.samples, s)
	drop := max(0, len(p.samples)-maxSpeedSamples)
	for len(p.samples)-drop > minWindowSamples && s.at.Sub(p.samples[drop].at) > speedWindow {
		drop++
	}
	p.samples = slices.Delete(p.samples, 0, drop)
	p.update()
}

// update computes the lasting speed from the samples.
func (p *profile) update() {
	var buffer [maxSpeedSamples + knownSpeedSamples]float64
	logs := buffer[:0]
	for _, s := range p.samples {
		logs = append(logs, -math.Log(p.estimator.ratio(s)))
	}
	for len(logs) < p.firstSamples {
		logs = append(logs, p.firstEstimate)
	}
	slices.Sort(logs)
	middle := len(logs) / 2
	p.logSpeed = min(max((logs[middle]+logs[(len(logs)-1)/2])/2, -math.Log(maxFactor)), -math.Log(minFactor))
	p.estimator.scale.update(p)
}

// ratio returns how many times longer than the model predicts the prefills of a sample took.
func (e *Estimator) ratio(s speedSample) float64 {
	return (s.tookMS + ratioScaleMS) / (e.predict(s.features) + s.fetchMS + ratioScaleMS)
}

// slowdown returns how many times longer than predicted by the model the engine's prefills take.
func (p *profile) slowdown() float64 { return math.Exp(-p.logSpeed) }

// speed returns the lasting speed relative to the usual one of the service's engines.
func (p *profile) speed() float64 { return math.Exp(p.logSpeed - p.estimator.scale.center()) }

// known reports whether the lasting speed was measured, by this owner or by an earlier one.
func (p *profile) known() bool {
	return (len(p.samples) >= minSpeedSamples && p.estimator.Reliable()) || p.firstSamples == knownSpeedSamples
}
