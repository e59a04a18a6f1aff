package ledger

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
)

// episodeGap is how long ago an episode must have been observed last to be the same as one
// observed now. Waiting callers repeat their requests several times within it.
const episodeGap = 500 * time.Millisecond

// episodeTracker tracks episodes in which a shard's record cannot be reached. Ended ones
// are reported to the forecasts of outages. The zero value is ready.
type episodeTracker struct {
	mutex  sync.Mutex
	shards map[int]episode
}

type episode struct {
	kind   admission.Kind
	since  time.Time
	seenAt time.Time
}

// note records that a shard cannot be reached, possibly since before it was observed, and
// returns since when.
func (t *episodeTracker) note(shard int, kind admission.Kind, since, now time.Time) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.shards[shard]
	if !isKnown || now.Sub(known.seenAt) > episodeGap {
		known = episode{kind: kind, since: since}
	}
	if since.Before(known.since) {
		known.since = since
	}
	if kind == admission.StoreUnavailable {
		known.kind = kind // the outage is the cause of the move
	}
	known.seenAt = now
	if t.shards == nil {
		t.shards = map[int]episode{}
	}
	t.shards[shard] = known
	return known.since
}

// end records that a shard's record was reached. It returns the episode that ended, false
// if none was observed recently.
func (t *episodeTracker) end(shard int, now time.Time) (episode, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.shards[shard]
	delete(t.shards, shard)
	return known, isKnown && now.Sub(known.seenAt) <= episodeGap
}

// noteAnswer records whether a shard's record was reached.
func (s *Service) noteAnswer(shard int, answer result, now time.Time) {
	if !answer.isFinal() {
		s.episodes.note(shard, answer.unavailability(), now, now)
		return
	}
	if ended, seen := s.episodes.end(shard, now); seen {
		s.Admission.ObserveDuration(ended.kind, now.Sub(ended.since))
	}
}

// unavailability returns why a shard that gave an answer that is not final cannot be
// reached.
func (r result) unavailability() admission.Kind {
	if r == resultImpaired || r == resultFull {
		return admission.StoreUnavailable
	}
	return admission.ShardMoving
}

// unavailableError returns the error for a request without a final answer.
func (s *Service) unavailableError(shard int, last result) error {
	now := time.Now()
	kind := last.unavailability()
	return &UnavailableError{Shard: shard, Kind: kind, Since: s.episodes.note(shard, kind, now, now), last: last}
}

// waitUntil returns until when to wait for a holder that waits for the store. After
// latestStart an answer is of no use to the caller.
func (s *Service) waitUntil(shard int, outFor time.Duration, latestStart, now time.Time) time.Time {
	since := s.episodes.note(shard, admission.StoreUnavailable, now.Add(-outFor), now)
	wait := admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: since, LatestStart: latestStart}
	return s.Admission.Decide(wait, now).WaitUntil
}
