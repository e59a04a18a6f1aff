package relay

import (
	"sync"
	"time"
)

const (
	// servingWeight is the weight of the newest sample in a route's serving time.
	servingWeight = 0.1
	// servingLimit bounds the routes whose serving times are remembered.
	servingLimit = 4096
)

// servingTime is what serving a request takes from when an instance gets it.
type servingTime struct {
	// first is until the first event, or the answer, and whole until the end.
	first, whole time.Duration
}

// servingTimes keeps the usual serving time of each route. The zero value is ready.
type servingTimes struct {
	mutex  sync.Mutex
	routes map[string]servingTime
}

func (s *servingTimes) of(route string) servingTime {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routes[route]
}

// note takes a sample into a route's usual time.
func (s *servingTimes) note(route string, sample servingTime) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	usual, known := s.routes[route]
	if !known {
		usual = sample
	}
	usual.first += time.Duration(servingWeight * float64(sample.first-usual.first))
	usual.whole += time.Duration(servingWeight * float64(sample.whole-usual.whole))
	if s.routes == nil || len(s.routes) >= servingLimit {
		s.routes = map[string]servingTime{}
	}
	s.routes[route] = usual
}
