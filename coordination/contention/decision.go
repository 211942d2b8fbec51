package contention

import "time"

// Outcome is why a prompt has its rank.
type Outcome int

// The outcomes of a decision.
const (
	// Unset is the outcome of a decision by a host of an earlier version, which sends only the rank.
	Unset Outcome = iota
	// InTime prompts are predicted to meet their objective.
	InTime
	// Late prompts are predicted to miss it, whatever their customer has used. They have ranks
	// after all that are in time.
	Late
	// Deferred prompts would be in time, but have the rank of late ones because their customer is
	// ahead of its share.
	Deferred
	// Promoted prompts have the first rank, paid from the credit of their level, and are in time
	// with it.
	Promoted
	numOutcomes
)

var outcomeNames = [numOutcomes]string{"unset", "in_time", "late", "deferred_share", "promoted"}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	if !o.Valid() {
		return outcomeNames[Unset]
	}
	return outcomeNames[o]
}

// Valid reports whether o is one of the outcomes.
func (o Outcome) Valid() bool { return o >= 0 && o < numOutcomes }

const (
	// Sizes is the number of classes of prompts by the predicted duration of their prefill. Without
	// levels these are the ranks of prompts in time, and the Sizes ranks after them are those of
	// deferred ones.
	Sizes = 5
	// meanSize is the size class of a prefill of mean duration; longer ones are long.
	meanSize = 2
	// ranksPerLevel is the number of ranks of the prompts of a level that are in time, and
	// firstDeferred the rank of deferred prompts of level 0. Engines accept ranks up to 9.
	ranksPerLevel = 2
	firstDeferred = ranksPerLevel * MaxLevels
)

// Prompt is the input of a decision about one prompt.
type Prompt struct {
	Class Class
	// Size is the size class, from 0 for the shortest to Sizes-1, relative to the mean of the prompts
	// of the level if there are levels, else of all prompts.
	Size int
	// Cost is the predicted duration of the prefill, and Limit the time from now in which it must
	// end to meet the objective.
	Cost, Limit time.Duration
	// Ahead says that the customer is ahead of its share while prompts of others wait.
	Ahead bool
	// Credit is the engine time that the prompt's level has saved.
	Credit time.Duration
}

// Queue predicts the effect of a rank on a prompt that isn't in the queue yet.
type Queue interface {
	// Finish returns the time until the prompt ends with that rank, lengthened by the mean error
	// of predictions.
	Finish(rank int) time.Duration
	// MakesLate reports whether the prompt, with that rank, would make a waiting prompt of the
	// next rank late that is in time without it.
	MakesLate(rank int) bool
}

// Decision is the rank of a prompt, 0 to 9, and the reason. Engines start waiting prompts by rank
// and then in order of arrival.
type Decision struct {
	Rank    int
	Outcome Outcome
}

// Decide returns the rank of a prompt.
//
// With fewer than two levels the rank is the size class, plus Sizes if the prompt is late or
// deferred. With two levels or more, ranks 0 to 5 are two for each level, and 6 to 8 are the
// deferred ones by level. All ranks of prompts that are in time are before those of late and deferred
// ones, so that a late prompt is never started while one in time waits.
func Decide(p Prompt, q Queue) Decision {
	if p.Class.Levels < 2 {
		return p.decideBySize(q)
	}
	level := p.Class.Index()
	rank, inTime := p.rankInLevel(ranksPerLevel*level, q)
	switch {
	case inTime && !p.Ahead:
		return Decision{rank, InTime}
	case inTime:
		return Decision{firstDeferred + level, Deferred}
	case level > 0 && !p.Ahead && p.Credit >= p.Cost && q.Finish(0) <= p.Limit:
		// A prompt that is late even with the first rank would only make others late. One whose
		// customer is ahead of its share would take the credit from those of other customers.
		return Decision{0, Promoted}
	default:
		return Decision{firstDeferred + level, Late}
	}
}

// decideBySize returns the rank in a service without levels.
func (p Prompt) decideBySize(q Queue) Decision {
	switch {
	case q.Finish(p.Size) > p.Limit:
		return Decision{p.Size + Sizes, Late}
	case p.Ahead:
		return Decision{p.Size + Sizes, Deferred}
	default:
		return Decision{p.Size, InTime}
	}
}

// rankInLevel returns the rank of the prompt among those in time, and whether it is in time with it.
// first is the first rank of its level.
//
// A long prompt has the second rank as long as it is in time there, including the work that is
// predicted to overtake it; otherwise its laxity is short, and it has the first. A prompt that isn't
// long has the first rank, since more prompts are in time if the short ones go first. It has the second
// if it is in time there and would otherwise make a waiting long prompt late. At an engine of 90%
// utilization the largest tenth of the prompts delivers 0.85 of its value, and 0.74 in order of size.
//
// A short prompt goes with the long ones of the next more urgent level, which have time to spare,
// unless it makes a waiting prompt of its own level late.
func (p Prompt) rankInLevel(first int, q Queue) (rank int, inTime bool) {
	second := first + 1
	if previous := first - 1; p.Size < meanSize && previous > 0 && q.Finish(previous) <= p.Limit && !q.MakesLate(previous) && !q.MakesLate(first) {
		return previous, true
	}
	inTimeSecond := q.Finish(second) <= p.Limit
	if inTimeSecond && (p.Size > meanSize || q.MakesLate(first)) {
		return second, true
	}
	return first, inTimeSecond || q.Finish(first) <= p.Limit
}
