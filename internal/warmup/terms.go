package warmup

import (
	"math"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// maxRate bounds a rate, in requests per second, so that it fits an int: no instance
// bears more.
const maxRate = 1e6

// Terms are the operators' bounds for all cold instances: one gets in each second at most
// the rate of its service times Overage, plus Slack.
type Tolerance struct {
	// Overage is a factor of at least 1.
	Overage float64
	// Slack is in requests per second.
	Slack float64
}

// limit is what the instances of one service bear while they are cold.
type limit struct {
	// coldFor is how long one is cold from its start.
	coldFor time.Duration
	// rate is how many requests the daemons together send one in a second. Slack is not
	// part of it: that is for daemons which have yet to hear that the instance is cold.
	// But where the rate would be 0 without it, slack may raise it to 1.
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
	if usual := math.Floor(perSecond * t.Overage); usual >= 1 {
		return int(min(usual, maxRate))
	}
	return int(min(math.Floor(perSecond*t.Overage+t.Slack), 1))
}
