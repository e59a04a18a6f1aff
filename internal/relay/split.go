package relay

import (
	"sync"

	"github.com/mintpulley/mintpulley/internal/route"
)

// splits distributes the requests of routes with several services by smooth weighted
// round-robin: at any time each service has received its share of the requests to within
// one.
type splits struct {
	mutex  sync.Mutex
	routes map[string]*split
}

// split is the round-robin state of one route.
type split struct {
	// version is the route's configuration that the state belongs to; credit holds the
	// credit of each of its services.
	version *route.Route
	credit  []float64
}

// choose returns the service for the next request of a route.
func (s *splits) choose(r *route.Route) string {
	if len(r.Services) == 0 {
		return ""
	}
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = ensureCapacity(s.routes)
	state := s.routes[r.Name]
	if state == nil || state.version != r {
		state = &split{version: r, credit: make([]float64, len(r.Services))}
		s.routes[r.Name] = state
	}
	return r.Services[state.next()].Service
}

func (s *split) next() int {
	total := 0.0
	best := 0
	for i, part := range s.version.Services {
		s.credit[i] += part.Weight
		total += part.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return best
}
