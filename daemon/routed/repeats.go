package routed

import "github.com/thymerack/thymerack/coordination/retry"

// newRetryLimiter makes this host's share of the repeats that all hosts may send.
func (h *Host) newRetryLimiter() (*retry.Limiter, error) {
	share := limitShare * h.settings.Bounds.RetryRatio
	steady, err := retry.NewBudget(retry.BudgetOptions{
		Clock: h.clock, Share: func(string) float64 { return share }, DefaultShare: share,
		Slack: h.retrySlack, SlackWindow: h.settings.Bounds.RetryWindow,
	})
	if err != nil {
		return nil, err
	}
	window, err := retry.NewWindowBudget(retry.WindowOptions{
		Clock: h.clock, Window: h.settings.Bounds.RetryWindow, Share: moveShare * share, Slack: func() float64 { return moveShare * h.retrySlack() },
	})
	if err != nil {
		return nil, err
	}
	return retry.NewLimiter(steady, window), nil
}

// retrySlack is this host's share of the repeats that all hosts may send in a
// window whatever their traffic.
func (h *Host) retrySlack() float64 {
	return limitShare * h.settings.Bounds.RetrySlack / float64(h.members.Hosts())
}
