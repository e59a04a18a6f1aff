package relay

import (
	"io"
	"math"
	"sync"
)

const (
	// leastRefusals is how many offers of a call must have been turned down for that
	// to be the call's own matter, and leastTaken how many other calls must have been
	// taken meanwhile.
	leastRefusals = 4
	leastTaken    = 3
	// turnedDownOdds is the chance that a call which is like the others is taken for
	// one that is turned down: one in a thousand.
	turnedDownOdds = 0.001
	// roundOffers bounds the instances that are offered a call in one round. Where one
	// instance in five has a place, twelve find one in 93 of 100 rounds.
	roundOffers = 12
	// drainLimit is the longest answer that is read to its end for its connection to
	// be kept, in bytes: a refusal has some words.
	drainLimit = 4 << 10
)

// offerCounts counts the offers to a service, and those that were taken.
type offerCounts struct{ offered, taken int64 }

// offerTally keeps the counts of all services. The zero value is ready.
type offerTally struct {
	mutex    sync.Mutex
	services map[string]offerCounts
}

func (t *offerTally) of(service string) offerCounts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.services[service]
}

func (t *offerTally) note(service string, taken bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.services = withRoom(t.services)
	counts := t.services[service]
	counts.offered++
	if taken {
		counts.taken++
	}
	t.services[service] = counts
}

// belongsToCall tells whether that a call was turned down so often is the call's own
// matter: since its first offer others were taken so readily that a call like them
// would have been, too. A full service takes nobody, or few of many; what every
// instance refuses for its content is offered 21 times at most, among 200 calls a second
// at 20 instances, where it was 1,720 times in three seconds.
func belongsToCall(refusals int, others offerCounts) bool {
	if refusals < leastRefusals || others.taken < leastTaken {
		return false
	}
	rate := float64(others.taken) / float64(others.offered)
	return float64(refusals)*math.Log1p(-min(rate, 1-turnedDownOdds)) < math.Log(turnedDownOdds)
}

// others returns the counts of the other calls' offers since the call's first.
func (c *carrier) others() offerCounts {
	now := c.relay.offered.of(c.service)
	return offerCounts{
		offered: now.offered - c.offeredBefore.offered - int64(c.offers),
		taken:   now.taken - c.offeredBefore.taken,
	}
}

// refuseTurnedDown ends a call that instances turn down while they take others.
func (c *carrier) refuseTurnedDown() {
	others := c.others()
	c.logger.Warn().Int("refusals", c.refusals).Int64("others_taken", others.taken).Int64("others_offered", others.offered).
		Msg("Back ends turn this request down and take others.")
	c.refuse(Refusal{Reason: ReasonTurnedDown, RetryAfter: stoppingPause, Detail: "The back ends turn this request down, though they take others."})
}

// drainAndClose reads a short answer to its end, so that its connection is kept.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, drainLimit) // what fails here only costs the connection
	_ = body.Close()                              // the refusal was understood by its head
}
