package warmup

import (
	"math"
	"time"

	"github.com/mintpulley/mintpulley/internal/route"
)

// mostRate bounds a rate, so that it can be counted: no instance bears more.
const mostRate = 1e6

// Terms are the operators' for all cold instances: one gets in each second at most
// the rate of its service times Overage, and Slack more.
type Terms struct {
	Overage float64
	// Slack is in requests.
	Slack float64
}

// limit is what the instances of one service bear while they are cold.
type limit struct {
	// lasts is how long one stays cold from its start.
	lasts time.Duration
	// rate is how many requests the daemons together send one in a second. What
	// daemons sent that had yet to hear that it is cold comes on top: that is what
	// the slack is left for, unless nothing could be sent without it.
	rate int
}

// limitsOf returns the limits of the services that have one, nil if none has.
func (t Terms) limitsOf(services map[string]*route.Service) map[string]limit {
	var limits map[string]limit
	for name, service := range services {
		if service.ColdPerSecond <= 0 {
			continue
		}
		if limits == nil {
			limits = map[string]limit{}
		}
		limits[name] = limit{lasts: service.ColdStart, rate: t.rate(service.ColdPerSecond)}
	}
	return limits
}

func (t Terms) rate(perSecond float64) int {
	if usual := math.Floor(perSecond * t.Overage); usual >= 1 {
		return int(min(usual, mostRate))
	}
	return int(min(math.Floor(perSecond*t.Overage+t.Slack), 1))
}
