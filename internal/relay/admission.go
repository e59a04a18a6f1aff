package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
	"github.com/mintpulley/mintpulley/internal/ledger"
)

const (
	// unknownTime is how long a caller is taken to wait that does not tell.
	unknownTime = 2 * time.Second
	// fullGap is how long ago a service must have refused a request last to have
	// been full ever since.
	fullGap = 250 * time.Millisecond
	// returnSpread is by how much of the forecast the return of the last callers is
	// put off after that of the first, so that they are no herd.
	returnSpread = 0.5
	// servingWeight is the weight of the newest sample in a route's serving time.
	servingWeight = 0.1
	// servingLimit bounds the routes whose serving times are remembered.
	servingLimit = 4096
)

// worthless is when being served from then on stops to count for the caller: it
// would leave, or its time would end, before it has what it needs.
func (c *carrier) worthless() time.Time {
	usual := c.relay.serving.of(c.call.Route.Name)
	var end time.Time
	if !c.call.Deadline.IsZero() {
		end = c.call.Deadline.Add(-usual.whole)
	}
	if c.call.Patience > 0 {
		leaves := c.call.Received.Add(c.call.Patience - usual.first)
		if end.IsZero() || leaves.Before(end) {
			end = leaves
		}
	}
	if end.IsZero() {
		return c.call.Received.Add(unknownTime)
	}
	return end
}

// beginUntil is how long a turn's reservation is waited for at most. A caller with
// less time than serving usually takes is served if it is granted at once.
func (c *carrier) beginUntil(now time.Time) time.Time {
	worthless := c.worthless()
	if worthless.After(now) || c.call.Deadline.IsZero() {
		return worthless
	}
	return c.call.Deadline
}

// decide forecasts the end of what holds the call up, and takes note of it for the
// line that tells what became of the call.
func (c *carrier) decide(kind admission.Kind, since, now time.Time) admission.Decision {
	c.heldUp = admission.Wait{Kind: kind, Since: since, Worthless: c.worthless()}
	c.forecast = c.relay.Admission.Decide(c.heldUp, now)
	return c.forecast
}

// decideTurn is decide for a turn that is not granted.
func (c *carrier) decideTurn(err error, started, now time.Time) admission.Decision {
	var heldUp *ledger.HeldUpError
	if errors.As(err, &heldUp) {
		return c.decide(heldUp.Kind, heldUp.Since, now)
	}
	kind := admission.ShardMoving
	if errors.Is(err, ledger.ErrStoreUnreachable) || errors.Is(err, errTooMuchWaits) {
		kind = admission.StoreOut
	}
	return c.decide(kind, started, now)
}

// returnAfter is when a caller should come back that is refused now: when what held
// it up is over with even odds, the urgent first.
func (c *carrier) returnAfter() time.Duration {
	remaining := c.forecast.Remaining.Seconds()
	rank := (float64(c.urgency(nil)) + rand.Float64()) / (leastUrgency + 1)
	return time.Duration(remaining * (1 + returnSpread*rank) * float64(time.Second))
}

// waitForTurn waits before the reservation is tried again. False means that the
// turn is to be refused: its context ended, or it is hardly served in time.
func (c *carrier) waitForTurn(ctx context.Context, err error, started time.Time) bool {
	now := time.Now()
	decision := c.decideTurn(err, started, now)
	if !decision.Waits(now) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(min(beginPause, decision.Until.Sub(now))):
		return true
	}
}

// fullServices remembers since when services refuse all requests. The zero value is
// ready.
type fullServices struct {
	mutex    sync.Mutex
	services map[string]fullService
}

type fullService struct{ since, seenAt time.Time }

// note takes note that all instances of a service refused a request, and returns
// since when they do.
func (f *fullServices) note(service string, now time.Time) time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown || now.Sub(known.seenAt) > fullGap {
		known.since = now
	}
	known.seenAt = now
	if f.services == nil {
		f.services = map[string]fullService{}
	}
	f.services[service] = known
	return known.since
}

// end takes note that an instance of a service took a request. It returns for how
// long none did, false if none refused one lately.
func (f *fullServices) end(service string, now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, isKnown := f.services[service]
	if !isKnown {
		return 0, false
	}
	delete(f.services, service)
	return now.Sub(known.since), now.Sub(known.seenAt) <= fullGap
}

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
