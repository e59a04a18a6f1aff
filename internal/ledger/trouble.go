package ledger

import (
	"sync"
	"time"

	"github.com/mintpulley/mintpulley/internal/admission"
)

// troubleGap is how long ago a shard's trouble must have been seen last to be the
// same as one seen now: askers that wait ask again several times in that time.
const troubleGap = 500 * time.Millisecond

// troubles remembers what keeps each shard's record from being reached, and since
// when, and lets the forecasts learn from those that end. The zero value is ready.
type troubles struct {
	mutex  sync.Mutex
	shards map[int]trouble
}

type trouble struct {
	kind   admission.Kind
	since  time.Time
	seenAt time.Time
}

// note takes note of a shard's trouble, which may have begun before it was seen, and
// returns since when it lasts.
func (t *troubles) note(shard int, kind admission.Kind, since, now time.Time) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.shards[shard]
	if !isKnown || now.Sub(known.seenAt) > troubleGap {
		known = trouble{kind: kind, since: since}
	}
	if since.Before(known.since) {
		known.since = since
	}
	if kind == admission.StoreUnavailable {
		known.kind = kind // what moves the shard is the outage
	}
	known.seenAt = now
	if t.shards == nil {
		t.shards = map[int]trouble{}
	}
	t.shards[shard] = known
	return known.since
}

// end takes note that a shard's record was reached. It returns the trouble that
// ended, false if none was seen until lately.
func (t *troubles) end(shard int, now time.Time) (trouble, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, isKnown := t.shards[shard]
	delete(t.shards, shard)
	return known, isKnown && now.Sub(known.seenAt) <= troubleGap
}

// noteAnswer takes note of whether a shard's record was reached.
func (s *Service) noteAnswer(shard int, answer result, now time.Time) {
	if !answer.isFinal() {
		s.troubles.note(shard, answer.trouble(), now, now)
		return
	}
	if ended, seen := s.troubles.end(shard, now); seen {
		s.Admission.ObserveDuration(ended.kind, now.Sub(ended.since))
	}
}

// trouble is what an answer that is not final tells of its shard.
func (r result) trouble() admission.Kind {
	if r == resultImpaired || r == resultFull {
		return admission.StoreUnavailable
	}
	return admission.ShardMoving
}

// heldUp is the error for an answer that was none.
func (s *Service) heldUp(shard int, last result) error {
	now := time.Now()
	kind := last.trouble()
	return &UnavailableError{Shard: shard, Kind: kind, Since: s.troubles.note(shard, kind, now, now), last: last}
}

// hopeUntil is how long an asker waits on for a holder that waits for the store: an
// answer after worthless is of no use to it.
func (s *Service) hopeUntil(shard int, outFor time.Duration, worthless, now time.Time) time.Time {
	since := s.troubles.note(shard, admission.StoreUnavailable, now.Add(-outFor), now)
	wait := admission.HeldUpRequest{Kind: admission.StoreUnavailable, Since: since, LatestStart: worthless}
	return s.Admission.Decide(wait, now).WaitUntil
}
