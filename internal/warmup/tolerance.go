package warmup

import (
	"math"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// maxRate limits a rate, in requests per second, so that it fits an int; no instance serves
// more.
const maxRate = 1e6

// Tolerance is by how much the operators allow the rate of a cold instance to be exceeded:
// in any second it gets at most the rate of its service times Overage, plus Slack.
type Tolerance struct {
	// Overage is a factor of at least 1.
	Overage float64
	// Slack is in requests per second.
	Slack float64
}

// limit is the rate limit of the cold instances of a service.
type limit struct {
	// coldFor is how long an instance is cold after its start.
	coldFor time.Duration
	// rate is the number of requests per second that all daemons together send one
	// instance. Slack is left for daemons that do not know yet that the instance is cold,
	// except that it may raise a rate of 0 to 1.
	rate int
}

// limitsOf returns the limits of the services that have one, nil if none has.
func (t Tolerance) limitsOf(services map[string]*route.Service) map[string]limit {
	var limits map[string]limit
	for name, service := range services {
		if service.ColdRequestsPerSecond <= 0 {
			continue
		}
		if limits == nil {
			limits = map[string]limit{}
		}
		limits[name] = limit{coldFor: service.ColdStart, rate: t.rate(service.ColdRequestsPerSecond)}
	}
	return limits
}

func (t Tolerance) rate(perSecond float64) int {
	if allowed := math.Floor(perSecond * t.Overage); allowed >= 1 {
		return int(min(allowed, maxRate))
	}
	return int(min(math.Floor(perSecond*t.Overage+t.Slack), 1))
}
