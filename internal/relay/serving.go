package relay

import (
	"sync"
	"time"
)

const (
	// servingWeight is the weight of the newest sample in a route's serving time.
	servingWeight = 0.1
	// namesLimit bounds the routes or services of which something is remembered: operators
	// rename them all day long, and what is forgotten is learned anew within some requests.
	namesLimit = 4096
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
	s.routes = withRoom(s.routes)
	s.routes[route] = usual
}

// withRoom returns a map by the names of routes or services that has room for another: the same, or
// an empty one if there are namesLimit.
func withRoom[T any](byName map[string]T) map[string]T {
	if byName == nil || len(byName) >= namesLimit {
		return map[string]T{}
	}
	return byName
}
