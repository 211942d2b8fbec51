package routed

import (
	"github.com/thymerack/thymerack/coordination/retry"
	"github.com/thymerack/thymerack/coordination/share"
)

// newRetryLimiter returns a limiter for this host's share of the retries that all hosts together
// may send.
func (h *Host) newRetryLimiter() (*retry.Limiter, error) {
	ratio := retryShare * h.settings.Bounds.RetryRatio
	steady, err := retry.NewBudget(retry.BudgetOptions{
		Clock: h.clock, Share: func(string) float64 { return ratio }, DefaultShare: ratio,
		Slack: h.retrySlack, SlackWindow: h.settings.Bounds.RetryWindow,
	})
	if err != nil {
		return nil, err
	}
	window, err := retry.NewWindowBudget(retry.WindowOptions{
		Clock: h.clock, Window: h.settings.Bounds.RetryWindow, Share: ratio, Slack: h.retrySlack,
	})
	if err != nil {
		return nil, err
	}
	return retry.NewLimiter(steady, window, moveShare), nil
}

// retrySlack returns this host's share of the retries per window that all hosts together may send
// independently of their traffic.
func (h *Host) retrySlack() float64 {
	return share.Evenly(h.settings.Bounds.RetrySlack, h.members.Hosts())
}
