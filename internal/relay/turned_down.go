package relay

import (
	"io"
	"math"
	"sync"
)

const (
	// minRefusals is how many offers of a call must have been turned down, and
	// minOthersTaken how many other calls accepted meanwhile, to attribute the refusals to
	// the call itself.
	minRefusals    = 4
	minOthersTaken = 3
	// maxFalsePositiveRate bounds the probability that an ordinary call is mistaken for one
	// that all instances turn down.
	maxFalsePositiveRate = 0.001
	// maxOffersPerRound bounds the instances that are offered a call in one round.
	maxOffersPerRound = 12
	// maxDrainBytes bounds an answer that is read to its end to keep its connection.
	// Refusals are short.
	maxDrainBytes = 4 << 10
)

// offerCounts holds the number of offers to a service, and of those that were accepted.
type offerCounts struct{ offered, taken int64 }

// offerCounters keeps the counts of all services. The zero value is ready to use.
type offerCounters struct {
	mutex    sync.Mutex
	services map[string]offerCounts
}

func (t *offerCounters) get(service string) offerCounts {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.services[service]
}

func (t *offerCounters) add(service string, taken bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.services = ensureCapacity(t.services)
	counts := t.services[service]
	counts.offered++
	if taken {
		counts.taken++
	}
	t.services[service] = counts
}

// isCallAtFault reports whether a call's refusals are due to the call itself: since its
// first offer so many other calls were accepted that an ordinary call would have been, too.
// At a full service few or no calls are accepted, so the call is not to blame. Without this
// check a call that every instance rejects would be offered again until its deadline.
func isCallAtFault(refusals int, others offerCounts) bool {
	if refusals < minRefusals || others.taken < minOthersTaken {
		return false
	}
	rate := float64(others.taken) / float64(others.offered)
	return float64(refusals)*math.Log1p(-min(rate, 1-maxFalsePositiveRate)) < math.Log(maxFalsePositiveRate)
}

// others returns the counts of other calls' offers since the call's first offer.
func (c *callHandler) others() offerCounts {
	now := c.relay.offered.get(c.service)
	return offerCounts{
		offered: now.offered - c.offeredBefore.offered - int64(c.offers),
		taken:   now.taken - c.offeredBefore.taken,
	}
}

// refuseTurnedDown ends a call that instances turn down while they accept others.
func (c *callHandler) refuseTurnedDown() {
	others := c.others()
	c.logger.Warn().Int("refusals", c.refusals).Int64("others_taken", others.taken).Int64("others_offered", others.offered).
		Msg("Back ends turn this request down and accept others.")
	c.refuse(Refusal{Reason: ReasonTurnedDown, RetryAfter: shortRetryAfter, Detail: "The back ends turn this request down, though they take others."})
}

// drainAndClose reads a short answer to its end, so that its connection can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes) // an error only costs the connection
	_ = body.Close()                                 // the status and header have been read
}
