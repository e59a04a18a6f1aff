package relay

import (
	"sync"
	"time"
)

const (
	// servingTimeWeight is the weight of the newest sample in the moving average of a
	// route's serving time.
	servingTimeWeight = 0.1
	// maxRememberedNames bounds the routes or services for which state is kept, as
	// operators may rename them any number of times. Dropped state is learned again within
	// a few requests.
	maxRememberedNames = 4096
)

// servingTime is how long serving a request takes from the offer that an instance accepted.
type servingTime struct {
	// untilFirst is the time to the first event or to the answer, and total the time to the
	// end.
	untilFirst, total time.Duration
}

// servingTimes keeps a moving average of the serving time of each route. The zero value is
// ready to use.
type servingTimes struct {
	mutex  sync.Mutex
	routes map[string]servingTime
}

func (s *servingTimes) average(route string) servingTime {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.routes[route]
}

// observe adds a sample to a route's average.
func (s *servingTimes) observe(route string, sample servingTime) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	usual, known := s.routes[route]
	if !known {
		usual = sample
	}
	usual.untilFirst += time.Duration(servingTimeWeight * float64(sample.untilFirst-usual.untilFirst))
	usual.total += time.Duration(servingTimeWeight * float64(sample.total-usual.total))
	s.routes = ensureCapacity(s.routes)
	s.routes[route] = usual
}

// ensureCapacity returns a map keyed by route or service name that has capacity for another
// entry: byName itself, or an empty map if that is nil or has maxRememberedNames entries.
func ensureCapacity[T any](byName map[string]T) map[string]T {
	if byName == nil || len(byName) >= maxRememberedNames {
		return map[string]T{}
	}
	return byName
}
