package quota

import (
	"math"
	"time"
)

const (
	// idleAfter is how long a program makes no request until it counts as ended. It
	// must exceed the pauses for tool calls.
	idleAfter = 2 * time.Second
	// sampleWeight is the weight of the latest program in a route's moving averages.
	sampleWeight = 0.1
	// priorRequests and priorDuration are assumed for the programs of a route until one
	// of them has ended.
	priorRequests = 7.0
	priorDuration = 3 * time.Second
	// minDuration is the least duration that is recorded for a program.
	minDuration = 500 * time.Millisecond
	// maxRoutes bounds the routes that are tracked.
	maxRoutes = 256
)

// demand is what the programs of a route need, as logarithms. The averages are thus
// geometric means, on which a few programs in endless loops have little effect.
type demand struct{ logRequests, logSeconds float64 }

func (d demand) requests() float64 { return math.Exp(d.logRequests) }

// requestsWithin returns the expected requests of a program within a time from its
// start.
func (d demand) requestsWithin(span time.Duration) float64 {
	return d.requests() * min(span.Seconds()/math.Exp(d.logSeconds), 1)
}

// remainingWithin returns the expected requests of a running program within a time. On
// average it has made half of its requests.
func (d demand) remainingWithin(span time.Duration) float64 {
	return min(d.requestsWithin(span), d.requests()/2)
}

// forecast estimates the demand of the programs of each route.
type forecast struct{ routes map[string]demand }

func (f *forecast) forRoute(route string) demand {
	if known, found := f.routes[route]; found {
		return known
	}
	return demand{logRequests: math.Log(priorRequests), logSeconds: math.Log(priorDuration.Seconds())}
}

// observe updates the forecast with a program that ended.
func (f *forecast) observe(p *program) {
	if f.routes == nil || len(f.routes) >= maxRoutes {
		f.routes = map[string]demand{}
	}
	known := f.forRoute(p.route)
	duration := max(p.lastAt.Sub(p.firstAt), minDuration)
	known.logRequests += sampleWeight * (math.Log(float64(max(p.requests, 1))) - known.logRequests)
	known.logSeconds += sampleWeight * (math.Log(duration.Seconds()) - known.logSeconds)
	f.routes[p.route] = known
}
