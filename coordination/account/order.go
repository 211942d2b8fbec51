package account

// Order is how a prompt was ordered at its engine.
type Order struct {
	// Urgency is the level of urgency, 0 first.
	Urgency int
	// Reason is why it has its rank: in_time, late, promoted or deferred_share.
	Reason string
}

// OrderCount summarizes the prompts of one Order.
type OrderCount struct {
	Prompts, Served int
	// FirstRank and LastRank are the lowest and the highest rank, 0 to 9. Engines compute waiting
	// prompts of lower ranks first.
	FirstRank, LastRank int
}

// addOrder counts the order of a request's prompt; requests without one are ignored.
func (r *Route) addOrder(l logLine) {
	s := l.Sendings
	if s.Order == "" {
		return
	}
	key := Order{s.Urgency, s.Order}
	c := r.Orders[key]
	if c == nil {
		c = &OrderCount{FirstRank: s.Rank, LastRank: s.Rank}
		r.Orders[key] = c
	}
	c.Prompts++
	if l.outcome() == Served {
		c.Served++
	}
	c.FirstRank, c.LastRank = min(c.FirstRank, s.Rank), max(c.LastRank, s.Rank)
}
