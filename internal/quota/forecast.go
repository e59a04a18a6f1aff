package quota

import (
	"math"
	"time"
)

const (
	// idleAfter is how long a program asks for nothing until it counts as ended: its
	// tools answer within a second or two.
	idleAfter = 2 * time.Second
	// sampleWeight is the weight of the newest program in what programs of a route
	// need.
	sampleWeight = 0.1
	// priorRequests and priorLife are believed of a route's programs before one
	// ended: three turns with a tool call or two each, in three seconds.
	priorRequests = 7.0
	priorDuration = 3 * time.Second
	// shortestLife is the least that counts as the life of a program.
	minDuration = 500 * time.Millisecond
	// routeLimit bounds the routes whose programs are remembered.
	maxRoutes = 256
)

// need is what the programs of a route need, as logarithms: the geometric mean is what
// most of them need, whatever a few that loop without end do.
type demand struct{ logRequests, logSeconds float64 }

func (n demand) requests() float64 { return math.Exp(n.logRequests) }

// within is what one program that just begins makes in a time.
func (n demand) requestsWithin(span time.Duration) float64 {
	return n.requests() * min(span.Seconds()/math.Exp(n.logSeconds), 1)
}

// left is what one that is under way makes in a time: it has made half, on average.
func (n demand) remainingWithin(span time.Duration) float64 {
	return min(n.requestsWithin(span), n.requests()/2)
}

// forecast learns what the programs of each route need.
type forecast struct{ routes map[string]demand }

func (f *forecast) forRoute(route string) demand {
	if known, found := f.routes[route]; found {
		return known
	}
	return demand{logRequests: math.Log(priorRequests), logSeconds: math.Log(priorDuration.Seconds())}
}

// note takes a program that ended.
func (f *forecast) observe(p *program) {
	if f.routes == nil || len(f.routes) >= maxRoutes {
		f.routes = map[string]demand{}
	}
	known := f.forRoute(p.route)
	life := max(p.lastAt.Sub(p.firstAt), minDuration)
	known.logRequests += sampleWeight * (math.Log(float64(max(p.requests, 1))) - known.logRequests)
	known.logSeconds += sampleWeight * (math.Log(life.Seconds()) - known.logSeconds)
	f.routes[p.route] = known
}
