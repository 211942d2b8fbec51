package forward

import "sync"

// SizeClass is a prompt's size against the mean of its route's prompts.
type SizeClass int

// The classes. Their bounds split the prompts of today's sheets, of which half have
// less than 0.6 of the mean, into four parts of some size each.
const (
	SizeSmall SizeClass = iota
	SizeMedium
	SizeLarge
	SizeHuge
)

const (
	mediumFrom = 0.35
	largeFrom  = 0.85
	hugeFrom   = 1.75
	// meanGain is the weight of a prompt in its route's mean.
	meanGain = 0.02
)

// sizes learns the mean size of the prompts of each route. The zero value is ready.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// class takes a prompt of the route into account and returns its class.
func (s *sizes) class(route string, tokens int) SizeClass {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	size := float64(tokens)
	mean, known := s.mean[route]
	if !known {
		mean = size
	}
	mean += meanGain * (size - mean)
	s.mean[route] = mean
	switch {
	case size < mediumFrom*mean:
		return SizeSmall
	case size < largeFrom*mean:
		return SizeMedium
	case size < hugeFrom*mean:
		return SizeLarge
	default:
		return SizeHuge
	}
}
