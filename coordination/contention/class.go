// Package contention decides the order in which requests that compete for one engine are
// computed: by the urgency of their routes, by the time that is left for them, and by the share of
// engine time that their customers have used.
package contention

// Class describes a request as far as its order among other requests depends on it.
type Class struct {
	// Level is the request's urgency, 0 for the most urgent of Levels levels. Levels is the number
	// of different priorities of the routes and customers of the service, at most MaxLevels; with
	// fewer than two, urgency doesn't affect the order.
	Level, Levels int
	// Customer is a hash of the customer's name; 0 if the request belongs to none. It doesn't
	// affect the order of requests without one.
	Customer uint64
}

// MaxLevels bounds the levels of urgency. Further priorities share the last level.
const MaxLevels = 3

// Index returns the level within the bounds of MaxLevels.
func (c Class) Index() int { return min(max(c.Level, 0), MaxLevels-1) }
